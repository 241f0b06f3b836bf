use super::*;

/// A budget that fills at a rate and is spent by use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    level: f64,
    filled: Millis,
}

impl TokenBucket {
    /// Returns a bucket with a level.
    #[must_use]
    pub const fn new(now: Millis, level: f64) -> Self {
        Self { level, filled: now }
    }

    /// Fills the bucket for the time since the last call, up to one second's worth and at least
    /// `least`.
    pub fn fill(&mut self, now: Millis, per_second: f64, least: f64) {
        let seconds = now.since(self.filled).0 as f64 / 1_000.0;
        self.filled = now;
        self.level = (self.level + per_second * seconds).min(per_second.max(least));
    }

    /// Adds to the bucket, up to a bound.
    pub fn add(&mut self, amount: f64, bound: f64) {
        self.level = (self.level + amount).min(bound);
    }

    /// Returns whether an amount is there; debt is allowed to the one request that exceeds it.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.level > 0.0
    }

    /// Takes an amount if it is there.
    pub fn take(&mut self, amount: f64) -> bool {
        let has = self.level >= amount;
        if has {
            self.level -= amount;
        }
        has
    }

    /// Takes an amount, into debt if need be.
    pub fn spend(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Returns the time until the level is above zero at a rate.
    #[must_use]
    pub fn opens_after(&self, per_second: f64) -> Millis {
        const LONGEST_MS: f64 = 60_000.0;
        if self.level > 0.0 {
            return Millis(0);
        }
        let wait = (-self.level / per_second.max(1e-9) * 1_000.0).min(LONGEST_MS);
        Millis(wait.ceil() as u64)
    }
}
