use super::*;

/// The finding that a subject crashes the servers that run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CrashVerdict {
    /// Subjects that were present at the same crashes, or all but one, so that too little evidence
    /// tells them apart. A request is stopped only if it has all of them.
    pub(super) inseparable: Vec<CrashSubject>,
    /// Whether it holds for parts of prompts only, as it disregards answers before the crashes.
    pub(super) is_after_answers: bool,
    /// When the crash happened that decided it.
    pub(super) decided: Millis,
    /// Times of the crashes in trials, oldest first.
    pub(super) failed_trials: Vec<Millis>,
}

impl CrashVerdict {
    /// The waits before the trials, from the verdict and from the failed trial before. There is no
    /// further trial, so that the number of servers lost to a subject is bounded.
    const TRIAL_WAITS_MS: [u64; 2] = [15_000, 10 * 60 * 1_000];
    pub(super) const TRIALS: usize = Self::TRIAL_WAITS_MS.len();

    /// Returns the verdict on a subject that was present at `crashes`, or `None` if too few of them
    /// count.
    pub(super) fn of(
        weight: AnswerWeight,
        crashes: &[&ServerCrash],
        inseparable: Vec<CrashSubject>,
    ) -> Option<Self> {
        let decided = CrashEntry::successive(crashes).get(weight.limit() - 1)?.ended;
        let mut last = decided;
        let mut failed_trials = Vec::new();
        for crash in crashes {
            let wait = Self::TRIAL_WAITS_MS.get(failed_trials.len()).copied();
            if wait.is_some_and(|wait| crash.started >= last + Millis(wait)) {
                last = crash.ended;
                failed_trials.push(crash.ended);
            }
        }
        let is_after_answers = weight == AnswerWeight::None;
        Some(Self { inseparable, is_after_answers, decided, failed_trials })
    }

    /// Returns when the next trial is due; none if there is none any more.
    pub(super) fn next_trial(&self) -> Option<Millis> {
        let wait = Self::TRIAL_WAITS_MS.get(self.failed_trials.len())?;
        Some(self.failed_trials.last().copied().unwrap_or(self.decided) + Millis(*wait))
    }
}
