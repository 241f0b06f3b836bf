use super::*;

/// A part of a prompt that other prompts may share, and that servers cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The id, equal for equal parts.
    pub id: u64,
    /// The size of the part.
    pub tokens: Tokens,
}

/// The metadata of a request that has arrived.
#[derive(Clone, Debug)]
pub struct RoutedArrival {
    /// The request.
    pub request: RequestNumber,
    /// The caller's id of the request, for logs.
    pub caller_id: SmolStr,
    /// The fingerprint, equal for a request that a caller sends again.
    pub fingerprint: RequestFingerprint,
    /// The `Host` header of the request.
    pub host: SmolStr,
    /// The path without its query.
    pub path: SmolStr,
    /// The caller's API key, if it sent one.
    pub key: Option<SmolStr>,
    /// How long the caller waits for the answer, if it says.
    pub deadline: Option<Millis>,
    /// The session that the request belongs to, if any.
    pub session: Option<SmolStr>,
    /// Whether the router chooses the model.
    pub any_model: bool,
    /// The number of tokens in the prompt; zero for a plain service.
    pub prompt_tokens: Tokens,
    /// The maximum number of tokens to generate.
    pub output_limit: Tokens,
    /// The parts of the prompt in order. The last one is not shared with other requests. Empty for
    /// a plain service.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller received of an interrupted stream, if it resumes one.
    pub last_event: Option<u64>,
}

impl RoutedArrival {
    /// Returns the parts of the prompt that other requests may share: all but the last.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}
