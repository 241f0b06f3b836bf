use super::*;

/// A secret, which is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// The least length of a secret in bytes.
    pub const MIN_BYTES: usize = 16;

    /// Returns a secret, or nothing if it is too short.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= Self::MIN_BYTES).then(|| Self(bytes.into()))
    }

    /// Returns the bytes.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Compares without telling by its duration where the difference is.
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
