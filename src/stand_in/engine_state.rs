//! The state of a stand-in engine that a crash loses, and its orders.

use super::*;
use load_history::LoadSample;

/// What an engine holds in memory.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) cache: PrefixCache,
    pub(super) versions: BTreeSet<SmolStr>,
    pub(super) loading: BTreeSet<SmolStr>,
    pub(super) fence: u64,
    history: LoadHistory,
}

impl EngineState {
    pub(super) fn new(setup: &EngineSetup) -> Self {
        Self {
            cache: PrefixCache::new(setup.cache_blocks),
            versions: setup.versions.iter().cloned().collect(),
            loading: BTreeSet::new(),
            fence: 0,
            history: LoadHistory::default(),
        }
    }

    /// Forgets all but the order in which fencing numbers came.
    pub(super) fn forget(&mut self, setup: &EngineSetup) {
        *self = Self { fence: self.fence, ..Self::new(setup) };
        self.cache.clear();
    }

    pub(super) fn record_load(&mut self, slots: &SlotQueue, lag: Duration) {
        let (running, waiting) = slots.load();
        let sample = LoadSample { running, waiting, kv_free: self.cache.free_share() };
        self.history.record(Instant::now(), sample, lag);
    }

    /// Returns the report; it names no versions if the engine serves any.
    pub(super) fn load_report(&self, setup: &EngineSetup) -> serde_json::Value {
        let lag = setup.load_lag;
        let versions = (!setup.versions.is_empty()).then_some(&self.versions);
        let sample = self.history.seen(Instant::now(), lag);
        let as_of = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        serde_json::json!({
            "running": sample.running,
            "waiting": sample.waiting,
            "kv_free": sample.kv_free,
            "as_of_ms": as_of.saturating_sub(lag).as_millis() as u64,
            "versions": versions,
            "loading": self.loading,
        })
    }
}

/// An order to an engine.
#[derive(Deserialize)]
pub(super) struct EngineOrder {
    pub(super) fence: u64,
    pub(super) order: OrderKind,
    #[serde(default)]
    pub(super) version: SmolStr,
    #[serde(default)]
    pub(super) versions: BTreeSet<SmolStr>,
}

/// What an order asks for.
#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum OrderKind {
    /// To load a version.
    Load,
    /// To unload a version.
    Unload,
    /// Nothing but that it refuses older fencing numbers.
    Fence,
    /// To have just some versions loaded.
    Desired,
    /// To change its role, which the stand-in only counts.
    Role,
}
