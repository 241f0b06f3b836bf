use super::*;

/// The share of each team in the recent requests, with exponential decay.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamShares {
    teams: FxHashMap<Option<TeamId>, f64>,
    total: f64,
    updated: Millis,
}

impl TeamShares {
    /// The half-life of a request's weight.
    const HALF_LIFE_MS: f64 = 2_000.0;
    /// The least time between two updates of the decay.
    const UPDATE_INTERVAL_MS: u64 = 200;
    /// A team whose count falls to this is removed.
    const MIN_COUNT: f64 = 0.05;

    /// Counts a request of a team.
    pub(super) fn record(&mut self, now: Millis, team: Option<&TeamId>) {
        self.decay(now);
        *self.teams.entry(team.cloned()).or_default() += 1.0;
        self.total += 1.0;
    }

    /// Returns the ratio of a team's share to an equal share; at least 1.
    pub(super) fn overuse_factor(&self, now: Millis, team: Option<&TeamId>) -> f64 {
        if now.since(self.updated).0 as f64 > Self::HALF_LIFE_MS * 8.0 || self.total <= 0.0 {
            return 1.0;
        }
        let own = self.teams.get(&team.cloned()).copied().unwrap_or_default();
        (own * self.teams.len() as f64 / self.total).max(1.0)
    }

    fn decay(&mut self, now: Millis) {
        let passed = now.since(self.updated).0;
        if passed < Self::UPDATE_INTERVAL_MS {
            return;
        }
        self.updated = now;
        let factor = 0.5_f64.powf(passed as f64 / Self::HALF_LIFE_MS);
        self.teams.values_mut().for_each(|count| *count *= factor);
        self.teams.retain(|_, count| *count > Self::MIN_COUNT);
        self.total = self.teams.values().sum();
    }
}
