use super::*;

/// A budget of extra attempts (hedges or retries) that is funded by first attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptBudget {
    level: f64,
    capacity: f64,
}

impl Default for AttemptBudget {
    fn default() -> Self {
        Self::hedges()
    }
}

impl AttemptBudget {
    /// Creates a budget for hedges, with a small reserve.
    #[must_use]
    pub const fn hedges() -> Self {
        Self { level: 1.0, capacity: 2.0 }
    }

    /// Creates a budget for retries, with a reserve large enough for the retries after a few server
    /// crashes.
    #[must_use]
    pub const fn retries() -> Self {
        Self { level: 10.0, capacity: 20.0 }
    }

    /// Adds the fraction of an extra attempt that one first attempt funds.
    pub fn deposit(&mut self, share: Share) {
        self.level = (self.level + share.get()).min(self.capacity);
    }

    /// Spends one extra attempt if the budget covers it, and returns whether it did.
    pub fn try_spend(&mut self) -> bool {
        let is_covered = self.level >= 1.0;
        if is_covered {
            self.level -= 1.0;
        }
        is_covered
    }
}
