use super::*;

/// Detects requests, and parts of prompts, that crash every backend server that runs them, from the
/// crashes that all entry VMs have observed.
///
/// A crash breaks all runs on the server, so that each of their requests and parts is a suspect.
/// Six rules find the cause:
///
/// - Only successive crashes count: a run that had started before the previous counted crash is no
///   further evidence. Servers of a rack that crash together thus count once.
/// - Until three servers have crashed, the crashes of one in a short time count once: a server that
///   goes down and up by turns crashes under whatever has its home there.
/// - Crashes of several servers at the same moment ([`SharedCrashes`]) count only against subjects
///   that were present at most of them.
/// - A run that was completely answered rules its request and parts out for all crashes before it
///   started, and for a while after. The latter does not hold for parts that were present at
///   [`Self::CRASHES_AFTER_ANSWER`] crashes: a part that was sound until now may become harmful.
/// - A crash has one cause: the subject with the most crashes. Only the crashes at which it was not
///   present count against others.
/// - Subjects that were present at the same crashes, or all but one, are blamed together: only
///   requests that have all of them are stopped. The next crash, or an answer, tells them apart.
///
/// A subject with [`Self::CRASHES`] counted crashes is quarantined for as long as requests with it
/// arrive. One VM, chosen by the caller, may run it in a trial after some time, and again much
/// later. A complete answer ends the quarantine.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    entries: BTreeMap<CrashSubject, CrashEntry>,
    log: EventLog<CrashEvent>,
    /// When the latest run started that was completely answered, of subjects without a crash too.
    answered: FxHashMap<CrashSubject, Millis>,
    verdicts: BTreeMap<CrashSubject, CrashVerdict>,
    /// Whether crashes or answers were recorded since the verdicts were computed.
    has_changed: bool,
}

/// A subject that must not run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashQuarantine {
    /// The subject.
    pub subject: CrashSubject,
    /// How long it will at least not be run.
    pub rest: Millis,
}

/// An event to be reported to other entry VMs. Times are on this VM's clock.
#[derive(Clone, Debug)]
struct CrashEvent {
    kind: CrashEventKind,
    /// The VM that reported it to this one.
    from: Option<VmId>,
}

#[derive(Clone, Debug)]
enum CrashEventKind {
    Ended { subject: CrashSubject, crash: ServerCrash },
    Answered { subject: CrashSubject, started: Millis },
}

impl CrashTracker {
    /// The number of counted crashes after which a subject is quarantined.
    pub const CRASHES: usize = 3;
    /// The same for a part that was answered shortly before them.
    pub const CRASHES_AFTER_ANSWER: usize = 5;
    /// A run that started within this time before a crash and was completely answered usually
    /// shows that its subjects are not the cause.
    pub(super) const ANSWER_WINDOW_MS: u64 = 10_000;
    /// The age at which a crash is too old to be recorded, and an entry may be evicted.
    pub const RETENTION: Millis = Millis(24 * 60 * 60 * 1_000);
    /// The rest of a quarantine that is reported while a trial is overdue at another VM, or if
    /// there is no further trial.
    const OVERDUE_REST_MS: u64 = 60_000;
    const ENTRY_LIMIT: usize = 4_096;
    const ANSWER_LIMIT: usize = 4_096;
    /// The number of events kept for reporting.
    const LOG_LIMIT: usize = 4_096;
    /// The number of events in one message to another VM. Messages are sent about each 100 ms.
    const MESSAGE_LIMIT: usize = 64;
    /// The number of quarantined subjects of which a newly started VM is told at once.
    const VERDICT_LIMIT: usize = 64;

