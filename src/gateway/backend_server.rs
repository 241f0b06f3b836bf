use super::*;

/// A backend server as this entry VM sees it.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// The entry that the server registered in the store.
    pub entry: ServerEntry,
    /// When its entry was removed from the store; none while it is listed.
    pub removed: Option<Millis>,
    /// Requests of this VM that are under way at the server.
    pub in_flight: u32,
    /// The estimated time to process the prompts from this VM that the server has not processed
    /// yet, in milliseconds.
    pub backlog_ms: f64,
    /// By how much this VM's runs at the server are later than expected, in milliseconds, divided
    /// by the number of requests of all VMs there.
    pub late_ms: f64,
    /// The outstanding load of other VMs at the server; none if they have not reported any.
    pub others: Option<OutstandingLoad>,
    /// The newest load that the server reported in an answer.
    pub load: Option<DatedLoad>,
    /// Its speed compared with its pool.
    pub speed: ServerSpeed,
    /// The end of its warm-up, during which it is slow.
    pub cold_until: Millis,
    /// The moving average of the share of its runs that failed, from 0 to 1.
    pub failure_rate: f64,
    /// The server is avoided until this time, after it could not be reached or was saturated.
    pub avoid_until: Millis,
    /// Consecutive failures to reach it; an answer resets the count.
    pub consecutive_failures: u32,
    /// Whether it announced in an answer that it is leaving.
    announced_leaving: bool,
    /// The end of the backoff that it asked this VM for.
    backoff_until: Millis,
    /// The circuit breaker that limits requests after such a backoff.
    circuit: Circuit,
    /// The limit on requests from all VMs together that it has named.
    pub limit: ServerLimit,
    /// Whether it is cold and bears only a few requests from all VMs together.
    pub warmth: ServerWarmth,
    /// This VM's permits to send requests to it while it has a limit or is cold.
    pub permits: PermitStock,
    /// Whether it sent a hint that could not be parsed.
    pub has_unreadable_hint: bool,
    /// When this VM last sent it each prompt part, by the part's id.
    parts: FxHashMap<u64, Millis>,
}

/// The state of a server's circuit breaker. Only a backoff that the server asks for opens it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Circuit {
    /// Requests are sent without limit.
    #[default]
    Closed,
    /// The backoff has been requested; when it is over, one trial request may be sent.
    HalfOpen,
    /// The trial request is under way; no other request is sent until it is answered.
    Probing,
}

impl BackendServer {
    /// The backoff reported while the trial request of a half-open circuit is under way.
    const HALF_OPEN_BACKOFF_MS: u64 = 15;
    /// The weight of the newest sample in `failure_rate`: about the last ten answers count.
    const SAMPLE_WEIGHT: f64 = 0.1;
    /// How long a server is avoided after the first failure to reach it; doubles with each further
    /// one.
    const MIN_AVOID_MS: u64 = 500;
    /// The longest such time: most servers that crash are back after some seconds.
    const MAX_AVOID_MS: u64 = 4_000;
    /// How long a server is avoided after it refused a connection because it has too many: requests
    /// end, and so free connections, every few milliseconds.
    const SATURATED_AVOID_MS: u64 = 10;
    /// The time constant with which a load reported by the server decays in estimates.
    const LOAD_DECAY_MS: f64 = 1_500.0;
    /// The number of prompt parts from which on expired ones are removed.
    const PARTS_BEFORE_CLEANUP: usize = 4_096;
    /// A part that was not sent for this long counts as evicted from the server's cache.
    const CACHED_PART_TTL_MS: u64 = 60_000;

    /// Returns a server of which only the entry is known.
    #[must_use]
    pub fn new(entry: ServerEntry) -> Self {
        Self {
            entry,
            removed: None,
            in_flight: 0,
            backlog_ms: 0.0,
            late_ms: 0.0,
            others: None,
            load: None,
            speed: ServerSpeed::default(),
            cold_until: Millis(0),
            failure_rate: 0.0,
            avoid_until: Millis(0),
            consecutive_failures: 0,
            announced_leaving: false,
            backoff_until: Millis(0),
            circuit: Circuit::Closed,
            limit: ServerLimit::default(),
            warmth: ServerWarmth::default(),
            permits: PermitStock::default(),
            has_unreadable_hint: false,
            parts: FxHashMap::default(),
        }
    }

