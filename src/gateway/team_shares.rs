use super::*;

/// How much of the recent requests came from each team.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamShares {
    teams: FxHashMap<Option<TeamId>, f64>,
    total: f64,
    decayed: Millis,
}

impl TeamShares {
    /// The time after which a request counts half.
    const HALF_LIFE_MS: f64 = 2_000.0;
    /// The pause between two steps of forgetting.
    const STEP_MS: u64 = 200;
    /// The count below which a team is forgotten.
    const LEAST: f64 = 0.05;

    /// Notes a request.
    pub(super) fn note(&mut self, now: Millis, team: Option<&TeamId>) {
        self.forget(now);
        *self.teams.entry(team.cloned()).or_default() += 1.0;
        self.total += 1.0;
    }

    /// Returns by how much a team's share exceeds an equal one; at least 1.
    pub(super) fn stretch(&self, now: Millis, team: Option<&TeamId>) -> f64 {
        if now.since(self.decayed).0 as f64 > Self::HALF_LIFE_MS * 8.0 || self.total <= 0.0 {
            return 1.0;
        }
        let own = self.teams.get(&team.cloned()).copied().unwrap_or_default();
        (own * self.teams.len() as f64 / self.total).max(1.0)
    }

    fn forget(&mut self, now: Millis) {
        let passed = now.since(self.decayed).0;
        if passed < Self::STEP_MS {
            return;
        }
        self.decayed = now;
        let factor = 0.5_f64.powf(passed as f64 / Self::HALF_LIFE_MS);
        self.teams.values_mut().for_each(|count| *count *= factor);
        self.teams.retain(|_, count| *count > Self::LEAST);
        self.total = self.teams.values().sum();
    }
}
