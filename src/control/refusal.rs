use super::*;

/// A final answer to a caller that is an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind of the refusal, which decides the HTTP status.
    pub code: RefusalCode,
    /// One sentence that tells the caller what to do.
    pub message: SmolStr,
    /// How long the caller should wait before it sends the request again; none if it need not wait
    /// or should not repeat the request.
    pub retry_after: Option<Millis>,
    /// What is known about whether the request has run.
    pub run: RunState,
}

impl Refusal {
    /// Returns a refusal of a request that has certainly not run.
    #[must_use]
    pub fn not_run(code: RefusalCode, message: impl Into<SmolStr>) -> Self {
        Self { code, message: message.into(), retry_after: None, run: RunState::NotRun }
    }

    /// Sets how long the caller should wait before it sends the request again.
    #[must_use]
    pub fn with_retry_after(self, retry_after: Millis) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// Sets what is known about whether the request has run.
    #[must_use]
    pub fn with_run(self, run: RunState) -> Self {
        Self { run, ..self }
    }
}

/// The kind of a refusal, which decides the HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed.
    BadRequest,
    /// The bearer key is missing or unknown.
    Unauthorised,
    /// The team may not use the model or service.
    Forbidden,
    /// There is no such model, version, service or route.
    NotFound,
    /// The idempotency key is in use, or was used and the stored answer is gone.
    Conflict,
    /// The body exceeds the size limit.
    TooLarge,
    /// The head exceeds the size limit.
    HeadTooLarge,
    /// The request is well-formed but cannot be accepted.
    Unprocessable,
    /// The team is over one of its limits.
    OverLimit,
    /// The backend server failed or gave no valid answer.
    BadGateway,
    /// There is no capacity, or the VM cannot serve now.
    Unavailable,
    /// The deadline has passed or cannot be met.
    Timeout,
}

impl RefusalCode {
    /// Returns the HTTP status sent to the caller.
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

    /// Returns the code as it appears in the answer's body and in logs.
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
