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
    /// A hash of its session, or of the request itself, that decides its part in a roll-out.
    pub share_hash: u64,
}

impl RequestProfile {
    /// Returns the cost that the request is expected to have on a version.
    #[must_use]
    pub fn expected_cost(&self, entry: &VersionEntry) -> Cost {
        entry.cost_of(self.prompt_tokens, self.expected_output)
    }

    /// Returns how long the request is expected to run on a version.
    #[must_use]
    pub fn expected_run(&self, entry: &VersionEntry) -> Millis {
        let generating = self.expected_output.0 as f64 / entry.stream_rate.0 * 1_000.0;
        entry.first_token_ms + Millis(generating as u64)
    }

    /// Returns the place of the request in a series of equal shares, from 0 to 1.
    #[must_use]
    pub fn place(&self, series: &impl Display) -> f64 {
        let seed = xxhash_rust::xxh3::xxh3_64(series.to_string().as_bytes());
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&self.share_hash.to_le_bytes(), seed);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }
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
    /// The number of classes.
    pub const COUNT: usize = 2;
    /// The work, in tokens, from which a request counts as long.
    const LONG_WORK_TOKENS: u64 = 4_000;
    /// The work of generating a token, in prompt tokens.
    const OUTPUT_TOKEN_WORK: u64 = 4;
    /// The time from which a call of a plain service counts as long.
    const LONG_CALL_MS: u64 = 5_000;

    /// Returns the class of a request.
    #[must_use]
    pub fn of(prompt: Tokens, output: Tokens) -> Self {
        let work = prompt.0.saturating_add(output.0.saturating_mul(Self::OUTPUT_TOKEN_WORK));
        if work >= Self::LONG_WORK_TOKENS { Self::Long } else { Self::Short }
    }

    /// Returns the class of a call of a plain service.
    #[must_use]
    pub fn of_call(expected: Millis) -> Self {
        if expected.0 >= Self::LONG_CALL_MS { Self::Long } else { Self::Short }
    }

    /// Returns the index of the class.
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Short => 0,
            Self::Long => 1,
        }
    }
}
