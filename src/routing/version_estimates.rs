use super::*;

/// The quality estimates of one version for one size class: over all teams, and per team.
///
/// A team's estimate uses the estimate over all teams as its prior (partial pooling). The weight of
/// that prior depends on how similar the teams are: if their shares of good answers vary no more
/// than by chance, the prior has a large weight and teams share their ratings; if they vary more,
/// each team's own ratings dominate.
#[derive(Clone, Debug)]
pub struct VersionEstimates {
    pooled: QualityEstimate,
    escalated: QualityEstimate,
    teams: BTreeMap<TeamId, QualityEstimate>,
    pooled_weight: f64,
    until_reweighting: u32,
}

impl Default for VersionEstimates {
    fn default() -> Self {
        Self {
            pooled: QualityEstimate::default(),
            escalated: QualityEstimate::default(),
            teams: BTreeMap::new(),
            pooled_weight: Self::INITIAL_POOLED_WEIGHT,
            until_reweighting: Self::REWEIGHTING_INTERVAL,
        }
    }
}

impl VersionEstimates {
    const INITIAL_POOLED_WEIGHT: f64 = 100.0;
    const MIN_POOLED_WEIGHT: f64 = 20.0;
    const MAX_POOLED_WEIGHT: f64 = 1_000.0;
    /// The number of ratings after which the weight of the pooled estimate is recomputed.
    const REWEIGHTING_INTERVAL: u32 = 100;
    /// A team is left out of the variance between teams below this weight of ratings.
    const MIN_RATINGS: f64 = 20.0;
    /// The factor on the mean of first answers that gives the prior for requests to which another
    /// version gave a poor answer.
    const ESCALATED_FACTOR: f64 = 0.85;
    const ESCALATED_PRIOR_WEIGHT: f64 = 20.0;

    /// Adds ratings of answers to a team.
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
        self.until_reweighting = self.until_reweighting.saturating_sub((good + poor) as u32);
        if self.until_reweighting == 0 {
            self.until_reweighting = Self::REWEIGHTING_INTERVAL;
            self.pooled_weight = self.pooling_weight(now);
        }
    }

    /// Returns the weight, in ratings, of the estimate over all teams as prior of a team's
    /// estimate: the variance of a single rating divided by the variance between teams.
    fn pooling_weight(&self, now: Millis) -> f64 {
        let mean = self.pooled.mean(now, 0.5, 1.0).clamp(0.02, 0.98);
        let variance = mean * (1.0 - mean);
        let rated = || {
            let teams = self.teams.values();
            teams.filter(|own| own.weight(now) >= Self::MIN_RATINGS)
        };
        let degrees_of_freedom = rated().count() as f64 - 1.0;
        if degrees_of_freedom < 1.0 {
            return self.pooled_weight;
        }
        let weight: f64 =
            rated().map(|own| own.weight(now)).sum::<f64>() / (degrees_of_freedom + 1.0);
        let chi_squared: f64 = rated()
            .map(|own| own.weight(now) * (own.mean(now, mean, 0.0) - mean).powi(2) / variance)
            .sum();
        let excess = (chi_squared - degrees_of_freedom) / degrees_of_freedom;
        let pooling_weight = if excess > 0.0 { weight / excess } else { Self::MAX_POOLED_WEIGHT };
        pooling_weight.clamp(Self::MIN_POOLED_WEIGHT, Self::MAX_POOLED_WEIGHT)
    }

    /// Returns the mean share of good first answers to a team, and the total weight of the ratings
    /// and priors on which it rests.
    #[must_use]
    pub fn first(&self, now: Millis, entry: &VersionEntry, team: &TeamId) -> (f64, f64) {
        let prior_weight = f64::from(entry.prior_weight);
        let pooled = self.pooled.mean(now, entry.prior_quality.get(), prior_weight);
        let pooled_weight = (self.pooled.weight(now) + prior_weight).min(self.pooled_weight);
        let Some(own) = self.teams.get(team) else { return (pooled, pooled_weight) };
        (own.mean(now, pooled, pooled_weight), own.weight(now) + pooled_weight)
    }

    /// Returns the lower estimate of the share of good answers to requests for which another
    /// version gave a poor answer, given the mean share of good first answers.
    #[must_use]
    pub fn lower_escalated(&self, now: Millis, mean: f64) -> f64 {
        let prior = mean * Self::ESCALATED_FACTOR;
        let weight = self.escalated.weight(now) + Self::ESCALATED_PRIOR_WEIGHT;
        let mean = self.escalated.mean(now, prior, Self::ESCALATED_PRIOR_WEIGHT);
        QualityEstimate::lower(mean, weight)
    }

    /// Returns the total weight of the ratings of one source over all teams.
    #[must_use]
    pub fn weight(&self, now: Millis, source: RatingSource) -> f64 {
        match source {
            RatingSource::First => self.pooled.weight(now),
            RatingSource::Escalated => self.escalated.weight(now),
        }
    }
}
