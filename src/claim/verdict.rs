use super::*;

/// Who holds a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// The claimant and its attempt.
    pub name: ClaimName,
    /// The hash of the request that the claimant runs.
    pub fingerprint: u64,
}

/// The result of a claim or release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claim took the key; its claimant may run the request.
    Taken,
    /// Another claimant holds the key.
    Held(ClaimHolder),
    /// The claim is void and nobody holds the key; a new attempt may take it.
    Void,
    /// The key may have been taken by a claim that is no longer on the log.
    Uncovered,
    /// The claim cannot be appended at present, as the log is unavailable or the queue is full.
    Down,
    /// The release is on the log, or the key has expired.
    Released,
}
