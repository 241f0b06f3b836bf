use super::*;

/// A final answer that is not a whole one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What kind of refusal it is.
    pub code: RefusalCode,
    /// One sentence for the caller.
    pub message: SmolStr,
    /// When the caller may come back.
    pub retry_after: Option<Millis>,
    /// Whether the request has run.
    pub run: RunState,
}

impl Refusal {
    /// Returns a refusal of a request that has not run.
    #[must_use]
    pub fn not_run(code: RefusalCode, message: impl Into<SmolStr>) -> Self {
        Self { code, message: message.into(), retry_after: None, run: RunState::NotRun }
    }

    /// Adds the time after which the caller may come back.
    #[must_use]
    pub fn with_retry_after(self, retry_after: Millis) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// Replaces what is known about the run.
    #[must_use]
    pub fn with_run(self, run: RunState) -> Self {
        Self { run, ..self }
    }
}

/// The kind of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request cannot be read.
    BadRequest,
    /// The key is missing or unknown.
    Unauthorised,
    /// The team may not use what it asks for.
    Forbidden,
    /// There is no such model, version or service.
    NotFound,
    /// The same idempotency key is in use or has been used.
    Conflict,
    /// The body is larger than the limit.
    TooLarge,
    /// The head is larger than the limit.
    HeadTooLarge,
    /// The request can be read but not accepted.
    Unprocessable,
    /// The team is over one of its limits.
    OverLimit,
    /// The backend server failed.
    BadGateway,
    /// There is no capacity, or the process cannot serve now.
    Unavailable,
    /// The deadline has passed or cannot be met.
    Timeout,
}

impl RefusalCode {
    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorised => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::HeadTooLarge => 431,
            Self::Unprocessable => 422,
            Self::OverLimit => 429,
            Self::BadGateway => 502,
            Self::Unavailable => 503,
            Self::Timeout => 504,
        }
    }

    /// Returns the code as callers see it.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorised => "unauthorised",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::Conflict => "conflict",
            Self::TooLarge => "too_large",
            Self::HeadTooLarge => "head_too_large",
            Self::Unprocessable => "unprocessable",
            Self::OverLimit => "over_limit",
            Self::BadGateway => "bad_gateway",
            Self::Unavailable => "unavailable",
            Self::Timeout => "timeout",
        }
    }
}
