use super::*;

/// What is known of the crashes under one subject.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashEntry {
    /// One run of each crash, sorted by the time of the crash.
    pub(super) crashes: Vec<RecordedCrash>,
    /// When the latest run started that was completely answered.
    pub(super) answered: Option<Millis>,
    /// The value of `answered` that was last reported to the other entry VMs.
    pub(super) published_answer: Option<Millis>,
    /// When this entry last changed or stopped a request; the oldest entry is evicted first.
    pub(super) updated_at: Millis,
    /// The number of trials that this VM has started.
    pub(super) trials: usize,
    trial_started: Millis,
}

#[derive(Clone, Debug)]
pub(super) struct RecordedCrash {
    pub(super) crash: ServerCrash,
    pub(super) is_published: bool,
}

/// The weight of an answer before a crash as evidence that its subject did not cause the crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerWeight {
    /// It rules out all crashes until [`CrashTracker::ANSWER_WINDOW_MS`] after its run started.
    Usual,
    /// It rules out no crash after its run started: the subject may have become harmful since.
    None,
}

impl AnswerWeight {
    const fn window(self) -> Millis {
        match self {
            Self::Usual => Millis(CrashTracker::ANSWER_WINDOW_MS),
            Self::None => Millis(0),
        }
    }

    /// Returns the number of successive crashes after which a subject is quarantined.
    pub(super) const fn limit(self) -> usize {
        match self {
            Self::Usual => CrashTracker::CRASHES,
            Self::None => CrashTracker::CRASHES_AFTER_ANSWER,
        }
    }
}

impl CrashEntry {
    /// The number of crashes kept; the oldest are dropped.
    const CRASH_LIMIT: usize = 64;
    /// The number of servers from which on it is unlikely that they go down and up by themselves.
    const SERVERS: usize = 3;
    /// The time in which further crashes of one server count no more: longer than a server usually
    /// goes down and up by turns, and shorter than the wait before the first trial.
    const SAME_SERVER_MS: u64 = 10_000;
    /// The time after which a trial counts as ended without a result: longer than any request.
    const TRIAL_TIMEOUT_MS: u64 = 60_000;

    /// Starts a trial, unless one is under way or this VM has started all that there may be.
    pub(super) fn start_trial(&mut self, now: Millis, verdict: &CrashVerdict) -> bool {
        let is_over = now.since(self.trial_started).0 >= Self::TRIAL_TIMEOUT_MS;
        let may_start = self.trials <= verdict.failed_trials.len() || is_over;
        if may_start && self.trials < CrashVerdict::TRIALS {
            self.trials += 1;
            self.trial_started = now;
            return true;
        }
        false
    }

    /// Returns the crashes that no answer rules out, oldest first.
    pub(super) fn open_crashes(&self, weight: AnswerWeight) -> Vec<&ServerCrash> {
        let ruled_out = self.answered.map(|answered| answered + weight.window());
        let crashes = self.crashes.iter().map(|known| &known.crash);
        crashes.filter(|crash| ruled_out.is_none_or(|at| crash.ended > at)).collect()
    }

    /// Returns the crashes whose run started after the previous one of them. Until several servers
    /// have crashed, those of a server that crashed shortly before are left out.
    pub(super) fn successive<'a>(crashes: &[&'a ServerCrash]) -> Vec<&'a ServerCrash> {
        let mut successive: Vec<&ServerCrash> = Vec::new();
        let mut servers = BTreeSet::new();
        for crash in crashes {
            let is_repeated = servers.len() < Self::SERVERS
                && successive.iter().any(|known| {
                    let pause = crash.ended.since(known.ended).0;
                    known.server == crash.server && pause < Self::SAME_SERVER_MS
                });
            let is_next = successive.last().is_none_or(|last| crash.started >= last.ended);
            if is_next && !is_repeated {
                servers.insert(&crash.server);
                successive.push(crash);
            }
        }
        successive
    }

    /// Records a crash; returns whether it is new or the run started later than the recorded one.
    /// The earliest report of a run has the most accurate times, as messages may be delayed.
    pub(super) fn record_crash(&mut self, crash: ServerCrash) -> bool {
        let known = self.crashes.iter_mut().find(|known| known.crash.is_same_crash(&crash));
        if let Some(RecordedCrash { crash: known, is_published }) = known {
            let ended = known.ended.min(crash.ended);
            if crash.run == known.run {
                known.started = known.started.min(crash.started);
                known.ended = ended;
                return false;
            }
            let is_later = crash.started > known.started && crash.started <= ended;
            if is_later {
                *known = ServerCrash { ended, ..crash };
                *is_published = false;
            }
            return is_later;
        }
        self.crashes.push(RecordedCrash { crash, is_published: false });
        self.crashes.sort_by_key(|known| known.crash.ended);
        if self.crashes.len() > Self::CRASH_LIMIT {
            self.crashes.remove(0);
        }
        true
    }

    /// Records the start of a run that was completely answered. Returns whether that rules out a
    /// crash that no answer known to the other VMs does.
    pub(super) fn record_answer(&mut self, started: Millis) -> bool {
        self.answered = self.answered.max(Some(started));
        let is_ruled_out = |crash: &ServerCrash, answered: Option<Millis>, weight: AnswerWeight| {
            answered.is_some_and(|at| crash.ended <= at + weight.window())
        };
        let rules_out_crash = [AnswerWeight::Usual, AnswerWeight::None].into_iter().any(|weight| {
            self.crashes.iter().any(|RecordedCrash { crash, .. }| {
                is_ruled_out(crash, self.answered, weight)
                    && !is_ruled_out(crash, self.published_answer, weight)
            })
        });
        if rules_out_crash {
            self.published_answer = self.answered;
        }
        rules_out_crash
    }
}
