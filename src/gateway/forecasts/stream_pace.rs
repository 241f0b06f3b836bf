/// The time per generated token as a linear function of the requests beside it, fitted to recent
/// streams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamPace {
    weight: f64,
    requests: f64,
    token_ms: f64,
    requests_squared: f64,
    product: f64,
}

impl StreamPace {
    /// The factor by which a sample's weight falls with each further one.
    const DECAY: f64 = 0.97;

    /// Adds a stream that took `token_ms` for each token beside so many requests.
    pub fn record(&mut self, requests: f64, token_ms: f64) {
        let add = |sum: &mut f64, sample: f64| *sum = *sum * Self::DECAY + sample;
        add(&mut self.weight, 1.0);
        add(&mut self.requests, requests);
        add(&mut self.token_ms, token_ms);
        add(&mut self.requests_squared, requests * requests);
        add(&mut self.product, requests * token_ms);
    }

    /// Returns whether any stream has been recorded.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.weight > 0.0
    }

    /// Returns the expected time per token beside so many requests, in milliseconds; zero before
    /// the first sample.
    #[must_use]
    pub fn token_ms(&self, requests: f64) -> f64 {
        if !self.is_known() {
            return 0.0;
        }
        let (mean_requests, mean_ms) = (self.requests / self.weight, self.token_ms / self.weight);
        let variance = self.requests_squared / self.weight - mean_requests * mean_requests;
        let covariance = self.product / self.weight - mean_requests * mean_ms;
        // More requests make no stream faster, and none at all leave it a positive time.
        let steepest = mean_ms / mean_requests.max(f64::EPSILON);
        let slope = if variance > f64::EPSILON { covariance / variance } else { 0.0 };
        mean_ms + slope.clamp(0.0, steepest) * (requests - mean_requests)
    }
}
