use super::*;

/// The forecast of one answer, as of when it was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerForecast {
    /// The error of forecasts of the first event.
    pub first: ForecastError,
    /// The error of forecasts of the end.
    pub end: ForecastError,
    /// The estimated time to the first event, in milliseconds.
    pub first_ms: f64,
    /// The estimated time to the end, in milliseconds.
    pub end_ms: f64,
    /// Whether `end_ms` rests on the end of another stream.
    pub knows_end: bool,
    /// The estimated number of requests at the server.
    pub beside: f64,
    /// The largest number of tokens in the answer.
    pub tokens: f64,
}

impl AnswerForecast {
    /// Returns the time to the first event that half of such answers take.
    #[must_use]
    pub fn median_first(&self) -> Millis {
        Millis(self.first.median(self.first_ms) as u64)
    }

    /// Returns the time to the end that half of such answers take.
    #[must_use]
    pub fn median_end(&self) -> Millis {
        Millis(self.end.median(self.end_ms) as u64)
    }

    /// Returns by how much a run that has taken so long is later than few answers are.
    #[must_use]
    pub fn lateness_ms(&self, took: Millis, has_begun: bool) -> f64 {
        let latest = match has_begun {
            false => self.first.latest(self.first_ms),
            true if self.knows_end => self.end.latest(self.end_ms),
            true => return 0.0,
        };
        (took.0 as f64 - latest).max(0.0)
    }

    /// Returns the probability that the first event comes within a time.
    #[must_use]
    pub fn begins_within(&self, limit: Millis) -> f64 {
        self.first.probability_within(self.first_ms, limit.0 as f64)
    }

    /// Returns the probability that the answer is complete within a time.
    #[must_use]
    pub fn ends_within(&self, limit: Millis) -> f64 {
        self.end.probability_within(self.end_ms, limit.0 as f64)
    }
}
