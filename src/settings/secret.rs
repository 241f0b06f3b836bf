use super::*;

/// A shared secret; its `Debug` output does not reveal it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// The minimum length of a secret in bytes.
    pub const MIN_BYTES: usize = 16;

    /// Creates a secret, or returns none if it has fewer than [`Self::MIN_BYTES`].
    #[must_use]
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= Self::MIN_BYTES).then(|| Self(bytes.into()))
    }

    /// Returns the raw bytes of the secret, which must not be logged.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Compares in constant time, so that the duration does not reveal where the bytes differ.
    #[must_use]
    pub fn matches(&self, other: &[u8]) -> bool {
        use subtle::ConstantTimeEq;
        self.0.ct_eq(other).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}
