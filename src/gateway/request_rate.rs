use super::*;

/// A moving average of the rate of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestRate {
    rate: f64,
    updated: Millis,
}

impl RequestRate {
    const TIME_CONSTANT_MS: f64 = 1_000.0;

    /// Counts a request.
    pub(super) fn record(&mut self, now: Millis) {
        self.rate = self.get(now).0 + 1_000.0 / Self::TIME_CONSTANT_MS;
        self.updated = now;
    }

    pub(super) fn get(&self, now: Millis) -> RequestsPerSecond {
        let age = now.since(self.updated).0 as f64;
        RequestsPerSecond(self.rate * (-age / Self::TIME_CONSTANT_MS).exp())
    }
}
