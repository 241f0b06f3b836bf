use super::*;

/// What is known of a request's session before it is routed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionChoice {
    /// The version that the session keeps.
    pub version: Option<VersionId>,
    /// The key of the caller's own id, if it has one.
    pub key: Option<SessionKey>,
    /// Why the session that the caller named does not go on, if it does not.
    pub end: Option<SessionEnd>,
}

/// Why a session does not go on with its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SessionEnd {
    /// The version has been withdrawn or removed.
    Withdrawn,
    /// The team may no longer use the version.
    NotAllowed,
    /// The token was not issued by this service, or its secret is no longer valid.
    InvalidToken,
    /// The token belongs to another team.
    ForeignToken,
    /// The token is too old.
    ExpiredToken,
}

impl SessionEnd {
    /// Returns the reason as the `Guavapass-Session-Moved` header has it.
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