    /// Returns whether the server may get new requests: it is listed as live and has not announced
    /// that it is leaving.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.removed.is_none() && self.entry.state == MemberState::Live && !self.announced_leaving
    }

    /// Returns whether its answers announce that it is leaving while the store still lists it as
    /// live.
    #[must_use]
    pub fn is_leaving_unlisted(&self) -> bool {
        let is_listed = self.removed.is_none() && self.entry.state == MemberState::Live;
        self.announced_leaving && is_listed
    }

    /// Records that the server announced in an answer that it is leaving. Returns whether it was
    /// open to new requests until now.
    pub fn mark_leaving(&mut self) -> bool {
        let was_open = self.is_open();
        self.announced_leaving = true;
        was_open
    }

    /// Records a backoff that the server asked for and opens its circuit.
    pub fn start_backoff(&mut self, now: Millis, backoff: Millis) {
        self.backoff_until = self.backoff_until.max(now + backoff);
        self.circuit = Circuit::HalfOpen;
    }

    /// Returns how much longer this VM must not send to the server; none if it may send now.
    #[must_use]
    pub fn backoff(&self, now: Millis) -> Option<Millis> {
        match self.circuit {
            _ if now < self.backoff_until => Some(self.backoff_until.since(now)),
            Circuit::Probing => Some(Millis(Self::HALF_OPEN_BACKOFF_MS)),
            Circuit::HalfOpen | Circuit::Closed => None,
        }
    }

    /// Returns the requests per second that all VMs together may send: the lower one of the limit
    /// that the server has named and what it bears while it is cold. None if neither applies.
    #[must_use]
    pub fn permit_rate(&self) -> Option<RequestsPerSecond> {
        match (self.limit.rate(), self.warmth.rate()) {
            (Some(limit), Some(cold)) if limit < cold => Some(limit),
            (Some(limit), None) => Some(limit),
            (_, cold) => cold,
        }
    }

    /// Returns whether the server has a limit or is cold and this VM holds no permit to send to it.
    #[must_use]
    pub fn is_at_limit(&self, now: Millis) -> bool {
        self.permit_rate().is_some() && self.permits.count(now) == 0
    }

    /// Returns whether this VM may send to the server now, as far as the server itself restricts
    /// that.
    #[must_use]
    pub fn accepts(&self, now: Millis) -> bool {
        self.backoff(now).is_none() && !self.is_at_limit(now)
    }

    /// Returns the server's limit as it is reported to other VMs.
    #[must_use]
    pub fn limit_report(&self, now: Millis) -> LimitReport {
        let start = ServerStart { server: self.entry.id.clone(), born: self.entry.born };
        LimitReport { start, rate: self.limit.rate(), age: self.limit.age(now) }
    }

    /// Returns the server's warm-up as it is reported to other VMs.
    #[must_use]
    pub fn cold_report(&self, now: Millis) -> ColdReport {
        let start = ServerStart { server: self.entry.id.clone(), born: self.entry.born };
        let (left, answered) = (self.warmth.left(now), self.warmth.answered_age(now));
        ColdReport { start, left, answered }
    }

    /// Returns whether requests may be sent to the server: it is not being avoided, and after
    /// failures it gets one request at a time until it answers.
    #[must_use]
    pub fn is_reachable(&self, now: Millis) -> bool {
        now >= self.avoid_until && (self.consecutive_failures == 0 || self.in_flight == 0)
    }

    /// Records that a request is sent, and uses a permit if the server has a limit. Returns whether
    /// it is the trial request of a half-open circuit.
    pub fn start_request(&mut self, now: Millis, work_ms: f64, parts: &[PromptPart]) -> bool {
        let is_half_open = self.circuit == Circuit::HalfOpen;
        if is_half_open {
            self.circuit = Circuit::Probing;
        }
        if self.permit_rate().is_some() {
            self.permits.take(now);
        }
        self.in_flight += 1;
        self.backlog_ms += work_ms;
        if self.parts.len() >= Self::PARTS_BEFORE_CLEANUP {
            self.parts.retain(|_, used| now.since(*used).0 < Self::CACHED_PART_TTL_MS);
        }
        for part in parts {
            self.parts.insert(part.id, now);
        }
        is_half_open
    }

    /// Removes a prompt that the server has processed from its backlog.
    pub fn finish_prompt(&mut self, work_ms: f64) {
        self.backlog_ms = (self.backlog_ms - work_ms).max(0.0);
    }

    /// Removes a run that ended or was abandoned from the server's outstanding load.
    pub fn release(&mut self, run: &RunRecord) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if run.is_half_open && self.circuit == Circuit::Probing {
            self.circuit = Circuit::HalfOpen;
        }
        if run.stage == RunStage::Waiting {
            self.finish_prompt(run.work_ms);
        }
    }

    /// Records the load that the server reported in an answer.
    pub const fn record_load(&mut self, now: Millis, sample: LoadSample) {
        self.load = Some(DatedLoad { sample, at: now, own: self.in_flight });
    }

    /// Records an answer; `is_failure` is true for a status of 500 or above and for a broken
    /// answer.
    pub fn record_answer(&mut self, is_failure: bool) {
        self.consecutive_failures = 0;
        self.avoid_until = Millis(0);
        let sample = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate += (sample - self.failure_rate) * Self::SAMPLE_WEIGHT;
    }

    /// Closes the circuit after the trial request has been answered.
    pub const fn close_circuit(&mut self) {
        self.circuit = Circuit::Closed;
    }

    /// Records that the server could not be reached or stopped responding, and avoids it for a
    /// while.
    pub fn mark_down(&mut self, now: Millis) {
        let pause = Self::MIN_AVOID_MS << self.consecutive_failures.min(3);
        self.avoid_until = now + Millis(pause.min(Self::MAX_AVOID_MS));
        self.consecutive_failures += 1;
        self.failure_rate += (1.0 - self.failure_rate) * Self::SAMPLE_WEIGHT;
    }

    /// Records that another VM has reached the server after this one could not.
    pub const fn mark_reached(&mut self) {
        self.consecutive_failures = 0;
        self.avoid_until = Millis(0);
    }

    /// Records that the server refused a connection because it has too many, and avoids it briefly.
    pub fn mark_crowded(&mut self, now: Millis) {
        self.avoid_until = self.avoid_until.max(now + Millis(Self::SATURATED_AVOID_MS));
    }

    /// Records that another server answered at its address, and avoids the address until its entry
    /// may have been corrected.
    pub fn mark_misdirected(&mut self, now: Millis) {
        self.avoid_until = now + Millis(Self::MAX_AVOID_MS);
        self.consecutive_failures += 1;
    }

    /// Returns the estimated number of requests at the server, those of other VMs included.
    #[must_use]
    pub fn expected_requests(&self, now: Millis) -> f64 {
        if let Some(others) = self.others {
            return f64::from(self.in_flight + others.requests);
        }
        let Some(load) = self.load else { return f64::from(self.in_flight) };
        let reported = load.sample.running + load.sample.waiting;
        let others = f64::from(reported.saturating_sub(load.own));
        let age = now.since(load.at).0 as f64;
        f64::from(self.in_flight) + others * (-age / Self::LOAD_DECAY_MS).exp()
    }

    /// Returns whether it has more requests than it runs at a time.
    #[must_use]
    pub fn is_full(&self, now: Millis) -> bool {
        self.expected_requests(now) > f64::from(self.entry.slots.max(1))
    }

    /// Returns the estimated time to process the prompts of all VMs that the server has not
    /// processed yet, in milliseconds. It includes the mean time by which runs there are late.
    #[must_use]
    pub fn expected_backlog(&self) -> f64 {
        let others = self.others.unwrap_or_default();
        self.backlog_ms + self.late_ms + f64::from(others.backlog_ms)
    }

    /// Returns this VM's outstanding load at the server.
    #[must_use]
    pub fn own_load(&self) -> OutstandingLoad {
        let backlog_ms = (self.backlog_ms + self.late_ms) as u32;
        OutstandingLoad { backlog_ms, requests: self.in_flight }
    }

    /// Returns the estimated length of its queue. Zero while the load of other VMs is known, as
    /// that load includes requests in the queue.
    #[must_use]
    pub fn expected_waiting(&self, now: Millis) -> f64 {
        if self.others.is_some() {
            return 0.0;
        }
        let Some(load) = self.load else { return 0.0 };
        let age = now.since(load.at).0 as f64;
        f64::from(load.sample.waiting) * (-age / Self::LOAD_DECAY_MS).exp()
    }

    /// Returns the factor by which its work takes longer than usual; 1 if it reported no load.
    #[must_use]
    pub fn slowdown(&self, now: Millis) -> f64 {
        let Some(load) = self.load else { return 1.0 };
        let reported = f64::from(load.sample.slowdown) / f64::from(LoadSample::USUAL_SLOWDOWN);
        let age = now.since(load.at).0 as f64;
        1.0 + (reported - 1.0) * (-age / Self::LOAD_DECAY_MS).exp()
    }

    /// Returns whether this VM sent it a prompt with this part recently enough for it to be cached.
    #[must_use]
    pub fn has_cached_part(&self, now: Millis, part: u64) -> bool {
        self.parts.get(&part).is_some_and(|used| now.since(*used).0 < Self::CACHED_PART_TTL_MS)
    }
}
