use super::*;

/// Who holds a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// The claimant and its attempt.
    pub name: ClaimName,
    /// The fingerprint of the request that it runs.
    pub fingerprint: u64,
}

/// What a stream says about an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claim holds its key.
    Taken,
    /// Another claim holds the key.
    Held(ClaimHolder),
    /// The claim does not count and nobody holds the key; a new attempt may take it.
    Void,
    /// A claim that is no longer kept may have taken the key.
    Uncovered,
    /// The log does not take the claim now.
    Down,
    /// The release is on the log.
    Released,
}
