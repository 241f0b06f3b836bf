use super::*;

/// An operator's order to bring in a version of a pool's software.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The pool.
    pub pool: PoolId,
    /// The version to bring in.
    pub target: SmolStr,
    /// The time in which that is to be done.
    pub duration: Millis,
}

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutState {
    /// The version gets a share of the requests.
    Running,
    /// The version has replaced the one before.
    Completed,
    /// The version has been withdrawn.
    Withdrawn,
}

impl RolloutState {
    /// Returns whether the state may not change any more.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Withdrawn)
    }
}

/// A roll-out's state as it lies in the store, for all entry VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The pool.
    pub pool: PoolId,
    /// The version that is brought in.
    pub target: SmolStr,
    /// How far it is.
    pub state: RolloutState,
    /// How many times the version's share has been raised. All VMs raise it by the records, so that
    /// a VM that learned late does not send sessions back to the old version.
    pub stage: u8,
}

/// What one entry VM has seen of a version that is brought in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRecord {
    /// The entry VM.
    pub vm: VmId,
    /// Its start.
    pub incarnation: Incarnation,
    /// The pool.
    pub pool: PoolId,
    /// The version.
    pub target: SmolStr,
    /// The good answers since that start.
    pub good: u32,
    /// The bad answers since that start.
    pub bad: u32,
    /// The answers of the old version since that start.
    #[serde(default)]
    pub old: AnswerTally,
    /// How long answers took in the newest stage that the VM knows; none if they were told lately.
    #[serde(default)]
    pub times: Option<SideTimes>,
}
