use super::*;

/// One attempt of an entry VM to claim a key; repeated appends of it have the same name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimName {
    /// The claimant.
    pub claimant: PeerName,
    /// Its attempt.
    pub attempt: ClaimAttempt,
}

impl Display for ClaimName {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.claimant, self.attempt)
    }
}