    /// Returns why a request must not run, or `None` if it may. `parts` are the subjects of its
    /// prompt parts. If `may_try` is true and a trial is due, the request may run as the trial.
    pub fn quarantine(
        &mut self,
        now: Millis,
        request: CrashSubject,
        parts: &[CrashSubject],
        may_try: bool,
    ) -> Option<CrashQuarantine> {
        self.update_verdicts(now);
        if self.verdicts.is_empty() {
            return None;
        }
        let is_present = |subject: &CrashSubject| *subject == request || parts.contains(subject);
        let subject = std::iter::once(&request).chain(parts).copied().find(|subject| {
            let verdict = self.verdicts.get(subject);
            verdict.is_some_and(|verdict| {
                let is_applicable = *subject != request || !verdict.is_after_answers;
                is_applicable && verdict.inseparable.iter().all(is_present)
            })
        })?;
        let verdict = self.verdicts.get(&subject)?;
        let due = verdict.next_trial();
        let entry = self.entries.get_mut(&subject)?;
        entry.updated_at = now;
        if may_try && due.is_some_and(|due| now >= due) && entry.start_trial(now, verdict) {
            tracing::info!(%subject, trial = entry.trials, "trial run of a quarantined subject");
            return None;
        }
        let rest = due.filter(|due| now < *due).map(|due| due.since(now));
        Some(CrashQuarantine { subject, rest: rest.unwrap_or(Millis(Self::OVERDUE_REST_MS)) })
    }

    /// Returns the crashes counted against a subject, oldest first.
    #[must_use]
    pub fn crashes(&self, subject: CrashSubject) -> Vec<&ServerCrash> {
        let entry = self.entries.get(&subject);
        let crashes = entry.map(|entry| entry.open_crashes(AnswerWeight::Usual));
        CrashEntry::successive(&crashes.unwrap_or_default())
    }

    /// Returns whether at least one crash counts against a subject.
    #[must_use]
    pub fn is_suspect(&self, subject: CrashSubject) -> bool {
        !self.crashes(subject).is_empty()
    }

