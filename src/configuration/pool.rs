use super::*;

/// A pool of backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolEntry {
    /// What the servers run.
    pub kind: PoolKind,
    /// The number of requests that one server runs concurrently.
    pub slots: u32,
    /// The slots of a server that long requests may occupy, from 1 to `slots`.
    pub long_slots: u32,
    /// The number of requests that may wait in a server's own queue; 0 if absent.
    #[serde(default)]
    pub engine_queue: u32,
    /// The time without progress after which a run counts as stalled.
    pub progress_timeout_ms: Millis,
    /// How engines treat orders with an outdated fencing token.
    #[serde(default)]
    pub fence_rule: FenceRule,
    /// The accelerator memory of one server, in bytes; 0 if absent.
    #[serde(default)]
    pub memory_bytes: ByteSize,
    /// The number of version loads per minute that the weight store allows the pool.
    #[serde(default = "default_loads_per_minute")]
    pub loads_per_minute: u32,
    /// The share of the pool's servers that may load or unload versions at the same time.
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
    /// Inference engines that run model versions.
    Engine,
    /// A service that is not a model.
    Service,
}

/// How engines treat orders with an outdated fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FenceRule {
    /// Engines reject such orders.
    #[default]
    Refuses,
    /// Engines ignore the token and execute such orders.
    Ignores,
}
