use super::*;

/// An estimate of the share of good answers, from ratings with exponentially decaying weights.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QualityEstimate {
    good: f64,
    poor: f64,
    updated_at: Millis,
}

impl QualityEstimate {
    /// The time after which a rating has half of its weight.
    pub const HALF_LIFE_MS: f64 = 6.0 * 3_600_000.0;
    /// The maximum total weight; older ratings are scaled down to it, so that an estimate keeps
    /// following new ratings.
    const MAX_WEIGHT: f64 = 2_000.0;
    /// The number of standard errors by which the lower estimate is below the mean.
    const LOWER_ERRORS: f64 = 1.0;

    /// Adds a number of good and poor ratings.
    pub fn observe(&mut self, now: Millis, good: f64, poor: f64) {
        let factor = self.decay(now);
        self.good = self.good * factor + good;
        self.poor = self.poor * factor + poor;
        self.updated_at = self.updated_at.max(now);
        let weight = self.good + self.poor;
        if weight > Self::MAX_WEIGHT {
            self.good *= Self::MAX_WEIGHT / weight;
            self.poor *= Self::MAX_WEIGHT / weight;
        }
    }

    fn decay(&self, now: Millis) -> f64 {
        (-(now.since(self.updated_at).0 as f64) / Self::HALF_LIFE_MS).exp2()
    }

    /// Returns the total weight of the ratings at the given time.
    #[must_use]
    pub fn weight(&self, now: Millis) -> f64 {
        (self.good + self.poor) * self.decay(now)
    }

    /// Returns the mean share of good answers, where the prior counts as `prior_weight` ratings.
    #[must_use]
    pub fn mean(&self, now: Millis, prior: f64, prior_weight: f64) -> f64 {
        let decay = self.decay(now);
        let weight = prior_weight + (self.good + self.poor) * decay;
        if weight <= 0.0 {
            return prior;
        }
        (prior * prior_weight + self.good * decay) / weight
    }

    /// Returns the lower estimate for a mean that rests on ratings and priors of a total weight.
    #[must_use]
    pub fn lower(mean: f64, weight: f64) -> f64 {
        let variance = (mean * (1.0 - mean)).max(0.01) / (weight + 1.0);
        (mean - Self::LOWER_ERRORS * variance.sqrt()).max(0.0)
    }
}
