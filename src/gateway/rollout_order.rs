use super::*;

/// An operator's order to roll out a new version of a pool's software.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The pool to update.
    pub pool: PoolId,
    /// The version to roll out.
    pub target: SmolStr,
    /// The time in which the rollout is to be completed.
    pub duration: Millis,
}

/// State of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutState {
    /// The new version gets a share of the sessions.
    Running,
    /// The new version has replaced the old one.
    Completed,
    /// The new version was withdrawn and gets no requests.
    Withdrawn,
}

impl RolloutState {
    /// Returns whether the rollout has ended, so that no other state follows.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Withdrawn)
    }
}

/// A rollout's state as recorded in the store for all entry VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The pool that is updated.
    pub pool: PoolId,
    /// The new version.
    pub target: SmolStr,
    /// The state from this record on.
    pub state: RolloutState,
    /// Number of increases of the new version's share so far. All VMs increase it only by the
    /// records, so that a VM that learned of the rollout late does not send sessions back to the
    /// old version.
    pub stage: u8,
}

/// Answers of the new version, and of the old one, as counted by one entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRecord {
    /// The entry VM that counted.
    pub vm: VmId,
    /// The incarnation of that VM; the counts start with it.
    pub incarnation: Incarnation,
    /// The pool that is updated.
    pub pool: PoolId,
    /// The new version.
    pub target: SmolStr,
    /// Good answers of the new version since the VM started.
    pub good: u32,
    /// Bad answers of the new version since the VM started.
    pub bad: u32,
    /// Answers of the old version since the VM started.
    #[serde(default)]
    pub old: AnswerCounts,
    /// Latencies in the newest stage that the VM knows. `None` if they were reported only a short
    /// time ago.
    #[serde(default)]
    pub times: Option<VersionLatencies>,
}
