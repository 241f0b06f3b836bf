use super::*;

/// Detects requests that crash every backend server that runs them, from the crashes that all
/// entry VMs have observed. Requests are identified by fingerprint.
///
/// In a single crash such a request cannot be told from the others, since a crash breaks all runs
/// on the server. Three rules separate them:
///
/// - Only successive crashes count: a run that had started before the previous counted crash is no
///   further evidence. Servers of a rack that crash together thus count once.
/// - A request that was completely answered shortly before, or at any time after, a crash did not
///   cause it.
/// - A request is not the cause if another request was running at each of its crashes and has at
///   least as many crashes in total. Of two requests that always ran together, the next crash
///   shows which one is the cause.
///
/// A request with [`Self::CRASHES`] counted crashes is quarantined: it is not run for
/// [`Self::QUARANTINE_MS`]. Then it may run once; another crash quarantines it again.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    entries: BTreeMap<RequestFingerprint, CrashEntry>,
    log: EventLog<CrashEvent>,
    answered: FxHashMap<RequestFingerprint, Millis>,
}

/// The crash of a server during one run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerCrash {
    /// The server that crashed.
    pub server: ServerId,
    /// The identifier of the run, unique across all entry VMs.
    pub run: u64,
    /// When the run started.
    pub started: Millis,
    /// When the run was broken by the crash.
    pub ended: Millis,
}

#[derive(Clone, Debug, Default)]
struct CrashEntry {
    /// Sorted by the time of the crash.
    crashes: Vec<RecordedCrash>,
    answered: Option<Millis>,
    /// The time of the last answer that was reported to the other entry VMs.
    published_answer: Option<Millis>,
    /// When this entry last changed; the least recently changed entry is evicted first.
    updated_at: Millis,
}

#[derive(Clone, Debug)]
struct RecordedCrash {
    crash: ServerCrash,
    is_published: bool,
}

/// An event to be reported to other entry VMs. Times are on this VM's clock.
#[derive(Clone, Debug)]
enum CrashEvent {
    Ended { fingerprint: RequestFingerprint, crash: ServerCrash },
    Answered { fingerprint: RequestFingerprint, at: Millis },
}

impl CrashEvent {
    const fn at(&self) -> Millis {
        match self {
            Self::Ended { crash, .. } => crash.ended,
            Self::Answered { at, .. } => *at,
        }
    }
}

impl CrashTracker {
    /// The number of counted crashes after which a request is quarantined.
    pub const CRASHES: usize = 3;
    /// The time after its last counted crash for which a quarantined request is not run.
    pub const QUARANTINE_MS: u64 = 10 * 60 * 1_000;
    /// The age at which a crash is too old to be recorded, and an entry may be evicted.
    const RETENTION_MS: u64 = 60 * 60 * 1_000;
    /// A complete answer within this time before a crash shows that the request is not its cause.
    const ANSWER_WINDOW_MS: u64 = 10_000;
    /// The maximum difference between the times at which two entry VMs observe the same crash.
    const SAME_CRASH_WINDOW_MS: u64 = 1_000;
    const ENTRY_LIMIT: usize = 4_096;
    const ANSWER_LIMIT: usize = 4_096;
    /// The number of events kept for reporting, all of which a newly started VM receives.
    const LOG_LIMIT: usize = 512;

    /// Returns the remaining quarantine of a request, or `None` if it may run.
    #[must_use]
    pub fn quarantine(&self, now: Millis, fingerprint: RequestFingerprint) -> Option<Millis> {
        let entry = self.entries.get(&fingerprint)?;
        let crashes = entry.counted_crashes();
        let ends_at = crashes.last()?.ended + Millis(Self::QUARANTINE_MS);
        let is_quarantined = crashes.len() >= Self::CRASHES
            && now < ends_at
            && !self.has_other_cause(fingerprint, &crashes);
        is_quarantined.then(|| ends_at.since(now))
    }

    /// Returns the crashes counted against a request, oldest first.
    #[must_use]
    pub fn crashes(&self, fingerprint: RequestFingerprint) -> Vec<&ServerCrash> {
        self.entries.get(&fingerprint).map(CrashEntry::counted_crashes).unwrap_or_default()
    }

