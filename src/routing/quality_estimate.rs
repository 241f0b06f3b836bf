use super::*;

/// A share of good answers, estimated from ratings that count for less as they age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QualityEstimate {
    good: f64,
    poor: f64,
    at: Millis,
}

impl QualityEstimate {
    /// The time in which a rating loses half of its weight.
    pub const HALF_LIFE_MS: f64 = 6.0 * 3_600_000.0;
    /// The weight beyond which older ratings are scaled down, so that an estimate keeps moving.
    const MOST_WEIGHT: f64 = 2_000.0;
    /// The standard errors by which the lower estimate lies below the mean.
    const LOWER_ERRORS: f64 = 1.0;

    /// Takes in ratings.
    pub fn observe(&mut self, now: Millis, good: f64, poor: f64) {
        let factor = self.fade(now);
        self.good = self.good * factor + good;
        self.poor = self.poor * factor + poor;
        self.at = self.at.max(now);
        let weight = self.good + self.poor;
        if weight > Self::MOST_WEIGHT {
            self.good *= Self::MOST_WEIGHT / weight;
            self.poor *= Self::MOST_WEIGHT / weight;
        }
    }

    fn fade(&self, now: Millis) -> f64 {
        (-(now.since(self.at).0 as f64) / Self::HALF_LIFE_MS).exp2()
    }

    /// Returns the weight of the ratings now.
    #[must_use]
    pub fn weight(&self, now: Millis) -> f64 {
        (self.good + self.poor) * self.fade(now)
    }

    /// Returns the mean, where a prior counts as so many ratings.
    #[must_use]
    pub fn mean(&self, now: Millis, prior: f64, prior_weight: f64) -> f64 {
        let fade = self.fade(now);
        let weight = prior_weight + (self.good + self.poor) * fade;
        if weight <= 0.0 {
            return prior;
        }
        (prior * prior_weight + self.good * fade) / weight
    }

    /// Returns a lower estimate, given the mean and the weight of all that speaks for it.
    #[must_use]
    pub fn lower(mean: f64, weight: f64) -> f64 {
        let spread = (mean * (1.0 - mean)).max(0.01) / (weight + 1.0);
        (mean - Self::LOWER_ERRORS * spread.sqrt()).max(0.0)
    }
}
