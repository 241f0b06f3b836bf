use super::*;

/// One attempt of a billed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BillPart {
    /// The attempt.
    pub attempt: AttemptId,
    /// The version or service that it ran.
    pub target: WorkTarget,
    /// The backend server.
    pub server: ServerId,
    /// What is known about its run.
    pub run: RunState,
    /// The tokens that it took.
    pub usage: TokenUsage,
    /// What it cost.
    pub cost: Cost,
    /// Whether the team pays for it.
    pub charge: PartCharge,
}

/// Whether the team pays for a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PartCharge {
    /// It does: the caller got the answer, or it decided a step of a cascade.
    Charged,
    /// It does not: the attempt failed or lost to another one.
    Free,
}
