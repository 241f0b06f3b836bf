use super::*;

/// What routing knows of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestProfile {
    /// The team.
    pub team: TeamId,
    /// The subscriber in the team.
    pub subscriber: SubscriberId,
    /// The expected size.
    pub class: SizeClass,
    /// The size of the prompt.
    pub prompt_tokens: Tokens,
    /// The tokens expected to be generated.
    pub expected_output: Tokens,
    /// Whether the answer is streamed.
    pub mode: AnswerMode,
    /// When the request arrived.
    pub arrived: Millis,
    /// When its caller stops waiting.
    pub deadline: Millis,
}

/// The expected size of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SizeClass {
    /// A question or a booking.
    Short,
    /// A dossier or a long draft.
    Long,
}

impl SizeClass {
    /// The work, in tokens, from which a request counts as long.
    const LONG_WORK_TOKENS: u64 = 4_000;
    /// The work of generating a token, in prompt tokens.
    const OUTPUT_TOKEN_WORK: u64 = 4;

    /// Returns the class of a request.
    #[must_use]
    pub fn of(prompt: Tokens, output: Tokens) -> Self {
        let work = prompt.0.saturating_add(output.0.saturating_mul(Self::OUTPUT_TOKEN_WORK));
        if work >= Self::LONG_WORK_TOKENS { Self::Long } else { Self::Short }
    }
}
