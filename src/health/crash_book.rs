use super::*;

/// The requests under which backend servers have ended, by fingerprint, as all entry VMs saw it.
///
/// A request that ends each server that begins to run it looks like any other in a single crash,
/// since a server ends under all that it runs. Three things tell them apart:
///
/// - Crashes count only one after the other: a run that had started before the last server ended
///   shows nothing new. Servers of a rack that end together count once.
/// - A request that was answered whole shortly before or at any time after a crash is not its cause.
/// - A request is not the cause if another one was there at each of its crashes, and at as many in
///   all. Of two that were always together, the next crash shows which one it is.
///
/// A request with [`Self::CRASHES`] such crashes is condemned: it is not run for
/// [`Self::QUARANTINE_MS`]. Then it may run once; a further crash condemns it again.
#[derive(Clone, Debug, Default)]
pub struct CrashBook {
    entries: BTreeMap<RequestFingerprint, CrashEntry>,
    log: NewsLog<CrashEvent>,
    answered: FxHashMap<RequestFingerprint, Millis>,
}

/// The end of a server under one run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerCrash {
    /// The server.
    pub server: ServerId,
    /// The run, unique over all entry VMs.
    pub run: u64,
    /// When the run started.
    pub started: Millis,
    /// When it broke.
    pub ended: Millis,
}

#[derive(Clone, Debug, Default)]
struct CrashEntry {
    /// In the order of their ends.
    crashes: Vec<KnownCrash>,
    answered: Option<Millis>,
    /// The answer that the others have been told of.
    told_answer: Option<Millis>,
    /// When it was last heard of.
    heard: Millis,
}

#[derive(Clone, Debug)]
struct KnownCrash {
    crash: ServerCrash,
    is_told: bool,
}

/// What is told to other entry VMs, in this VM's time.
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

impl CrashBook {
    /// The crashes that condemn a request.
    pub const CRASHES: usize = 3;
    /// The time after its last crash for which a condemned request is not run.
    pub const QUARANTINE_MS: u64 = 10 * 60 * 1_000;
    /// The time after which a crash is forgotten.
    const FORGET_MS: u64 = 60 * 60 * 1_000;
    /// The time before a crash in which a whole answer shows that the request is not its cause.
    const ANSWER_MS: u64 = 10_000;
    /// How far apart two entry VMs see the same server end.
    const SAME_END_MS: u64 = 1_000;
    const ENTRY_LIMIT: usize = 4_096;
    const ANSWER_LIMIT: usize = 4_096;
    /// The events that a VM is told which has just started.
    const LOG_LIMIT: usize = 512;

    /// Returns whether a request is not to be run, and for how long.
    #[must_use]
    pub fn quarantine(&self, now: Millis, fingerprint: RequestFingerprint) -> Option<Millis> {
        let entry = self.entries.get(&fingerprint)?;
        let crashes = entry.sequence();
        let ends = crashes.last()?.ended + Millis(Self::QUARANTINE_MS);
        let is_condemned = crashes.len() >= Self::CRASHES
            && now < ends
            && !self.is_explained(fingerprint, &crashes);
        is_condemned.then(|| ends.since(now))
    }

    /// Returns the servers that have ended under a request, one after the other.
    #[must_use]
    pub fn crashes(&self, fingerprint: RequestFingerprint) -> Vec<&ServerCrash> {
        self.entries.get(&fingerprint).map(CrashEntry::sequence).unwrap_or_default()
    }

