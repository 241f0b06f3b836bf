use super::*;

/// The inputs of the decision between the small model's answer and one of the larger model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EscalationInputs {
    /// The confidence that the small model reported, from 0 to 100.
    pub confidence: u8,
    /// The probability that the larger model's first event comes within the objective.
    pub on_time: f64,
    /// The probability that the larger model's answer is complete before the deadline.
    pub complete: f64,
    /// The pressure on the pool's engines.
    pub pressure: PoolPressure,
    /// The work that the prompt needs, as a multiple of that of the mean prompt; see [`MeanWork`].
    pub work: f64,
    /// The share of the ranks of the pool's routes that are more urgent; 0 for the most urgent.
    pub more_urgent: f64,
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
    /// The cost of processing a mean prompt that delays nobody, as such a share.
    const PROMPT_COST: f64 = 0.025;
    /// The largest work that counts, as a multiple of the mean: longer prompts are worth more too.
    const MAX_WORK: f64 = 2.0;
    /// The cost of delaying the requests behind a prompt, and the streams beside it, by their whole
    /// objective, as such a share.
    const DELAY_COST: f64 = 1.5;
    /// The most by which the share of more urgent ranks lowers the value of an answer.
    const LEAST_URGENT_LOSS: f64 = 0.5;

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
        larger - Self::ANSWER_COST - self.processing_cost() > self.good_share()
    }

    /// Returns the cost of processing the prompt to the requests behind it. Each of them loses the
    /// part of its objective that the processing takes; how many there are is the backlog divided by
    /// the mean work, so that the product is the pressure times the work. It counts more the more of
    /// them are more urgent.
    fn processing_cost(&self) -> f64 {
        let delay = Self::DELAY_COST * self.pressure.get();
        let urgency = 1.0 - Self::LEAST_URGENT_LOSS * self.more_urgent;
        (Self::PROMPT_COST + delay) * self.work.min(Self::MAX_WORK) / urgency
    }
}
