use super::*;

/// What decides whether a team pays for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// The step of the plan that it belongs to.
    pub step: usize,
    /// Whether it answered whole.
    pub is_whole: bool,
    /// Whether its answer went to the caller.
    pub is_released: bool,
    /// Whether it produced a part of an answer.
    pub has_produced: bool,
}

impl AttemptEnd {
    /// Returns what a team pays for: in the step whose answer went to the caller that attempt alone,
    /// even if one that lost against it was whole by the time it heard so; in each other step of a
    /// cascade the attempt that decided it.
    #[must_use]
    pub fn charges(ends: &[Self]) -> Vec<PartCharge> {
        ends.iter().enumerate().map(|(index, end)| end.charge(index, ends)).collect()
    }

    fn charge(self, index: usize, ends: &[Self]) -> PartCharge {
        let of_step = || ends.iter().enumerate().filter(|(_, other)| other.step == self.step);
        let is_charged = if of_step().any(|(_, other)| other.is_released) {
            self.is_released && (self.is_whole || self.has_produced)
        } else {
            of_step().find(|(_, other)| other.is_whole).is_some_and(|(first, _)| first == index)
        };
        if is_charged { PartCharge::Charged } else { PartCharge::Free }
    }
}
