use super::*;

/// Latencies of the answers of both versions, in one stage of a rollout.
///
/// The versions are compared with each other and not with the expected latency: the router derives
/// its expectation from the server's own load and speed, so it would adapt to the very fault to be
/// found. Each stage is compared by itself, so that both versions have had the same load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionLatencies {
    /// The stage in which the answers were given; 0 is the canary stage.
    pub stage: u8,
    /// Latencies of the old version.
    pub old: LatencyHistogram,
    /// Latencies of the new version.
    pub new: LatencyHistogram,
}

/// Result of comparing the latencies of the new version with those of the old one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyComparison {
    /// Number of latencies of the new version that could be ranked.
    pub answers: u32,
    /// Mean over the new version's answers of the fraction of the old version's answers that were
    /// faster: 0.5, a half, if both versions are equally fast.
    pub mean_rank: f64,
}

impl VersionLatencies {
    /// Returns an empty set of latencies for a stage.
    #[must_use]
    pub fn of_stage(stage: u8) -> Self {
        Self { stage, ..Self::default() }
    }

    /// Adds the latency of one answer.
    pub fn add(&mut self, side: VersionSide, kind: WorkKind, took: Millis) {
        match side {
            VersionSide::Old => self.old.add(kind, took),
            VersionSide::New => self.new.add(kind, took),
        }
    }

    /// Adds the latencies of another VM. Those of another stage are ignored.
    pub fn add_all(&mut self, other: &Self) {
        if other.stage == self.stage {
            self.old.add_all(&other.old);
            self.new.add_all(&other.new);
        }
    }

    /// Returns whether there are no latencies of either version.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.old.is_empty() && self.new.is_empty()
    }

    /// Ranks the new version's latencies among those of the old one.
    #[must_use]
    pub fn verdict(&self) -> LatencyComparison {
        let (answers, mean_rank) = self.old.mean_rank(&self.new);
        LatencyComparison { answers, mean_rank }
    }
}

impl LatencyComparison {
    /// Mean rank from which a version counts as slower than the old one. The servers of a new
    /// version have less load in its first stages, so that a sound version ranks at a half or
    /// below.
    const SLOW_RANK: f64 = 0.56;
    /// Minimum number of ranked answers to call a version sound.
    const MIN_SOUND_ANSWERS: u32 = 5;
    /// Minimum number of ranked answers to call a version slow.
    const MIN_SLOW_ANSWERS: u32 = 12;
    /// Number of standard errors by which a sound version's mean rank must be below the limit.
    const SOUND_STANDARD_ERRORS: f64 = 0.5;
    /// Number of standard errors by which a slow version's mean rank must be above the limit.
    const SLOW_STANDARD_ERRORS: f64 = 2.5;

    /// Returns whether the answers show that the new version is about as fast as the old one.
    #[must_use]
    pub fn is_sound(self) -> bool {
        let limit = Self::SLOW_RANK - Self::SOUND_STANDARD_ERRORS * self.standard_error();
        self.answers >= Self::MIN_SOUND_ANSWERS && self.mean_rank <= limit
    }

    /// Returns whether the answers show that the new version is slower than the old one.
    #[must_use]
    pub fn is_slow(self) -> bool {
        let limit = Self::SLOW_RANK + Self::SLOW_STANDARD_ERRORS * self.standard_error();
        self.answers >= Self::MIN_SLOW_ANSWERS && self.mean_rank >= limit
    }

    /// Returns the standard error of the mean rank of this many answers, if both versions are
    /// equally fast.
    fn standard_error(self) -> f64 {
        (12.0 * f64::from(self.answers.max(1))).sqrt().recip()
    }
}

impl Display for LatencyComparison {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "mean rank {:.2} of {} answers", self.mean_rank, self.answers)
    }
}
