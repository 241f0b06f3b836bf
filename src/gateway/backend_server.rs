use super::*;

/// A backend server as this entry VM sees it.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// What it has said of itself.
    pub entry: ServerEntry,
    /// When its entry was removed, if it was.
    pub removed: Option<Millis>,
    /// The requests of this VM that it has.
    pub in_flight: u32,
    /// The time that the prompts take that it has yet to read for this VM, in milliseconds.
    pub backlog_ms: f64,
    /// What other VMs have sent to it; none if they have not told.
    pub others: Option<SentLoad>,
    /// The newest load that it has told.
    pub load: Option<DatedLoad>,
    /// Until when it is slow after its start.
    pub cold_until: Millis,
    /// The share of its recent answers that were failures.
    pub fail_share: f64,
    /// Until when it gets no requests but one probe, after it could not be reached.
    pub avoid_until: Millis,
    /// The times in a row that it could not be reached.
    pub misses: u32,
    /// Whether it has said in an answer that it leaves.
    says_leaving: bool,
    /// Until when it wants nothing from this VM.
    backoff_until: Millis,
    /// How far this VM may send to it after a backoff.
    circuit: Circuit,
    /// Whether a hint of its could not be read.
    pub has_unreadable_hint: bool,
    /// When this VM last sent it a prompt with a part, by the part's id.
    parts: FxHashMap<u64, Millis>,
}

/// The circuit to a server, as far as its own backoff opens it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Circuit {
    /// It gets requests like any other.
    #[default]
    Closed,
    /// It gets one request after its backoff.
    HalfOpen,
    /// It has that request and no other one until an answer.
    Probing,
}

impl BackendServer {
    /// The time after which a server that has one request after its backoff is looked at again.
    const HALF_OPEN_PAUSE_MS: u64 = 15;
    /// The weight of the newest answer in the share of failures: about the last ten answers count.
    const FAIL_WEIGHT: f64 = 0.1;
    /// The pause after a server could not be reached; doubles each time.
    const FIRST_AVOID_MS: u64 = 500;
    /// The longest such pause: most servers that crash are back after some seconds.
    const LAST_AVOID_MS: u64 = 4_000;
    /// The pause after a server took no more connections: calls end every few milliseconds.
    const CROWDED_MS: u64 = 10;
    /// The time for which another VM's load is taken to be as the server told it.
    const LOAD_MEMORY_MS: f64 = 1_500.0;
    /// The parts that are remembered for a server.
    const PART_LIMIT: usize = 4_096;
    /// The time after which a part that was not used again may have left the cache.
    const PART_MEMORY_MS: u64 = 60_000;

    /// Returns a server that nothing is known of but its entry.
    #[must_use]
    pub fn new(entry: ServerEntry) -> Self {
        Self {
            entry,
            removed: None,
            in_flight: 0,
            backlog_ms: 0.0,
            others: None,
            load: None,
            cold_until: Millis(0),
            fail_share: 0.0,
            avoid_until: Millis(0),
            misses: 0,
            says_leaving: false,
            backoff_until: Millis(0),
            circuit: Circuit::Closed,
            has_unreadable_hint: false,
            parts: FxHashMap::default(),
        }
    }

