/// What a retry is for; decides how much of the retry budget it must leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum RetryPurpose {
    /// A server failed the request; without the retry its caller gets no answer.
    Failure,
    /// A larger model's answer instead of a small one's.
    Escalation,
}

impl RetryPurpose {
    /// The share of the budget that escalations leave for failures. Servers that crash fail many
    /// requests at once, and escalations spend most of the budget on any day.
    const ESCALATION_LEAVES: f64 = 0.1;
    /// The share of the budget that the least urgent requests leave for more urgent ones.
    const LEAST_URGENT_LEAVES: f64 = 0.1;

    /// Returns the share of the budget that must be left after the retry; `less_urgent` is the
    /// share of the pool's ranks that are more urgent than the request's.
    pub(in crate::gateway) fn leaves(self, less_urgent: f64) -> f64 {
        let for_failures = match self {
            Self::Failure => 0.0,
            Self::Escalation => Self::ESCALATION_LEAVES,
        };
        for_failures + Self::LEAST_URGENT_LEAVES * less_urgent
    }
}
