use super::*;

/// Good and bad answers of a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerTally {
    /// The good ones.
    pub good: u32,
    /// The bad ones.
    pub bad: u32,
}

impl AnswerTally {
    /// Counts an answer.
    pub const fn count(&mut self, is_bad: bool) {
        if is_bad {
            self.bad += 1;
        } else {
            self.good += 1;
        }
    }

    /// Returns the share of bad answers.
    #[must_use]
    pub fn bad_share(self) -> f64 {
        f64::from(self.bad) / f64::from((self.good + self.bad).max(1))
    }
}

impl std::ops::Add for AnswerTally {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self { good: self.good + other.good, bad: self.bad + other.bad }
    }
}
