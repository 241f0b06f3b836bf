use super::*;
use base64::{Engine, prelude::BASE64_URL_SAFE_NO_PAD};

/// Binds a session to its version, for one team.
///
/// As text: `gps1.<payload>.<signature>`, both in base64 for URLs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionToken {
    /// The team.
    pub team: TeamId,
    /// The version.
    pub version: VersionId,
    /// When it was issued, by the wall clock.
    pub issued: Millis,
}

/// Why a token is not obeyed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// It is not one of ours, or was changed, or its secret is no longer valid.
    #[error("The session token is not valid.")]
    Invalid,
    /// It belongs to another team.
    #[error("The session token belongs to another team.")]
    Foreign,
    /// It is too old.
    #[error("The session token has expired.")]
    Expired,
}

impl SessionToken {
    /// How long a token is valid after it was issued; each answer brings a new one.
    pub const LIFETIME_MS: u64 = 24 * 60 * 60 * 1_000;
    const PREFIX: &str = "gps1.";
    const PURPOSE: &str = "guavapass session";

    /// Returns whether a text claims to be a token, rather than a caller's own id.
    #[must_use]
    pub fn claims(text: &str) -> bool {
        text.starts_with(Self::PREFIX)
    }

    /// Returns the token as text; none without a secret.
    #[must_use]
    pub fn seal(&self, keys: &KeyRing) -> Option<SmolStr> {
        let payload = rmp_serde::to_vec(self).ok()?;
        let signature = keys.sign(Self::PURPOSE, &payload)?;
        let payload = BASE64_URL_SAFE_NO_PAD.encode(payload);
        let signature = BASE64_URL_SAFE_NO_PAD.encode(signature);
        Some(format!("{}{payload}.{signature}", Self::PREFIX).into())
    }

    /// Reads a token of a team at a time of the wall clock.
    ///
    /// A token from the future is valid: the wall clock of its issuer may have been ahead.
    ///
    /// # Errors
    ///
    /// Returns why the token is not to be obeyed.
    pub fn open(
        keys: &KeyRing,
        text: &str,
        team: &TeamId,
        unix: Millis,
    ) -> Result<Self, TokenError> {
        let text = text.strip_prefix(Self::PREFIX).ok_or(TokenError::Invalid)?;
        let (payload, signature) = text.split_once('.').ok_or(TokenError::Invalid)?;
        let decode =
            |part: &str| BASE64_URL_SAFE_NO_PAD.decode(part).map_err(|_| TokenError::Invalid);
        let (payload, signature) = (decode(payload)?, decode(signature)?);
        if !keys.verify(Self::PURPOSE, &payload, &signature) {
            return Err(TokenError::Invalid);
        }
        let token: Self = rmp_serde::from_slice(&payload).map_err(|_| TokenError::Invalid)?;
        if token.team != *team {
            return Err(TokenError::Foreign);
        }
        if unix.since(token.issued) > Millis(Self::LIFETIME_MS) {
            return Err(TokenError::Expired);
        }
        Ok(token)
    }
}
