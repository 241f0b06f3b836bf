use super::*;

/// The properties of a request on which routing decisions are based.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestProfile {
    /// The team that sent the request.
    pub team: TeamId,
    /// The subscriber of the team that sent the request.
    pub subscriber: SubscriberId,
    /// The expected size class.
    pub class: SizeClass,
    /// The size of the prompt in tokens.
    pub prompt_tokens: Tokens,
    /// The expected number of generated tokens.
    pub expected_output: Tokens,
    /// Whether the answer is streamed or sent whole.
    pub mode: AnswerMode,
    /// When the request arrived at this entry VM.
    pub arrived: Millis,
    /// When the caller stops waiting for the answer.
    pub deadline: Millis,
    /// A hash of the session, or of the request if there is none, by which requests are assigned to
    /// the shares of roll-outs and other samples.
    pub share_hash: u64,
}

impl RequestProfile {
    /// Returns the expected cost of the request on a version.
    #[must_use]
    pub fn expected_cost(&self, entry: &VersionEntry) -> Cost {
        entry.cost_of(self.prompt_tokens, self.expected_output)
    }

    /// Returns the expected run time of the request on a version, without queueing.
    #[must_use]
    pub fn expected_run(&self, entry: &VersionEntry) -> Millis {
        let generating = self.expected_output.0 as f64 / entry.stream_rate.0 * 1_000.0;
        entry.first_token_ms + Millis(generating as u64)
    }

    /// Returns a number from 0 to 1 that depends only on `share_hash` and the name of the series.
    /// It is uniformly distributed, and independent between series; comparing it with a share
    /// samples that share of the requests.
    #[must_use]
    pub fn place(&self, series: &impl Display) -> f64 {
        let seed = xxhash_rust::xxh3::xxh3_64(series.to_string().as_bytes());
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&self.share_hash.to_le_bytes(), seed);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The expected size of a request, which decides the queue and the slots that it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SizeClass {
    /// A small request, such as a question or a booking.
    Short,
    /// A large request, such as a dossier or a long draft.
    Long,
}

impl SizeClass {
    /// The number of size classes, the length of arrays indexed by [`Self::index`].
    pub const COUNT: usize = 2;
    /// A request counts as long from this amount of work, in equivalents of prompt tokens.
    const LONG_WORK_TOKENS: u64 = 4_000;
    /// The work of generating one token, in equivalents of prompt tokens.
    const OUTPUT_TOKEN_WORK: u64 = 4;
    /// A call of a plain service counts as long from this expected duration.
    const LONG_CALL_MS: u64 = 5_000;

    /// Returns the size class of a request to a model, by its prompt and expected output.
    #[must_use]
    pub fn of(prompt: Tokens, output: Tokens) -> Self {
        let work = prompt.0.saturating_add(output.0.saturating_mul(Self::OUTPUT_TOKEN_WORK));
        if work >= Self::LONG_WORK_TOKENS { Self::Long } else { Self::Short }
    }

    /// Returns the size class of a call of a plain service, by its expected duration.
    #[must_use]
    pub fn of_call(expected: Millis) -> Self {
        if expected.0 >= Self::LONG_CALL_MS { Self::Long } else { Self::Short }
    }

    /// Returns the array index of the class, below [`Self::COUNT`].
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Short => 0,
            Self::Long => 1,
        }
    }
}
