use super::*;

/// Why a request went where it went: one line of the decision log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteDecision {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The team.
    pub team: TeamId,
    /// The version or service.
    pub target: WorkTarget,
    /// The backend server.
    pub server: ServerId,
    /// Why this version.
    pub reason: SmolStr,
    /// How long the request waited.
    pub waited: Millis,
    /// The versions and servers that were not taken.
    pub passed_over: Vec<PassedOver>,
}

/// A candidate that was not taken, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedOver {
    /// The version, service or server.
    pub candidate: SmolStr,
    /// The reason.
    pub reason: SmolStr,
}
