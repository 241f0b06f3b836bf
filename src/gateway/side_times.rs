use super::*;

/// How long the answers of both sides of a roll-out took, in one stage of it.
///
/// The versions are compared with each other and with no expectation, since what a router expects of
/// a server follows the server's own load and slowness, and so the fault that is to be found. Each
/// stage is compared by itself, so that both sides have seen the same load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SideTimes {
    /// The stage.
    pub stage: u8,
    /// The answers of the old version.
    pub old: TimeSketch,
    /// The answers of the version that is brought in.
    pub new: TimeSketch,
}

/// How the times of a new version's answers compare with those of the old one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceVerdict {
    /// The times of the new version that could be compared.
    pub answers: u32,
    /// The mean part of the old version's answers that took less time: a half if both are alike.
    pub mean_rank: f64,
}

impl SideTimes {
    /// Returns the times of a stage that has just begun.
    #[must_use]
    pub fn of_stage(stage: u8) -> Self {
        Self { stage, ..Self::default() }
    }

    /// Counts an answer.
    pub fn add(&mut self, side: VersionSide, kind: WorkKind, took: Millis) {
        match side {
            VersionSide::Old => self.old.add(kind, took),
            VersionSide::New => self.new.add(kind, took),
        }
    }

    /// Adds what another VM has seen of the same stage.
    pub fn add_all(&mut self, other: &Self) {
        if other.stage == self.stage {
            self.old.add_all(&other.old);
            self.new.add_all(&other.new);
        }
    }

    /// Returns whether there are no answers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.old.is_empty() && self.new.is_empty()
    }

    /// Returns how the sides compare.
    #[must_use]
    pub fn verdict(&self) -> PaceVerdict {
        let (answers, mean_rank) = self.old.mean_rank(&self.new);
        PaceVerdict { answers, mean_rank }
    }
}

impl PaceVerdict {
    /// The mean rank from which a version is slower than the old one. A new version's servers have
    /// less to do in its first stages, so that a sound one lies at a half or below.
    const SLOW_RANK: f64 = 0.56;
    /// The answers from which a version may be found sound.
    const LEAST_SOUND: u32 = 5;
    /// The answers from which a version may be found slow.
    const LEAST_SLOW: u32 = 12;
    /// The standard errors that a sound version's mean rank lies below the limit.
    const SOUND_ERRORS: f64 = 0.5;
    /// The standard errors that a slow version's mean rank lies above it.
    const SLOW_ERRORS: f64 = 2.5;

    /// Returns whether the answers show that the version is about as fast as the old one.
    #[must_use]
    pub fn is_sound(self) -> bool {
        let limit = Self::SLOW_RANK - Self::SOUND_ERRORS * self.standard_error();
        self.answers >= Self::LEAST_SOUND && self.mean_rank <= limit
    }

    /// Returns whether the answers show that the version is slower than the old one.
    #[must_use]
    pub fn is_slow(self) -> bool {
        let limit = Self::SLOW_RANK + Self::SLOW_ERRORS * self.standard_error();
        self.answers >= Self::LEAST_SLOW && self.mean_rank >= limit
    }

    /// Returns the standard error of the mean of as many ranks, if both sides are alike.
    fn standard_error(self) -> f64 {
        (12.0 * f64::from(self.answers.max(1))).sqrt().recip()
    }
}

impl Display for PaceVerdict {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "mean rank {:.2} of {} answers", self.mean_rank, self.answers)
    }
}
