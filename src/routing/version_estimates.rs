use super::*;

/// What ratings say of one version at one kind of work.
///
/// A team's estimate starts from that over all teams, which counts for as many ratings as the
/// teams are alike: if their shares scatter no more than chance allows, the teams learn from each
/// other; if they scatter more, each goes by its own ratings.
#[derive(Clone, Debug)]
pub struct VersionEstimates {
    pooled: QualityEstimate,
    escalated: QualityEstimate,
    teams: BTreeMap<TeamId, QualityEstimate>,
    pooled_weight: f64,
    until_spread: u32,
}

impl Default for VersionEstimates {
    fn default() -> Self {
        Self {
            pooled: QualityEstimate::default(),
            escalated: QualityEstimate::default(),
            teams: BTreeMap::new(),
            pooled_weight: Self::FIRST_POOLED_WEIGHT,
            until_spread: Self::SPREAD_INTERVAL,
        }
    }
}

impl VersionEstimates {
    const FIRST_POOLED_WEIGHT: f64 = 100.0;
    const LEAST_POOLED_WEIGHT: f64 = 20.0;
    const MOST_POOLED_WEIGHT: f64 = 1_000.0;
    /// The ratings after which the scatter of the teams is computed anew.
    const SPREAD_INTERVAL: u32 = 100;
    /// The ratings below which a team does not count for the scatter.
    const FEW_RATINGS: f64 = 20.0;
    /// How much less a version is trusted with requests that another one failed.
    const ESCALATED_SHARE: f64 = 0.85;
    const ESCALATED_PRIOR_WEIGHT: f64 = 20.0;

    /// Takes in ratings of answers to a team.
    pub fn observe(
        &mut self,
        now: Millis,
        team: &TeamId,
        source: RatingSource,
        good: f64,
        poor: f64,
    ) {
        if source == RatingSource::Escalated {
            self.escalated.observe(now, good, poor);
            return;
        }
        self.pooled.observe(now, good, poor);
        if !self.teams.contains_key(team) {
            self.teams.insert(team.clone(), QualityEstimate::default());
        }
        if let Some(own) = self.teams.get_mut(team) {
            own.observe(now, good, poor);
        }
        self.until_spread = self.until_spread.saturating_sub((good + poor) as u32);
        if self.until_spread == 0 {
            self.until_spread = Self::SPREAD_INTERVAL;
            self.pooled_weight = self.likeness(now);
        }
    }

    /// Returns for how many ratings the estimate over all teams counts: the share's variance by
    /// chance over its variance between teams.
    fn likeness(&self, now: Millis) -> f64 {
        let mean = self.pooled.mean(now, 0.5, 1.0).clamp(0.02, 0.98);
        let variance = mean * (1.0 - mean);
        let rated = || {
            let teams = self.teams.values();
            teams.filter(|own| own.weight(now) >= Self::FEW_RATINGS)
        };
        let free = rated().count() as f64 - 1.0;
        if free < 1.0 {
            return self.pooled_weight;
        }
        let weight: f64 = rated().map(|own| own.weight(now)).sum::<f64>() / (free + 1.0);
        let scatter: f64 = rated()
            .map(|own| own.weight(now) * (own.mean(now, mean, 0.0) - mean).powi(2) / variance)
            .sum();
        let beyond = (scatter - free) / free;
        let likeness = if beyond > 0.0 { weight / beyond } else { Self::MOST_POOLED_WEIGHT };
        likeness.clamp(Self::LEAST_POOLED_WEIGHT, Self::MOST_POOLED_WEIGHT)
    }

    /// Returns the mean of good first answers to a team, and the weight of what it rests on.
    #[must_use]
    pub fn first(&self, now: Millis, entry: &VersionEntry, team: &TeamId) -> (f64, f64) {
        let prior_weight = f64::from(entry.prior_weight);
        let pooled = self.pooled.mean(now, entry.prior_quality.get(), prior_weight);
        let pooled_weight = (self.pooled.weight(now) + prior_weight).min(self.pooled_weight);
        let Some(own) = self.teams.get(team) else { return (pooled, pooled_weight) };
        (own.mean(now, pooled, pooled_weight), own.weight(now) + pooled_weight)
    }

    /// Returns the lower estimate of good answers where another version's was poor, given the mean
    /// of good first answers.
    #[must_use]
    pub fn lower_escalated(&self, now: Millis, mean: f64) -> f64 {
        let prior = mean * Self::ESCALATED_SHARE;
        let weight = self.escalated.weight(now) + Self::ESCALATED_PRIOR_WEIGHT;
        let mean = self.escalated.mean(now, prior, Self::ESCALATED_PRIOR_WEIGHT);
        QualityEstimate::lower(mean, weight)
    }

    /// Returns the weight of the ratings from one source.
    #[must_use]
    pub fn weight(&self, now: Millis, source: RatingSource) -> f64 {
        match source {
            RatingSource::First => self.pooled.weight(now),
            RatingSource::Escalated => self.escalated.weight(now),
        }
    }
}
