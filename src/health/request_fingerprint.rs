use super::*;

/// A hash that stays the same when a caller repeats a request: it covers the caller, the method,
/// the path with its query, and the body.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Computes the fingerprint of a request; `target` is the path with its query.
    #[must_use]
    pub fn of(caller: Option<&str>, method: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [caller.unwrap_or_default().as_bytes(), method.as_bytes(), target.as_bytes()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        Self(hasher.digest())
    }
}

impl Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| IdError::Number { text: text.into() })
    }
}
