use super::*;

/// The routing decision of one attempt: one line of the decision log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteDecision {
    /// The request, unique across VMs and restarts.
    pub request: RequestId,
    /// The attempt within the request.
    pub attempt: AttemptId,
    /// The team that sent the request.
    pub team: TeamId,
    /// The version or service that was chosen.
    pub target: WorkTarget,
    /// The backend server that was chosen.
    pub server: ServerId,
    /// Why this version was chosen, or why another attempt was made.
    pub reason: SmolStr,
    /// The time from arrival to the start of this attempt.
    pub waited: Millis,
    /// The versions and servers that were considered but not chosen.
    pub passed_over: Vec<RejectedCandidate>,
}

/// A candidate that was considered but not chosen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedCandidate {
    /// The version, service or server.
    pub candidate: SmolStr,
    /// Why it was not chosen.
    pub reason: SmolStr,
}
