use super::*;

/// A record of a `claims-NN` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// The wall clock of its gatherer.
    pub stamp: Millis,
    /// The entries, folded in order.
    pub entries: Vec<ClaimEntry>,
}

/// A claim or a release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEntry {
    /// Takes a key that nobody holds.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The claimant and its attempt.
        name: ClaimName,
        /// The fingerprint of the request.
        fingerprint: u64,
    },
    /// Frees a key, and voids the attempt if its claim comes later.
    Release {
        /// The key.
        key: ClaimKey,
        /// The claimant and its attempt.
        name: ClaimName,
    },
}

impl ClaimEntry {
    /// Returns the key.
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
