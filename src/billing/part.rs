use super::*;

/// One attempt of a billed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BillPart {
    /// The id of the attempt within its request.
    pub attempt: AttemptId,
    /// The version or service that the attempt was for.
    pub target: WorkTarget,
    /// The backend server that the attempt was sent to.
    pub server: ServerId,
    /// Whether the server ran the attempt, as far as known.
    pub run: RunState,
    /// The prompt and output tokens.
    pub usage: TokenUsage,
    /// The cost of the attempt, whether it is charged or not.
    pub cost: Cost,
    /// Whether the team pays for the attempt.
    pub charge: PartCharge,
}

/// Whether the team pays for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PartCharge {
    /// The team pays: the caller got the answer, or it decided a step of a cascade.
    Charged,
    /// The team does not pay: the attempt failed, or another one was used instead.
    Free,
}