    /// Returns whether it may get new work.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.removed.is_none() && self.entry.state == MemberState::Live && !self.says_leaving
    }

    /// Returns whether only its own answers say that it leaves.
    #[must_use]
    pub fn leaves_unlisted(&self) -> bool {
        let is_listed = self.removed.is_none() && self.entry.state == MemberState::Live;
        self.says_leaving && is_listed
    }

    /// Notes that it has said that it leaves; returns whether that is new.
    pub fn told_leaving(&mut self) -> bool {
        let was_open = self.is_open();
        self.says_leaving = true;
        was_open
    }

    /// Notes that it wants nothing from this VM for a while.
    pub fn told_backoff(&mut self, now: Millis, backoff: Millis) {
        self.backoff_until = self.backoff_until.max(now + backoff);
        self.circuit = Circuit::HalfOpen;
    }

    /// Returns how much longer this VM may send it nothing, if it may not.
    #[must_use]
    pub fn backoff(&self, now: Millis) -> Option<Millis> {
        match self.circuit {
            _ if now < self.backoff_until => Some(self.backoff_until.since(now)),
            Circuit::Probing => Some(Millis(Self::HALF_OPEN_PAUSE_MS)),
            Circuit::HalfOpen | Circuit::Closed => None,
        }
    }

    /// Returns whether it could be reached when it was last tried, or may be tried again.
    #[must_use]
    pub fn is_reachable(&self, now: Millis) -> bool {
        now >= self.avoid_until && (self.misses == 0 || self.in_flight == 0)
    }

    /// Notes that a request starts; returns whether it is the one after a backoff.
    pub fn started(&mut self, now: Millis, work_ms: f64, parts: &[PromptPart]) -> bool {
        let is_half_open = self.circuit == Circuit::HalfOpen;
        if is_half_open {
            self.circuit = Circuit::Probing;
        }
        self.in_flight += 1;
        self.backlog_ms += work_ms;
        if self.parts.len() >= Self::PART_LIMIT {
            self.parts.retain(|_, used| now.since(*used).0 < Self::PART_MEMORY_MS);
        }
        for part in parts {
            self.parts.insert(part.id, now);
        }
        is_half_open
    }

    /// Notes that a prompt has been read.
    pub fn prompt_read(&mut self, work_ms: f64) {
        self.backlog_ms = (self.backlog_ms - work_ms).max(0.0);
    }

    /// Takes a run that has ended or is given up off the books.
    pub fn release(&mut self, run: &RunTrack) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if run.is_half_open && self.circuit == Circuit::Probing {
            self.circuit = Circuit::HalfOpen;
        }
        if run.stage == RunStage::Waiting {
            self.prompt_read(run.work_ms);
        }
    }

    /// Notes the load that it told.
    pub const fn told_load(&mut self, now: Millis, sample: LoadSample) {
        self.load = Some(DatedLoad { sample, at: now, own: self.in_flight });
    }

    /// Notes an answer.
    pub fn answered(&mut self, is_failure: bool) {
        self.misses = 0;
        self.avoid_until = Millis(0);
        let newest = if is_failure { 1.0 } else { 0.0 };
        self.fail_share += (newest - self.fail_share) * Self::FAIL_WEIGHT;
    }

    /// Notes that it has begun to answer the first request after a backoff: it gets others again.
    pub const fn close_circuit(&mut self) {
        self.circuit = Circuit::Closed;
    }

    /// Notes that it could not be reached, or fell silent.
    pub fn missed(&mut self, now: Millis) {
        let pause = Self::FIRST_AVOID_MS << self.misses.min(3);
        self.avoid_until = now + Millis(pause.min(Self::LAST_AVOID_MS));
        self.misses += 1;
        self.fail_share += (1.0 - self.fail_share) * Self::FAIL_WEIGHT;
    }

    /// Notes that it took no more connections: for a moment, others may.
    pub fn crowded(&mut self, now: Millis) {
        self.avoid_until = self.avoid_until.max(now + Millis(Self::CROWDED_MS));
    }

    /// Notes that another server has its address. It gets nothing until that may have changed.
    pub fn misdirected(&mut self, now: Millis) {
        self.avoid_until = now + Millis(Self::LAST_AVOID_MS);
        self.misses += 1;
    }

    /// Returns the requests that it is expected to have, those of other VMs included.
    #[must_use]
    pub fn expected_requests(&self, now: Millis) -> f64 {
        if let Some(others) = self.others {
            return f64::from(self.in_flight + others.requests);
        }
        let Some(load) = self.load else { return f64::from(self.in_flight) };
        let told = load.sample.running + load.sample.waiting;
        let others = f64::from(told.saturating_sub(load.own));
        let age = now.since(load.at).0 as f64;
        f64::from(self.in_flight) + others * (-age / Self::LOAD_MEMORY_MS).exp()
    }

    /// Returns the time that the prompts take that it has yet to read, in milliseconds.
    #[must_use]
    pub fn expected_backlog(&self) -> f64 {
        let others = self.others.unwrap_or_default();
        self.backlog_ms + f64::from(others.backlog_ms)
    }

    /// Returns what this VM has sent to it.
    #[must_use]
    pub fn own_load(&self) -> SentLoad {
        SentLoad { backlog_ms: self.backlog_ms as u32, requests: self.in_flight }
    }

    /// Returns the requests that wait in its queue, as far as is known.
    #[must_use]
    pub fn expected_waiting(&self, now: Millis) -> f64 {
        if self.others.is_some() {
            return 0.0;
        }
        let Some(load) = self.load else { return 0.0 };
        let age = now.since(load.at).0 as f64;
        f64::from(load.sample.waiting) * (-age / Self::LOAD_MEMORY_MS).exp()
    }

    /// Returns how long work takes on it, as a multiple of its usual time.
    #[must_use]
    pub fn slowdown(&self, now: Millis) -> f64 {
        let Some(load) = self.load else { return 1.0 };
        let told = f64::from(load.sample.slowdown) / f64::from(LoadSample::USUAL_SLOWDOWN);
        let age = now.since(load.at).0 as f64;
        1.0 + (told - 1.0) * (-age / Self::LOAD_MEMORY_MS).exp()
    }

    /// Returns whether this VM has sent it a prompt with a part lately.
    #[must_use]
    pub fn has_part(&self, now: Millis, part: u64) -> bool {
        self.parts.get(&part).is_some_and(|used| now.since(*used).0 < Self::PART_MEMORY_MS)
    }
}
