use super::*;
use hmac::{KeyInit, Mac};

type HmacSha256 = hmac::Hmac<sha2::Sha256>;

/// The secrets for message authentication codes (HMAC-SHA-256).
///
/// The first secret signs and all of them verify, so that a secret can be replaced without an
/// interruption while two are valid.
#[derive(Clone, Default)]
pub struct KeyRing {
    secrets: Vec<Arc<[u8]>>,
}

impl KeyRing {
    /// The length of a signature in bytes.
    pub const SIGNATURE_BYTES: usize = 32;

    /// Returns a key ring of the secrets, of which the first one signs.
    pub fn new<'a>(secrets: impl IntoIterator<Item = &'a [u8]>) -> Self {
        Self { secrets: secrets.into_iter().map(Arc::from).collect() }
    }

    /// Returns whether there is no secret, so that nothing can be signed or verified.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.secrets.is_empty()
    }

    /// Returns the signature of a message, or none if there is no secret. A signature for one
    /// purpose is not valid for another.
    #[must_use]
    pub fn sign(&self, purpose: &str, message: &[u8]) -> Option<[u8; Self::SIGNATURE_BYTES]> {
        let mac = Self::mac(self.secrets.first()?, purpose, message)?;
        Some(mac.finalize().into_bytes().into())
    }

    /// Returns whether a signature of a message for a purpose was made with one of the secrets.
    #[must_use]
    pub fn verify(&self, purpose: &str, message: &[u8], signature: &[u8]) -> bool {
        self.secrets.iter().any(|secret| {
            Self::mac(secret, purpose, message)
                .is_some_and(|mac| mac.verify_slice(signature).is_ok())
        })
    }

    fn mac(secret: &[u8], purpose: &str, message: &[u8]) -> Option<HmacSha256> {
        let mut mac = HmacSha256::new_from_slice(secret).ok()?;
        mac.update(purpose.as_bytes());
        mac.update(&[0]);
        mac.update(message);
        Some(mac)
    }
}

impl From<Vec<Secret>> for KeyRing {
    fn from(secrets: Vec<Secret>) -> Self {
        Self::new(secrets.iter().map(Secret::bytes))
    }
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyRing({} secrets)", self.secrets.len())
    }
}
