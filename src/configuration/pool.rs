use super::*;

/// A pool of backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolEntry {
    /// What the servers run.
    pub kind: PoolKind,
    /// The requests that one server runs at the same time.
    pub slots: u32,
    /// The slots of a server that long work may take.
    pub long_slots: u32,
    /// The requests that may wait in a server's own queue.
    #[serde(default)]
    pub engine_queue: u32,
    /// The longest time without progress before a connection counts as silent.
    pub progress_timeout_ms: Millis,
    /// How engines treat orders with an old fencing number.
    #[serde(default)]
    pub fence_rule: FenceRule,
    /// The accelerator memory of one server.
    #[serde(default)]
    pub memory_bytes: ByteSize,
    /// The loads of versions that the weight store grants the pool in a minute.
    #[serde(default = "default_loads_per_minute")]
    pub loads_per_minute: u32,
    /// The share of the servers that may change what they have loaded at the same time.
    #[serde(default = "default_change_share")]
    pub change_share: Share,
}

const fn default_loads_per_minute() -> u32 {
    6
}

fn default_change_share() -> Share {
    Share::new(0.3).unwrap_or_default()
}

/// What the servers of a pool run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// A plain service.
    Service,
}

/// How engines treat orders with an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FenceRule {
    /// They refuse such orders.
    #[default]
    Refuses,
    /// They ignore the number.
    Ignores,
}