    /// Returns whether at least one crash counts against a request.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        !self.crashes(fingerprint).is_empty()
    }

    /// Returns whether another request was running at all of these crashes and has at least as many
    /// crashes in total.
    fn has_other_cause(&self, fingerprint: RequestFingerprint, crashes: &[&ServerCrash]) -> bool {
        let others = self.entries.iter().filter(|(other, _)| **other != fingerprint);
        others.map(|(_, entry)| entry.counted_crashes()).any(|other| {
            let was_running =
                |crash: &&ServerCrash| other.iter().any(|own| own.is_same_crash(crash));
            other.len() >= crashes.len() && crashes.iter().all(was_running)
        })
    }

    /// Records that a server crashed during a run of a request. If the request is still open at
    /// this VM and this is the only crash counted against it, the crash is not reported yet, but by
    /// [`Self::publish`] if the request ends without an answer.
    pub fn crashed(
        &mut self,
        now: Millis,
        fingerprint: RequestFingerprint,
        crash: ServerCrash,
        is_open: bool,
    ) {
        self.record_crash(now, fingerprint, crash);
        if !is_open || self.crashes(fingerprint).len() > 1 {
            self.publish(fingerprint);
        }
    }

    /// Queues all unreported crashes of a request for the other VMs, as the request has ended
    /// without a complete answer.
    pub fn publish(&mut self, fingerprint: RequestFingerprint) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return };
        for known in entry.crashes.iter_mut().filter(|known| !known.is_published) {
            known.is_published = true;
            let crash = known.crash.clone();
            self.log.push(CrashEvent::Ended { fingerprint, crash }, Self::LOG_LIMIT);
        }
    }

    /// Records that a request was completely answered.
    pub fn answered(&mut self, now: Millis, fingerprint: RequestFingerprint) {
        if self.answered.len() >= Self::ANSWER_LIMIT {
            self.answered.retain(|_, at| now.since(*at).0 < Self::ANSWER_WINDOW_MS);
        }
        if self.answered.len() < Self::ANSWER_LIMIT {
            self.answered.insert(fingerprint, now);
        }
        self.record_answer(now, fingerprint, now);
    }

    /// Returns the events after `number`, the last one that the receiving VM has seen.
    #[must_use]
    pub fn since(&self, now: Millis, number: u64) -> CrashUpdate {
        let notices = self.log.since(number).map(|event| CrashReport::of(now, event));
        CrashUpdate { notices: notices.collect(), last: self.log.last() }
    }

    /// Merges the events of another VM and returns the requests with crashes that are new to this
    /// VM.
    pub fn merge(&mut self, now: Millis, news: &CrashUpdate) -> Vec<RequestFingerprint> {
        let mut ended = Vec::new();
        for notice in &news.notices {
            match notice {
                CrashReport::Ended { fingerprint, server, run, started, ended: since } => {
                    let crash = ServerCrash {
                        server: server.clone(),
                        run: *run,
                        started: Millis(now.since(*started).0),
                        ended: Millis(now.since(*since).0),
                    };
                    if self.record_crash(now, *fingerprint, crash) {
                        self.publish(*fingerprint);
                        ended.push(*fingerprint);
                    }
                }
                CrashReport::Answered { fingerprint, since } => {
                    // The crashes that this answer rules out may arrive later, through another VM.
                    self.evict_if_full(now);
                    self.entries.entry(*fingerprint).or_default();
                    self.record_answer(now, *fingerprint, Millis(now.since(*since).0));
                }
            }
        }
        ended
    }

    /// Records a crash; returns whether it is new.
    fn record_crash(
        &mut self,
        now: Millis,
        fingerprint: RequestFingerprint,
        crash: ServerCrash,
    ) -> bool {
        if now.since(crash.ended).0 >= Self::RETENTION_MS {
            return false;
        }
        self.evict_if_full(now);
        let entry = self.entries.entry(fingerprint).or_default();
        if entry.crashes.iter().any(|known| known.crash.run == crash.run) {
            return false;
        }
        entry.updated_at = now;
        entry.crashes.push(RecordedCrash { crash, is_published: false });
        entry.crashes.sort_by_key(|known| known.crash.ended);
        let answered = entry.answered.max(self.answered.get(&fingerprint).copied());
        if let Some(at) = answered {
            self.record_answer(now, fingerprint, at);
        }
        true
    }

    /// Records an answer, and reports it to the other VMs if it rules the request out as the cause
    /// of a crash.
    fn record_answer(&mut self, now: Millis, fingerprint: RequestFingerprint, at: Millis) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return };
        entry.answered = entry.answered.max(Some(at));
        entry.updated_at = now;
        let rules_out_crash = entry.crashes.iter().any(|RecordedCrash { crash, .. }| {
            crash.is_ruled_out(entry.answered) && !crash.is_ruled_out(entry.published_answer)
        });
        if rules_out_crash {
            tracing::info!(%fingerprint, "request ruled out as crash cause by a complete answer");
            entry.published_answer = entry.answered;
            self.log.push(CrashEvent::Answered { fingerprint, at }, Self::LOG_LIMIT);
        }
    }

    fn evict_if_full(&mut self, now: Millis) {
        if self.entries.len() < Self::ENTRY_LIMIT {
            return;
        }
        self.entries.retain(|_, entry| now.since(entry.updated_at).0 < Self::RETENTION_MS);
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.updated_at);
        if self.entries.len() >= Self::ENTRY_LIMIT
            && let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint)
        {
            self.entries.remove(&fingerprint);
        }
    }
}

impl CrashEntry {
    /// Returns the counted crashes: those that no answer rules out, and whose run started after the
    /// previous counted crash.
    fn counted_crashes(&self) -> Vec<&ServerCrash> {
        let mut counted_crashes: Vec<&ServerCrash> = Vec::new();
        for known in &self.crashes {
            let crash = &known.crash;
            let follows = counted_crashes.last().is_none_or(|last| crash.started >= last.ended);
            if !crash.is_ruled_out(self.answered) && follows {
                counted_crashes.push(crash);
            }
        }
        counted_crashes
    }
}

impl ServerCrash {
    /// Returns whether an answer at the given time rules the request out as the cause.
    fn is_ruled_out(&self, answered: Option<Millis>) -> bool {
        answered.is_some_and(|at| self.ended <= at + Millis(CrashTracker::ANSWER_WINDOW_MS))
    }

    /// Returns whether another run was broken by the same crash.
    fn is_same_crash(&self, other: &Self) -> bool {
        let difference = self.ended.since(other.ended).max(other.ended.since(self.ended));
        self.server == other.server && difference.0 <= CrashTracker::SAME_CRASH_WINDOW_MS
    }
}

impl CrashReport {
    fn of(now: Millis, event: &CrashEvent) -> Self {
        match event {
            CrashEvent::Ended { fingerprint, crash } => Self::Ended {
                fingerprint: *fingerprint,
                server: crash.server.clone(),
                run: crash.run,
                started: now.since(crash.started),
                ended: now.since(crash.ended),
            },
            CrashEvent::Answered { fingerprint, .. } => {
                Self::Answered { fingerprint: *fingerprint, since: now.since(event.at()) }
            }
        }
    }
}