    /// Returns the number of quarantined subjects.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        self.verdicts.len()
    }

    /// Returns whether a quarantined subject was present at a crash.
    pub fn explains(&mut self, now: Millis, crash: &ServerCrash) -> bool {
        self.update_verdicts(now);
        let entries = self.verdicts.keys().filter_map(|subject| self.entries.get(subject));
        let mut crashes = entries.flat_map(|entry| &entry.crashes);
        crashes.any(|known| known.crash.is_same_crash(crash))
    }

    /// Records that a server crashed during a run with a subject. If the run's request is still
    /// open at this VM and this is the only crash counted against the subject, the crash is not
    /// reported yet, but by [`Self::publish`] if the request ends without an answer.
    pub fn crashed(
        &mut self,
        now: Millis,
        subject: CrashSubject,
        crash: ServerCrash,
        is_open: bool,
    ) {
        self.record_crash(now, subject, crash);
        if !is_open || self.crashes(subject).len() > 1 {
            self.publish(subject);
        }
    }

    /// Queues all unreported crashes of a subject for the other VMs.
    pub fn publish(&mut self, subject: CrashSubject) {
        self.publish_from(subject, None);
    }

    fn publish_from(&mut self, subject: CrashSubject, from: Option<&VmId>) {
        let Some(entry) = self.entries.get_mut(&subject) else { return };
        for known in entry.crashes.iter_mut().filter(|known| !known.is_published) {
            known.is_published = true;
            let kind = CrashEventKind::Ended { subject, crash: known.crash.clone() };
            self.log.push(CrashEvent { kind, from: from.cloned() }, Self::LOG_LIMIT);
        }
    }

    /// Records that a run with a subject, started at the given time, was completely answered.
    pub fn answered(&mut self, now: Millis, subject: CrashSubject, started: Millis) {
        if self.answered.len() >= Self::ANSWER_LIMIT {
            self.answered.retain(|_, at| now.since(*at).0 < Self::ANSWER_WINDOW_MS);
        }
        if self.answered.len() < Self::ANSWER_LIMIT || self.answered.contains_key(&subject) {
            let latest = self.answered.entry(subject).or_default();
            *latest = started.max(*latest);
        }
        self.record_answer(now, subject, started, None);
    }

    /// Returns the events after `number`, the last one that the receiving VM has seen, as far as
    /// they fit into a message, but for those that this VM has from it. A VM that has missed events
    /// is told of the quarantines first.
    #[must_use]
    pub fn since(&self, now: Millis, number: u64, receiver: &VmId) -> CrashUpdate {
        let has_missed = number < self.log.dropped() || number == 0;
        let mut notices = if has_missed { self.verdict_reports(now) } else { Vec::new() };
        let first = number.max(self.log.dropped());
        let events = self.log.since(first).take(Self::MESSAGE_LIMIT);
        let events = events.filter(|event| event.from.as_ref() != Some(receiver));
        notices.extend(events.map(|event| CrashReport::of(now, &event.kind)));
        let last = self.log.last().min(first + Self::MESSAGE_LIMIT as u64);
        CrashUpdate { notices, last }
    }

    /// Returns reports of the crashes under the quarantined subjects, those that were decided last
    /// first.
    fn verdict_reports(&self, now: Millis) -> Vec<CrashReport> {
        let mut verdicts: Vec<_> = self.verdicts.iter().collect();
        verdicts.sort_by_key(|(_, verdict)| std::cmp::Reverse(verdict.decided));
        verdicts.truncate(Self::VERDICT_LIMIT);
        let subjects: BTreeSet<CrashSubject> = verdicts
            .into_iter()
            .flat_map(|(subject, verdict)| verdict.inseparable.iter().chain([subject]))
            .copied()
            .collect();
        let entries = subjects.into_iter().filter_map(|subject| {
            self.entries.get(&subject).map(|entry| (subject, &entry.crashes))
        });
        entries
            .flat_map(|(subject, crashes)| {
                let newest = crashes.iter().rev().take(2 * Self::CRASHES_AFTER_ANSWER);
                newest.map(move |known| {
                    let crash = known.crash.clone();
                    CrashReport::of(now, &CrashEventKind::Ended { subject, crash })
                })
            })
            .collect()
    }

    /// Merges the events of another VM and returns the subjects with crashes that are new to this
    /// VM.
    pub fn merge(&mut self, now: Millis, from: &VmId, news: &CrashUpdate) -> Vec<CrashSubject> {
        let mut ended = Vec::new();
        for notice in &news.notices {
            match notice {
                CrashReport::Ended { subject, server, run, started, ended: since } => {
                    let crash = ServerCrash {
                        server: server.clone(),
                        run: *run,
                        started: Millis(now.since(*started).0),
                        ended: Millis(now.since(*since).0),
                    };
                    if self.record_crash(now, *subject, crash) {
                        self.publish_from(*subject, Some(from));
                        ended.push(*subject);
                    }
                }
                CrashReport::Answered { subject, started } => {
                    // The crashes that this answer rules out may arrive later, through another VM.
                    self.evict_if_full(now);
                    self.entries.entry(*subject).or_default();
                    let started = Millis(now.since(*started).0);
                    self.record_answer(now, *subject, started, Some(from));
                }
            }
        }
        ended
    }

    /// Records a crash; returns whether it is new.
    fn record_crash(&mut self, now: Millis, subject: CrashSubject, crash: ServerCrash) -> bool {
        if now.since(crash.ended) >= Self::RETENTION {
            return false;
        }
        self.evict_if_full(now);
        let entry = self.entries.entry(subject).or_default();
        if !entry.record_crash(crash) {
            return false;
        }
        entry.updated_at = now;
        self.has_changed = true;
        let answered = entry.answered.max(self.answered.get(&subject).copied());
        if let Some(started) = answered {
            self.record_answer(now, subject, started, None);
        }
        true
    }

    /// Records an answer, and reports it to the other VMs if it rules the subject out as the cause
    /// of a crash.
    fn record_answer(
        &mut self,
        now: Millis,
        subject: CrashSubject,
        started: Millis,
        from: Option<&VmId>,
    ) {
        let Some(entry) = self.entries.get_mut(&subject) else { return };
        entry.updated_at = now;
        if entry.record_answer(started) {
            self.has_changed = true;
            let age_ms = now.since(started).0;
            tracing::debug!(%subject, age_ms, "ruled out as crash cause by a complete answer");
            let kind = CrashEventKind::Answered { subject, started };
            self.log.push(CrashEvent { kind, from: from.cloned() }, Self::LOG_LIMIT);
        }
    }

    fn update_verdicts(&mut self, now: Millis) {
        if !std::mem::take(&mut self.has_changed) {
            return;
        }
        let verdicts = self.compute_verdicts();
        for (subject, verdict) in &verdicts {
            let known = self.verdicts.get(subject);
            if known.is_none_or(|known| known.failed_trials != verdict.failed_trials) {
                let crashes = &self.entries[subject].crashes;
                let servers = crashes.iter().map(|known| known.crash.server.as_str());
                let servers: Vec<&str> = servers.take(2 * Self::CRASHES_AFTER_ANSWER).collect();
                tracing::warn!(
                    %subject,
                    crashes = crashes.len(),
                    ?servers,
                    first_ms = crashes.first().map(|known| now.since(known.crash.ended).0),
                    last_ms = crashes.last().map(|known| now.since(known.crash.ended).0),
                    inseparable = verdict.inseparable.len(),
                    after_answers = verdict.is_after_answers,
                    failed_trials = verdict.failed_trials.len(),
                    "quarantined: servers crash under it"
                );
            }
        }
        for subject in self.verdicts.keys().filter(|subject| !verdicts.contains_key(subject)) {
            tracing::warn!(%subject, "no longer quarantined");
        }
        self.verdicts = verdicts;
    }

    /// Attributes the crashes to as few subjects as possible: the one with the most crashes first,
    /// then the one with the most of the others. Crashes that are attributed without disregarding
    /// any answer come first.
    fn compute_verdicts(&self) -> BTreeMap<CrashSubject, CrashVerdict> {
        let mut verdicts = BTreeMap::new();
        let mut attributed: Vec<Vec<&ServerCrash>> = Vec::new();
        let shared = SharedCrashes::of(self.entries.values());
        for weight in [AnswerWeight::Usual, AnswerWeight::None] {
            let entries = self.entries.iter();
            let entries = entries.filter(|(_, entry)| entry.crashes.len() >= weight.limit());
            let mut candidates: Vec<(CrashSubject, Vec<&ServerCrash>)> =
                entries.map(|(subject, entry)| (*subject, entry.open_crashes(weight))).collect();
            for (_, crashes) in &mut candidates {
                shared.remove_explained(crashes);
            }
            loop {
                for (_, crashes) in &mut candidates {
                    crashes.retain(|crash| {
                        !attributed.iter().flatten().any(|known| known.is_same_crash(crash))
                    });
                }
                candidates
                    .retain(|(_, crashes)| CrashEntry::successive(crashes).len() >= weight.limit());
                let most = candidates.iter().max_by_key(|(_, crashes)| crashes.len());
                let Some((_, crashes)) = most.cloned() else { break };
                let (causes, others) = candidates
                    .into_iter()
                    .partition::<Vec<_>, _>(|(_, others)| Self::are_inseparable(&crashes, others));
                candidates = others;
                let inseparable: Vec<CrashSubject> =
                    causes.iter().map(|(subject, _)| *subject).collect();
                for (subject, crashes) in &causes {
                    let verdict = CrashVerdict::of(weight, crashes, inseparable.clone());
                    verdicts.extend(verdict.map(|verdict| (*subject, verdict)));
                }
                attributed.push(crashes);
            }
            // So few may all be crashes of one request's attempts, under a part that others have.
            attributed.retain(|crashes| crashes.len() > Self::CRASHES);
        }
        verdicts
    }

    /// Returns whether two subjects have the same number of crashes and all but one in common.
    fn are_inseparable(crashes: &[&ServerCrash], others: &[&ServerCrash]) -> bool {
        let is_shared = |crash: &&&ServerCrash| others.iter().any(|o| o.is_same_crash(crash));
        let shared = crashes.iter().filter(is_shared).count();
        others.len() == crashes.len() && shared + 1 >= crashes.len()
    }

    /// Removes the entry with the fewest crashes, of these the oldest, if there are too many.
    fn evict_if_full(&mut self, now: Millis) {
        if self.entries.len() < Self::ENTRY_LIMIT {
            return;
        }
        self.entries.retain(|_, entry| now.since(entry.updated_at) < Self::RETENTION);
        let key = |entry: &CrashEntry| (entry.crashes.len().min(Self::CRASHES), entry.updated_at);
        let evicted = self.entries.iter().min_by_key(|(_, entry)| key(entry));
        if self.entries.len() >= Self::ENTRY_LIMIT
            && let Some(subject) = evicted.map(|(subject, _)| *subject)
        {
            self.entries.remove(&subject);
            self.has_changed = true;
        }
    }
}

impl CrashReport {
    fn of(now: Millis, event: &CrashEventKind) -> Self {
        match event {
            CrashEventKind::Ended { subject, crash } => Self::Ended {
                subject: *subject,
                server: crash.server.clone(),
                run: crash.run,
                started: now.since(crash.started),
                ended: now.since(crash.ended),
            },
            CrashEventKind::Answered { subject, started } => {
                Self::Answered { subject: *subject, started: now.since(*started) }
            }
        }
    }
}
