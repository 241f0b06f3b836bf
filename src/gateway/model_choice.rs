//! The choice of the model that answers, where operators leave it to the router.
//!
//! The smallest model answers first. It is cheap, and its own confidence in the answer tells well
//! enough whether a larger one is needed; a middle one seldom answers what the smallest cannot. The
//! first event of an answer that is doubted is held back, and the request goes to the largest model
//! if its answer would be worth more than the one at hand. Answers load patterns in which engines
//! cannot read all prompts with the largest model: an answer that would come late is worth less,
//! so that escalation stops by itself as servers fill up.

/// What decides between an answer at hand and one of a larger model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerPrognosis {
    /// The small model's confidence in its answer, from 0 to 100.
    pub confidence: u8,
    /// Whether the larger model's first event is expected within the objective.
    pub is_on_time: bool,
    /// How long larger models keep callers waiting now, as a part of what they accept.
    pub pressure: f64,
    /// The part of the prompt that the larger model has to read.
    pub unread_part: f64,
}

impl AnswerPrognosis {
    /// The confidence at which an answer is as likely good as bad.
    const EVEN_CONFIDENCE: f64 = 50.0;
    /// How far a confidence is off, as a standard deviation.
    const CONFIDENCE_SPREAD: f64 = 20.0;
    /// The worth of an answer that comes late, as a share of one on time.
    const LATE_WORTH: f64 = 0.3;
    /// What the larger model's answer costs, as a share of a good answer's worth.
    const ANSWER_COST: f64 = 0.04;
    /// What it costs that the larger model reads a whole prompt, as such a share.
    const PROMPT_COST: f64 = 0.14;

    /// What reading a whole prompt costs the requests behind it, at a pressure of one.
    const READING_COST: f64 = 1.0;

    /// Returns how likely the answer at hand is good.
    #[must_use]
    pub fn good_share(&self) -> f64 {
        let off = (f64::from(self.confidence) - Self::EVEN_CONFIDENCE) / Self::CONFIDENCE_SPREAD;
        // The logistic function with this factor lies within 0.01 of the normal distribution.
        1.0 / (1.0 + (-1.702 * off).exp())
    }

    /// Returns whether the larger model is to answer instead.
    #[must_use]
    pub fn is_worth_more(&self) -> bool {
        let larger = if self.is_on_time { 1.0 } else { Self::LATE_WORTH };
        let delay = Self::READING_COST * self.pressure;
        let reading = (Self::PROMPT_COST + delay) * self.unread_part;
        larger - Self::ANSWER_COST - reading > self.good_share()
    }
}