    /// Returns whether a server has ended under a request.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        !self.crashes(fingerprint).is_empty()
    }

    /// Returns whether another request was there at all of these crashes, and at as many.
    fn is_explained(&self, fingerprint: RequestFingerprint, crashes: &[&ServerCrash]) -> bool {
        let others = self.entries.iter().filter(|(other, _)| **other != fingerprint);
        others.map(|(_, entry)| entry.sequence()).any(|other| {
            let was_there = |crash: &&ServerCrash| other.iter().any(|own| own.is_same_end(crash));
            other.len() >= crashes.len() && crashes.iter().all(was_there)
        })
    }

    /// Notes that a server has ended under a run of a request. If the request is `open` at this VM and
    /// has ended no other server, the others are told only if it gets no answer.
    pub fn crashed(
        &mut self,
        now: Millis,
        fingerprint: RequestFingerprint,
        crash: ServerCrash,
        is_open: bool,
    ) {
        self.enter(now, fingerprint, crash);
        if !is_open || self.crashes(fingerprint).len() > 1 {
            self.tell(fingerprint);
        }
    }

    /// Tells the other VMs of a request that has ended without a whole answer.
    pub fn tell(&mut self, fingerprint: RequestFingerprint) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return };
        for known in entry.crashes.iter_mut().filter(|known| !known.is_told) {
            known.is_told = true;
            let crash = known.crash.clone();
            self.log.push(CrashEvent::Ended { fingerprint, crash }, Self::LOG_LIMIT);
        }
    }

    /// Notes that a request was answered whole.
    pub fn answered(&mut self, now: Millis, fingerprint: RequestFingerprint) {
        if self.answered.len() >= Self::ANSWER_LIMIT {
            self.answered.retain(|_, at| now.since(*at).0 < Self::ANSWER_MS);
        }
        if self.answered.len() < Self::ANSWER_LIMIT {
            self.answered.insert(fingerprint, now);
        }
        self.clear(now, fingerprint, now);
    }

    /// Returns what is new to a VM that knows the events up to a number.
    #[must_use]
    pub fn since(&self, now: Millis, number: u64) -> CrashNews {
        let notices = self.log.since(number).map(|event| CrashNotice::of(now, event));
        CrashNews { notices: notices.collect(), last: self.log.last() }
    }

    /// Takes in what another VM tells; returns the requests under which a server has ended.
    pub fn take(&mut self, now: Millis, news: &CrashNews) -> Vec<RequestFingerprint> {
        let mut ended = Vec::new();
        for notice in &news.notices {
            match notice {
                CrashNotice::Ended { fingerprint, server, run, started, ended: since } => {
                    let crash = ServerCrash {
                        server: server.clone(),
                        run: *run,
                        started: Millis(now.since(*started).0),
                        ended: Millis(now.since(*since).0),
                    };
                    if self.enter(now, *fingerprint, crash) {
                        self.tell(*fingerprint);
                        ended.push(*fingerprint);
                    }
                }
                CrashNotice::Answered { fingerprint, since } => {
                    // The crashes that it speaks of may come later, by another way.
                    self.make_room(now);
                    self.entries.entry(*fingerprint).or_default();
                    self.clear(now, *fingerprint, Millis(now.since(*since).0));
                }
            }
        }
        ended
    }

    /// Enters a crash; returns whether it is new.
    fn enter(&mut self, now: Millis, fingerprint: RequestFingerprint, crash: ServerCrash) -> bool {
        if now.since(crash.ended).0 >= Self::FORGET_MS {
            return false;
        }
        self.make_room(now);
        let entry = self.entries.entry(fingerprint).or_default();
        if entry.crashes.iter().any(|known| known.crash.run == crash.run) {
            return false;
        }
        entry.heard = now;
        entry.crashes.push(KnownCrash { crash, is_told: false });
        entry.crashes.sort_by_key(|known| known.crash.ended);
        let answered = entry.answered.max(self.answered.get(&fingerprint).copied());
        if let Some(at) = answered {
            self.clear(now, fingerprint, at);
        }
        true
    }

    /// Notes an answer, and tells the others if it shows that a request did not end a server.
    fn clear(&mut self, now: Millis, fingerprint: RequestFingerprint, at: Millis) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return };
        entry.answered = entry.answered.max(Some(at));
        entry.heard = now;
        let is_news = entry.crashes.iter().any(|KnownCrash { crash, .. }| {
            crash.is_excused(entry.answered) && !crash.is_excused(entry.told_answer)
        });
        if is_news {
            tracing::info!(%fingerprint, "a request has been answered whole and ends no servers");
            entry.told_answer = entry.answered;
            self.log.push(CrashEvent::Answered { fingerprint, at }, Self::LOG_LIMIT);
        }
    }

    fn make_room(&mut self, now: Millis) {
        if self.entries.len() < Self::ENTRY_LIMIT {
            return;
        }
        self.entries.retain(|_, entry| now.since(entry.heard).0 < Self::FORGET_MS);
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.heard);
        if self.entries.len() >= Self::ENTRY_LIMIT
            && let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint)
        {
            self.entries.remove(&fingerprint);
        }
    }
}

impl CrashEntry {
    /// Returns the crashes that followed each other and that no answer speaks against.
    fn sequence(&self) -> Vec<&ServerCrash> {
        let mut sequence: Vec<&ServerCrash> = Vec::new();
        for known in &self.crashes {
            let crash = &known.crash;
            let follows = sequence.last().is_none_or(|last| crash.started >= last.ended);
            if !crash.is_excused(self.answered) && follows {
                sequence.push(crash);
            }
        }
        sequence
    }
}

impl ServerCrash {
    /// Returns whether an answer of the request shows that it was not the cause.
    fn is_excused(&self, answered: Option<Millis>) -> bool {
        answered.is_some_and(|at| self.ended <= at + Millis(CrashBook::ANSWER_MS))
    }

    /// Returns whether another run broke by the same end of a server.
    fn is_same_end(&self, other: &Self) -> bool {
        let apart = self.ended.since(other.ended).max(other.ended.since(self.ended));
        self.server == other.server && apart.0 <= CrashBook::SAME_END_MS
    }
}

impl CrashNotice {
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
