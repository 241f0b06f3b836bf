use super::*;

/// A budget of extra attempts that grows with first attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptBudget {
    level: f64,
}

impl Default for AttemptBudget {
    fn default() -> Self {
        Self { level: Self::FIRST_LEVEL }
    }
}

impl AttemptBudget {
    const FIRST_LEVEL: f64 = 1.0;
    const HIGHEST_LEVEL: f64 = 2.0;

    /// Adds the share of an extra attempt that a first attempt earns.
    pub fn earn(&mut self, share: Share) {
        self.level = (self.level + share.get()).min(Self::HIGHEST_LEVEL);
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
