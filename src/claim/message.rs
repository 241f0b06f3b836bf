use super::*;

/// A message between entry VMs about claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimMessage {
    /// Asks the batcher of a stream to append entries.
    Ask(Vec<ClaimEntry>),
    /// Answers a claimant once the verdict on its claim or release is known.
    Verdict {
        /// The claimant and its attempt.
        name: ClaimName,
        /// The result of the claim or release.
        verdict: ClaimVerdict,
    },
}
