use super::*;

/// Spreads loads within the rate of the weight store.
#[derive(Clone, Copy, Debug, Default)]
pub struct WeightBudget {
    next: Millis,
    closed_until: Millis,
}

impl WeightBudget {
    const MINUTE_MS: u64 = 60_000;

    /// Returns whether a load may start now, and counts it if so.
    pub fn take(&mut self, now: Millis, loads_per_minute: u32) -> bool {
        if loads_per_minute == 0 || now < self.next || now < self.closed_until {
            return false;
        }
        let interval = Self::MINUTE_MS / u64::from(loads_per_minute);
        let catch_up = now + Millis(interval / 2);
        self.next = (self.next + Millis(interval)).max(catch_up);
        true
    }

    /// Starts no load for as long as the store asks.
    pub fn refused(&mut self, now: Millis, retry_after: Millis) {
        self.closed_until = self.closed_until.max(now + retry_after);
    }
}
