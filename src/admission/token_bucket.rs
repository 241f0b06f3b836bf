use super::*;

/// A token bucket whose level may go below zero: one request may overdraw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    level: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a bucket with an initial level.
    #[must_use]
    pub const fn new(now: Millis, level: f64) -> Self {
        Self { level, refilled_at: now }
    }

    /// Refills the bucket for the time since the last call. Its capacity is the refill of one
    /// second, but at least `min_capacity`.
    pub fn refill(&mut self, now: Millis, per_second: f64, min_capacity: f64) {
        let seconds = now.since(self.refilled_at).0 as f64 / 1_000.0;
        self.refilled_at = now;
        self.level = (self.level + per_second * seconds).min(per_second.max(min_capacity));
    }

    /// Adds an amount to the bucket, up to a level of `max_level`.
    pub fn add(&mut self, amount: f64, max_level: f64) {
        self.level = (self.level + amount).min(max_level);
    }

    /// Returns whether the level is above zero. A request that finds it so may overdraw the bucket.
    #[must_use]
    pub fn has_tokens(&self) -> bool {
        self.level > 0.0
    }

    /// Spends an amount if the level covers all of it, and returns whether it did.
    pub fn try_spend(&mut self, amount: f64) -> bool {
        let is_covered = self.level >= amount;
        if is_covered {
            self.level -= amount;
        }
        is_covered
    }

    /// Spends an amount, which may leave the level below zero. A negative amount is a refund.
    pub fn spend(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Returns the time until a refill rate has brought the level back to zero, at most a minute.
    #[must_use]
    pub fn time_until_available(&self, per_second: f64) -> Millis {
        const MAX_WAIT_MS: f64 = 60_000.0;
        if self.level > 0.0 {
            return Millis(0);
        }
        let wait = (-self.level / per_second.max(1e-9) * 1_000.0).min(MAX_WAIT_MS);
        Millis(wait.ceil() as u64)
    }
}
