use super::*;

/// Numbers of good and bad answers of a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Answers that came in time and without a server error.
    pub good: u32,
    /// Answers that failed, broke off or came too late.
    pub bad: u32,
}

impl AnswerCounts {
    /// Adds one answer to the good or bad ones.
    pub const fn count(&mut self, is_bad: bool) {
        if is_bad {
            self.bad += 1;
        } else {
            self.good += 1;
        }
    }

    /// Returns the share of bad answers, from 0 to 1; 0 without answers.
    #[must_use]
    pub fn bad_share(self) -> f64 {
        f64::from(self.bad) / f64::from((self.good + self.bad).max(1))
    }
}

impl std::ops::Add for AnswerCounts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self { good: self.good + other.good, bad: self.bad + other.bad }
    }
}
