use super::*;

/// The time per generated token as a linear function of the requests beside it, fitted to recent
/// streams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamPace {
    points: RecentPoints,
}

impl StreamPace {
    /// The factor by which a sample's weight falls with each further one.
    const DECAY: f64 = 0.97;

    /// Adds a stream that took `token_ms` for each token beside so many requests.
    pub fn record(&mut self, requests: f64, token_ms: f64) {
        self.points.record(requests, token_ms, Self::DECAY);
    }

    /// Returns whether any stream has been recorded.
    #[must_use]
    pub fn is_known(&self) -> bool {
        !self.points.is_empty()
    }

    /// Returns the expected time per token beside so many requests, in milliseconds; zero before
    /// the first sample.
    #[must_use]
    pub fn token_ms(&self, requests: f64) -> f64 {
        if !self.is_known() {
            return 0.0;
        }
        let (mean_requests, mean_ms) = (self.points.mean_x(), self.points.mean_y());
        let variance = self.points.variance_x();
        // More requests make no stream faster, and none at all leave it a positive time.
        let steepest = mean_ms / mean_requests.max(f64::EPSILON);
        let slope = if variance > f64::EPSILON { self.points.covariance() / variance } else { 0.0 };
        mean_ms + slope.clamp(0.0, steepest) * (requests - mean_requests)
    }
}
