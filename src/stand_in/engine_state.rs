//! The in-memory state of a fake engine, and the orders that change it.

use super::*;
use load_history::LoadSample;

/// The state that an engine keeps in memory. A crash resets all of it but the fencing number.
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

    /// Resets the state after a crash. The highest fencing number seen is kept.
    pub(super) fn reset(&mut self, setup: &EngineSetup) {
        *self = Self { fence: self.fence, ..Self::new(setup) };
        self.cache.clear();
    }

    pub(super) fn record_load(&mut self, slots: &SlotQueue, lag: Duration) {
        let (running, waiting) = slots.load();
        let sample = LoadSample { running, waiting, kv_free: self.cache.free_share() };
        self.history.record(Instant::now(), sample, lag);
    }

    /// Returns the load report as JSON. `versions` is `null` if the engine serves any version.
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

/// A placement order to an engine, as received.
#[derive(Deserialize)]
pub(super) struct EngineOrder {
    pub(super) fence: u64,
    pub(super) order: OrderKind,
    #[serde(default)]
    pub(super) version: SmolStr,
    #[serde(default)]
    pub(super) versions: BTreeSet<SmolStr>,
}

/// The action that an order requests.
#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum OrderKind {
    /// Load a version.
    Load,
    /// Unload a version.
    Unload,
    /// Only raise the fencing number, so that older orders are refused.
    Fence,
    /// Load exactly the given versions and unload all others.
    Desired,
    /// Change the engine's role; the fake engine only counts such orders.
    Role,
}
