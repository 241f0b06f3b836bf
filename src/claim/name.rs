use super::*;

/// Identifies an attempt of an entry VM to claim a key. All appends of one attempt carry the same
/// name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimName {
    /// The incarnation of the entry VM that claims the key.
    pub claimant: PeerName,
    /// The number of the attempt at the claimant.
    pub attempt: ClaimAttempt,
}

impl Display for ClaimName {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.claimant, self.attempt)
    }
}
