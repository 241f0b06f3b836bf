//! The choice of the model for routes whose operators leave it to the router.
//!
//! The smallest model answers first. It is cheap, and the confidence that it reports shows well
//! enough whether a larger one is needed; a medium-sized model seldom answers what the smallest
//! cannot. The first event of an answer with low confidence is held back, and the request goes to
//! the largest model if that answer is expected to be worth more. When the engines cannot process
//! all prompts with the largest model, its answers would be late and are worth less, so that
//! escalation stops as the servers fill up.

/// The inputs of the decision between the small model's answer and one of the larger model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EscalationInputs {
    /// The confidence that the small model reported, from 0 to 100.
    pub confidence: u8,
    /// The probability that the larger model's first event comes within the objective.
    pub on_time: f64,
    /// The probability that the larger model's answer is complete before the deadline.
    pub complete: f64,
    /// The pressure on larger models; see [`super::EnginePressure`].
    pub pressure: f64,
    /// The fraction of the prompt that the larger model has not cached and must process.
    pub unread_share: f64,
}

impl EscalationInputs {
    /// The confidence at which an answer is as likely to be good as bad.
    const EVEN_CONFIDENCE: f64 = 50.0;
    /// The standard deviation of the error of the reported confidence.
    const CONFIDENCE_SPREAD: f64 = 20.0;
    /// The least probability of a complete answer for which the small one, which is there, is
    /// discarded.
    const MIN_COMPLETE: f64 = 0.5;
    /// The value of a late answer, as a share of that of one on time.
    const LATE_VALUE: f64 = 0.3;
    /// The cost of generating the larger model's answer, as a share of a good answer's value.
    const ANSWER_COST: f64 = 0.04;
    /// The cost of processing a whole prompt with the larger model, as such a share.
    const PROMPT_COST: f64 = 0.14;

    /// The cost to the requests behind it of processing a whole prompt at a pressure of 1, as such
    /// a share.
    const DELAY_COST: f64 = 1.0;

    /// Returns the probability that the small model's answer is good.
    #[must_use]
    pub fn good_share(&self) -> f64 {
        let deviation =
            (f64::from(self.confidence) - Self::EVEN_CONFIDENCE) / Self::CONFIDENCE_SPREAD;
        // The logistic function with this factor lies within 0.01 of the normal distribution.
        1.0 / (1.0 + (-1.702 * deviation).exp())
    }

    /// Returns whether the larger model's answer would be worth more if it certainly came in time.
    #[must_use]
    pub fn should_escalate_if_certain(self) -> bool {
        Self { on_time: 1.0, complete: 1.0, ..self }.should_escalate()
    }

    /// Returns whether the larger model's answer, less its costs, is worth more than the small
    /// one's.
    #[must_use]
    pub fn should_escalate(&self) -> bool {
        if self.complete < Self::MIN_COMPLETE {
            return false;
        }
        let in_time = self.on_time + (1.0 - self.on_time) * Self::LATE_VALUE;
        let larger = in_time * self.complete;
        let delay = Self::DELAY_COST * self.pressure;
        let processing = (Self::PROMPT_COST + delay) * self.unread_share;
        larger - Self::ANSWER_COST - processing > self.good_share()
    }
}
