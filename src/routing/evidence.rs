use super::*;

/// How an answer came to be rated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RatingSource {
    /// It was the first answer to its request.
    First,
    /// An earlier step of a cascade had given a poor answer, so the request is a hard one.
    Escalated,
}

/// Which estimate a rating of an answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AnswerEvidence {
    /// The version that answered.
    pub version: VersionId,
    /// The generation of the version.
    pub generation: u32,
    /// The team that asked.
    pub team: TeamId,
    /// The kind of work.
    pub class: SizeClass,
    /// How the answer came to be rated.
    pub source: RatingSource,
}

/// Counts that only rise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceCounts {
    /// Answers rated good.
    pub good: u64,
    /// Answers rated poor.
    pub poor: u64,
    /// Attempts started.
    pub started: u64,
}

impl EvidenceCounts {
    /// Returns the number of ratings.
    #[must_use]
    pub const fn ratings(self) -> u64 {
        self.good + self.poor
    }

    /// Returns the larger of each count.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            good: self.good.max(other.good),
            poor: self.poor.max(other.poor),
            started: self.started.max(other.started),
        }
    }

    /// Returns how much each count exceeds another.
    #[must_use]
    pub const fn beyond(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_sub(other.good),
            poor: self.poor.saturating_sub(other.poor),
            started: self.started.saturating_sub(other.started),
        }
    }
}

/// One estimate's counts at one entry VM, since that VM started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceEntry {
    /// The estimate.
    pub evidence: AnswerEvidence,
    /// Its counts.
    pub counts: EvidenceCounts,
}

/// What an entry VM tells the others of its evidence. Entries may be repeated, lost or out of
/// order: the counts only rise, and the larger one holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EvidenceDigest {
    /// The entries that have changed, and some others.
    pub entries: Vec<EvidenceEntry>,
}
