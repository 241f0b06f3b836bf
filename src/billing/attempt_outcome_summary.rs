use super::*;

/// The outcome of an attempt, as far as it decides whether the team pays for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOutcomeSummary {
    /// The index of the cascade step that the attempt belongs to.
    pub step: usize,
    /// Whether the server's answer was complete.
    pub is_whole: bool,
    /// Whether the answer, or the beginning of it, was sent to the caller.
    pub is_released: bool,
    /// Whether the server produced at least a part of an answer.
    pub has_produced: bool,
}

impl AttemptOutcomeSummary {
    /// Returns for each attempt whether the team pays for it.
    ///
    /// In the step whose answer was sent to the caller, only the attempt that gave this answer is
    /// charged, even if a competing attempt completed before its cancellation took effect. In every
    /// other step of a cascade, the first complete attempt is charged.
    #[must_use]
    pub fn charges(outcomes: &[Self]) -> Vec<PartCharge> {
        outcomes
            .iter()
            .enumerate()
            .map(|(index, outcome)| outcome.charge(index, outcomes))
            .collect()
    }

    fn charge(self, index: usize, outcomes: &[Self]) -> PartCharge {
        let in_same_step =
            || outcomes.iter().enumerate().filter(|(_, other)| other.step == self.step);
        let is_charged = if in_same_step().any(|(_, other)| other.is_released) {
            self.is_released && (self.is_whole || self.has_produced)
        } else {
            in_same_step()
                .find(|(_, other)| other.is_whole)
                .is_some_and(|(first, _)| first == index)
        };
        if is_charged { PartCharge::Charged } else { PartCharge::Free }
    }
}
