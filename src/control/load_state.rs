use super::*;

/// The load of the pools and the use of the teams' limits.
#[derive(Debug, Default)]
pub(super) struct LoadState {
    pub(super) pools: BTreeMap<PoolId, PoolLoad>,
    /// How long the oldest queued short request has waited in each pool, for routing.
    pub(super) waits: BTreeMap<PoolId, Millis>,
    pub(super) limits: TeamLimiter,
    pub(super) outputs: OutputHistory,
    pub(super) ratings: PendingRatings,
    pub(super) timers: RequestTimers,
    /// When the next policy digests are due.
    pub(super) next_digest: Millis,
    /// The number of the last policy digest.
    pub(super) sequence: u64,
}

impl LoadState {
    /// Returns the load of a pool, which is created if needed.
    pub(super) fn pool(&mut self, pool: &PoolId) -> &mut PoolLoad {
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), PoolLoad::default());
        }
        self.pools.get_mut(pool).expect("the entry has just been made")
    }
}

/// The load of one pool.
#[derive(Debug)]
pub(super) struct PoolLoad {
    pub(super) gate: QueueWaitLimiter,
    pub(super) pace: LatencyTracker,
    pub(super) hedges: AttemptBudget,
    pub(super) retries: AttemptBudget,
    /// The rate at which short requests start.
    starts: RateEstimate,
}

impl Default for PoolLoad {
    fn default() -> Self {
        Self {
            gate: QueueWaitLimiter::default(),
            pace: LatencyTracker::default(),
            hedges: AttemptBudget::hedges(),
            retries: AttemptBudget::retries(),
            starts: RateEstimate::default(),
        }
    }
}

impl PoolLoad {
    /// Records the start of a short request.
    pub(super) fn started(&mut self, now: Millis) {
        self.starts.observe(now);
    }

    /// Returns the short requests started per second.
    pub(super) fn start_rate(&self, now: Millis) -> f64 {
        self.starts.per_second(now)
    }
}

/// A rate of events as an exponential moving average.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateEstimate {
    rate: f64,
    at: Millis,
}

impl RateEstimate {
    /// The time constant of the average.
    const WINDOW_MS: f64 = 1_000.0;

    fn observe(&mut self, now: Millis) {
        self.rate = self.per_second(now) + 1_000.0 / Self::WINDOW_MS;
        self.at = now;
    }

    fn per_second(&self, now: Millis) -> f64 {
        self.rate * (-(now.since(self.at).0 as f64) / Self::WINDOW_MS).exp()
    }
}
