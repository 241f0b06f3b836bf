use super::*;

/// What is known about a request's session before the request is routed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionChoice {
    /// The version that the session keeps; none if it has none yet or cannot continue with it.
    pub version: Option<VersionId>,
    /// The key of the session; none if the caller sent a token instead of an id.
    pub key: Option<SessionKey>,
    /// Why the session cannot continue with its version; none if it can.
    pub end: Option<SessionEnd>,
}

/// Why a session cannot continue with its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SessionEnd {
    /// The version has been withdrawn or removed.
    Withdrawn,
    /// The team may no longer use the version.
    NotAllowed,
    /// The token was not issued by this service, was changed, or was signed with a secret that is
    /// no longer valid.
    InvalidToken,
    /// The token belongs to another team.
    ForeignToken,
    /// The token has expired.
    ExpiredToken,
}

impl SessionEnd {
    /// Returns the value of the `Guavapass-Session-Moved` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Withdrawn => "withdrawn",
            Self::NotAllowed => "not-allowed",
            Self::InvalidToken => "invalid-token",
            Self::ForeignToken => "foreign-token",
            Self::ExpiredToken => "expired-token",
        }
    }
}

impl From<TokenError> for SessionEnd {
    fn from(error: TokenError) -> Self {
        match error {
            TokenError::Invalid => Self::InvalidToken,
            TokenError::Foreign => Self::ForeignToken,
            TokenError::Expired => Self::ExpiredToken,
        }
    }
}
