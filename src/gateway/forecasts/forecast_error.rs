/// The learned distribution of the ratio of measured to expected times. It is treated as
/// log-normal, as times are late by factors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForecastError {
    samples: u32,
    /// The moving average of the logarithm of the ratio.
    mean: f64,
    /// The moving average of how far larger samples exceed `mean`. How much earlier than expected
    /// an answer may come matters to nobody.
    excess: f64,
}

impl Default for ForecastError {
    /// Returns the distribution before any answer.
    fn default() -> Self {
        Self { samples: 0, mean: 0.0, excess: Self::INITIAL_EXCESS }
    }
}

impl ForecastError {
    /// The weight of a new sample once there are many.
    const MIN_SAMPLE_WEIGHT: f64 = 0.04;
    /// The initial `excess`. It lets larger models be asked, without which nothing is learned.
    const INITIAL_EXCESS: f64 = 0.35;
    /// The weight of the initial distribution when a decision was made against asking.
    const RELAX_WEIGHT: f64 = 0.02;
    /// The number of samples that the initial distribution counts for.
    const PRIOR_SAMPLES: u32 = 2;
    /// The standard deviation of a normal distribution divided by the mean excess of its larger half.
    const STANDARD_PER_EXCESS: f64 = 1.253;
    /// The standard deviations beyond the mean that 2 in 100 answers exceed.
    const LATE_DEVIATIONS: f64 = 2.0;
    /// The logistic function with this factor lies within 0.01 of the normal distribution.
    const LOGISTIC_FACTOR: f64 = 1.702;
    /// Added to all times, as callers do not notice shorter differences.
    const OFFSET_MS: f64 = 100.0;

    /// Adds a measured time.
    pub fn record(&mut self, expected_ms: f64, took_ms: f64) {
        self.add(Self::log_ratio(took_ms, expected_ms));
    }

    /// Adds a time that was measured so far when the answer was abandoned. It counts as one that
    /// exceeds this by as much as late answers usually do.
    pub fn record_unfinished(&mut self, expected_ms: f64, took_ms: f64) {
        self.add(Self::log_ratio(took_ms, expected_ms) + self.excess);
    }

    fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let counted = f64::from(self.samples.saturating_add(Self::PRIOR_SAMPLES));
        let weight = (1.0 / counted).max(Self::MIN_SAMPLE_WEIGHT);
        if sample >= self.mean {
            self.excess += (sample - self.mean - self.excess) * weight;
        }
        self.mean += (sample - self.mean) * weight;
    }

    /// Moves the distribution a little towards the initial one, after a request that was not sent
    /// because of it. Otherwise a slow moment would be remembered for ever.
    pub fn relax(&mut self) {
        self.mean -= self.mean * Self::RELAX_WEIGHT;
        self.excess += (Self::INITIAL_EXCESS - self.excess) * Self::RELAX_WEIGHT;
    }

    /// Returns the time that half of the answers take which are expected after `expected_ms`.
    #[must_use]
    pub fn median(&self, expected_ms: f64) -> f64 {
        ((expected_ms + Self::OFFSET_MS) * self.mean.exp() - Self::OFFSET_MS).max(0.0)
    }

    /// Returns the time that few answers exceed which are expected after `expected_ms`.
    #[must_use]
    pub fn latest(&self, expected_ms: f64) -> f64 {
        let exponent = self.mean + Self::LATE_DEVIATIONS * self.excess * Self::STANDARD_PER_EXCESS;
        ((expected_ms + Self::OFFSET_MS) * exponent.exp() - Self::OFFSET_MS).max(0.0)
    }

    /// Returns the probability that an answer that is expected after `expected_ms` comes within
    /// `limit_ms`.
    #[must_use]
    pub fn probability_within(&self, expected_ms: f64, limit_ms: f64) -> f64 {
        let standard = self.excess.max(f64::EPSILON) * Self::STANDARD_PER_EXCESS;
        let distance = (Self::log_ratio(limit_ms, expected_ms) - self.mean) / standard;
        1.0 / (1.0 + (-Self::LOGISTIC_FACTOR * distance).exp())
    }

    fn log_ratio(time_ms: f64, expected_ms: f64) -> f64 {
        ((time_ms + Self::OFFSET_MS) / (expected_ms + Self::OFFSET_MS)).ln()
    }
}
