use super::*;

/// A budget of extra attempts that grows with first attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptBudget {
    level: f64,
    highest: f64,
}

impl Default for AttemptBudget {
    fn default() -> Self {
        Self::hedges()
    }
}

impl AttemptBudget {
    /// Returns a budget of hedges, which keeps little in reserve.
    #[must_use]
    pub const fn hedges() -> Self {
        Self { level: 1.0, highest: 2.0 }
    }

    /// Returns a budget of retries, whose reserve carries a pool over a few crashes.
    #[must_use]
    pub const fn retries() -> Self {
        Self { level: 10.0, highest: 20.0 }
    }

    /// Adds the share of an extra attempt that a first attempt earns.
    pub fn earn(&mut self, share: Share) {
        self.level = (self.level + share.get()).min(self.highest);
    }

    /// Takes one extra attempt if the budget has it.
    pub fn take(&mut self) -> bool {
        let has = self.level >= 1.0;
        if has {
            self.level -= 1.0;
        }
        has
    }
}
