use super::*;
use base64::{Engine, prelude::BASE64_URL_SAFE_NO_PAD};

/// A signed token that names a session's version, for one team.
///
/// Its text is `gps1.<payload>.<signature>`, both in URL-safe base64.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionToken {
    /// The team that the token was issued to; it is not valid for others.
    pub team: TeamId,
    /// The version that the session keeps.
    pub version: VersionId,
    /// When it was issued, in Unix time.
    pub issued: Millis,
}

/// Why a session token is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// It was not issued by this service, was changed, or was signed with a secret that is no
    /// longer valid.
    #[error("The session token is not valid.")]
    Invalid,
    /// It was issued to another team.
    #[error("The session token belongs to another team.")]
    Foreign,
    /// It was issued longer than [`SessionToken::LIFETIME_MS`] ago.
    #[error("The session token has expired.")]
    Expired,
}

impl SessionToken {
    /// How long a token is valid after it was issued. Each answer brings a new one.
    pub const LIFETIME_MS: u64 = 24 * 60 * 60 * 1_000;
    const PREFIX: &str = "gps1.";
    const PURPOSE: &str = "guavapass session";

    /// Returns whether a text has the form of a token, rather than that of a caller's own id.
    #[must_use]
    pub fn has_token_prefix(text: &str) -> bool {
        text.starts_with(Self::PREFIX)
    }

    /// Signs the token and returns its text; none if there is no secret.
    #[must_use]
    pub fn sign(&self, keys: &KeyRing) -> Option<SmolStr> {
        let payload = rmp_serde::to_vec(self).ok()?;
        let signature = keys.sign(Self::PURPOSE, &payload)?;
        let payload = BASE64_URL_SAFE_NO_PAD.encode(payload);
        let signature = BASE64_URL_SAFE_NO_PAD.encode(signature);
        Some(format!("{}{payload}.{signature}", Self::PREFIX).into())
    }

    /// Verifies the text of a token for a team, at a Unix time.
    ///
    /// A token issued in the future is valid, as the clock of the VM that issued it may have been
    /// ahead.
    ///
    /// # Errors
    ///
    /// Returns why the token is not accepted.
    pub fn verify(
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
