use super::*;

/// Limits the rate at which versions are loaded, to that of the store of model weights.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadRateLimiter {
    next_load: Millis,
    paused_until: Millis,
}

impl LoadRateLimiter {
    const MINUTE_MS: u64 = 60_000;

    /// Returns whether a load may start now, and if so, counts it. A rate of zero allows no load.
    pub fn try_start_load(&mut self, now: Millis, loads_per_minute: u32) -> bool {
        if loads_per_minute == 0 || now < self.next_load || now < self.paused_until {
            return false;
        }
        let interval = Self::MINUTE_MS / u64::from(loads_per_minute);
        let catch_up = now + Millis(interval / 2);
        self.next_load = (self.next_load + Millis(interval)).max(catch_up);
        true
    }

    /// Allows no load for the time that the store asked to wait.
    pub fn pause(&mut self, now: Millis, retry_after: Millis) {
        self.paused_until = self.paused_until.max(now + retry_after);
    }
}
