use super::*;

/// The time to the first event of a prompt as a linear function of the tokens that its server has
/// to process, fitted to recent first events. Without the fixed part, the time of short prompts
/// would count as time per token.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptPace {
    points: RecentPoints,
}

impl PromptPace {
    /// The factor by which a sample's weight falls with each further one.
    const DECAY: f64 = 0.98;
    /// The time per token before the first sample, in milliseconds; lies between those of small and
    /// large models.
    const INITIAL_TOKEN_MS: f64 = 0.02;
    /// The number of samples that the initial time per token counts for.
    const PRIOR_SAMPLES: f64 = 2.0;
    /// The variance of the tokens of those samples.
    const PRIOR_VARIANCE: f64 = 4e6;
    /// The range of the time per token, in milliseconds.
    const TOKEN_MS_RANGE: (f64, f64) = (0.002, 0.5);
    /// A sample counts at most as this multiple of the expected time: what exceeds it is a queue
    /// that this VM did not know of.
    const MAX_FACTOR: f64 = 2.0;
    /// Added to that bound, in milliseconds.
    const MAX_EXCESS_MS: f64 = 50.0;

    /// Adds a first event that took so long.
    pub fn record(&mut self, tokens: f64, took_ms: f64) {
        let latest = Self::MAX_FACTOR * (self.fixed_ms() + self.token_ms() * tokens);
        let is_known = !self.points.is_empty();
        let counted = if is_known { took_ms.min(latest + Self::MAX_EXCESS_MS) } else { took_ms };
        self.points.record(tokens, counted, Self::DECAY);
    }

    /// Returns the time to process one prompt token, in milliseconds.
    #[must_use]
    pub fn token_ms(&self) -> f64 {
        if self.points.is_empty() {
            return Self::INITIAL_TOKEN_MS;
        }
        let prior_share = Self::PRIOR_SAMPLES / (self.points.weight() + Self::PRIOR_SAMPLES);
        let prior = Self::PRIOR_VARIANCE * prior_share;
        let covariance = self.points.covariance() + prior * Self::INITIAL_TOKEN_MS;
        let slope = covariance / (self.points.variance_x() + prior);
        slope.clamp(Self::TOKEN_MS_RANGE.0, Self::TOKEN_MS_RANGE.1)
    }

    /// Returns the time to the first event of a prompt that is cached, in milliseconds.
    #[must_use]
    pub fn fixed_ms(&self) -> f64 {
        if self.points.is_empty() {
            return 0.0;
        }
        (self.points.mean_y() - self.token_ms() * self.points.mean_x()).max(0.0)
    }
}
