use super::*;

/// What entry VMs tell each other about claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimMessage {
    /// Asks the gatherer of a stream to append entries.
    Ask(Vec<ClaimEntry>),
    /// Tells a claimant what the stream says.
    Verdict {
        /// The claimant and its attempt.
        name: ClaimName,
        /// The verdict.
        verdict: ClaimVerdict,
    },
}
