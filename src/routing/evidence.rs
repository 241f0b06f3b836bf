use super::*;

/// The step of a plan whose answer was rated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RatingSource {
    /// The answer was the first one to its request.
    First,
    /// An earlier step of a cascade had given a poor answer, so the request is harder than average.
    Escalated,
}

/// The key of the estimate to which the rating of an answer contributes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AnswerEvidence {
    /// The version that gave the answer.
    pub version: VersionId,
    /// The generation of the version; a new generation starts with new estimates.
    pub generation: u32,
    /// The team that sent the request.
    pub team: TeamId,
    /// The size class of the request.
    pub class: SizeClass,
    /// Whether the answer was the first one or followed a poor answer.
    pub source: RatingSource,
}

/// Counters of ratings and attempts, which never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceCounts {
    /// The number of answers rated good.
    pub good: u64,
    /// The number of answers rated poor.
    pub poor: u64,
    /// The number of attempts started.
    pub started: u64,
}

impl EvidenceCounts {
    /// Returns the number of ratings, good and poor.
    #[must_use]
    pub const fn ratings(self) -> u64 {
        self.good + self.poor
    }

    /// Returns the larger value of each counter.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            good: self.good.max(other.good),
            poor: self.poor.max(other.poor),
            started: self.started.max(other.started),
        }
    }

    /// Returns by how much each counter exceeds that of `other`, or zero where it does not.
    #[must_use]
    pub const fn increase_over(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_sub(other.good),
            poor: self.poor.saturating_sub(other.poor),
            started: self.started.saturating_sub(other.started),
        }
    }
}

/// The counters of one estimate at one entry VM, since the start of that VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceEntry {
    /// The key of the estimate.
    pub evidence: AnswerEvidence,
    /// The counters, as totals rather than increments.
    pub counts: EvidenceCounts,
}

/// A part of an entry VM's counters, sent to the other VMs. Messages may be repeated, lost or
/// reordered: counters never decrease, so that the receiver keeps the larger value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EvidenceDigest {
    /// The entries that changed since they were last sent, and some unchanged ones.
    pub entries: Vec<EvidenceEntry>,
}
