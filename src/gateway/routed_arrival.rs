use super::*;

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The part.
    pub id: u64,
    /// Its size.
    pub tokens: Tokens,
}

/// A request of a route as the core sees it.
#[derive(Clone, Debug)]
pub struct RoutedArrival {
    /// The request.
    pub request: RequestNumber,
    /// The caller's id of it, for logs.
    pub caller_id: SmolStr,
    /// What it has in common with the same request sent again.
    pub fingerprint: RequestFingerprint,
    /// The host that the caller named.
    pub host: SmolStr,
    /// The path without its query.
    pub path: SmolStr,
    /// The caller's key.
    pub key: Option<SmolStr>,
    /// How long the caller waits.
    pub deadline: Option<Millis>,
    /// The session that it belongs to.
    pub session: Option<SmolStr>,
    /// Whether the router is to choose the model.
    pub any_model: bool,
    /// The tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// The most tokens that may be generated.
    pub output_limit: Tokens,
    /// The parts of the prompt in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has of a stream that broke.
    pub last_event: Option<u64>,
}
