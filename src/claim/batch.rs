use super::*;

/// A record of a `claims-NN` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// When the record was made, by the wall clock of its batcher.
    pub stamp: Millis,
    /// The entries, which are applied in this order.
    pub entries: Vec<ClaimEntry>,
}

/// A claim or a release of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEntry {
    /// Takes a key, provided that nobody holds it.
    Claim {
        /// The key to take.
        key: ClaimKey,
        /// The claimant and its attempt.
        name: ClaimName,
        /// The hash of the request, by which a reuse of the key for another request is recognised.
        fingerprint: u64,
    },
    /// Releases a key, and voids the attempt's claim should it be appended later.
    Release {
        /// The key to release.
        key: ClaimKey,
        /// The claimant and its attempt.
        name: ClaimName,
    },
}

impl ClaimEntry {
    /// Returns the key that the entry takes or releases.
    #[must_use]
    pub const fn key(&self) -> ClaimKey {
        match self {
            Self::Claim { key, .. } | Self::Release { key, .. } => *key,
        }
    }

    /// Returns the claimant and its attempt.
    #[must_use]
    pub const fn name(&self) -> &ClaimName {
        match self {
            Self::Claim { name, .. } | Self::Release { name, .. } => name,
        }
    }
}
