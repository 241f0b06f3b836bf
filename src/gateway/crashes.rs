//! Detecting requests, and parts of prompts, that crash the backend servers that run them.
//!
//! Callers send such a request again, at any entry VM, or send others that have a part of the
//! prompt in common with it. Requests are therefore identified by a fingerprint and parts by their
//! ids ([`CrashTracker`]), and the VMs exchange their observations with the polls.
//!
//! A broken connection alone is no proof of a crash: a running server may close a connection, and a
//! server that is cut off does not answer. The VM therefore tries to connect to the server. Only a
//! server whose address refuses connections has crashed. A request that was broken is sent again
//! after that, as the crash may be the one that shows its request or a part of it to be the cause.
//!
//! [`CrashWatch::quarantine`] decides for every way to a server, from [`send`] and [`escalate`].

use super::*;

/// What this VM knows of crashes and of the requests that may have caused them.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashWatch {
    pub(super) tracker: CrashTracker,
    /// Which crash events this VM and the others have already received from each other.
    positions: SyncPositions,
    /// Runs whose connection broke, by the server that is being probed because of them.
    awaiting_probe: BTreeMap<ServerId, Vec<BrokenRun>>,
    /// Requests that wait for the probe of the server that broke them, or longer as suspects, by
    /// the time at which they are sent again in any case.
    held: BTreeSet<(Millis, RequestNumber)>,
    /// Runs at servers that crashed while their pool had a roll-out, by the time at which they
    /// count against the version unless a quarantine explains the crash.
    uncounted: VecDeque<(Millis, BrokenRun)>,
    /// When this VM last handled an event.
    handled: Millis,
    /// Until when requests with prompts wait, as this VM was suspended and has missed crash events.
    catches_up_until: Millis,
}

#[derive(Clone, Debug)]
struct BrokenRun {
    request: RequestNumber,
    pool: PoolId,
    suspects: RunSuspects,
    crash: ServerCrash,
    side: Option<VersionSide>,
    /// Whether the server was still warming up and had more requests than it runs at a time, which
    /// explains the crash.
    is_overloaded: bool,
}

/// What may have caused the crash of a server during a run.
#[derive(Clone, Debug)]
pub(super) struct RunSuspects {
    pub(super) request: CrashSubject,
    pub(super) parts: Vec<CrashSubject>,
}

impl RunSuspects {
    /// The largest number of parts of a prompt that are considered, the first ones.
    const PART_LIMIT: usize = 256;

    /// Returns the suspects of a run of a request at its pool and model. The last part of a prompt
    /// is its own, so that the request stands for it.
    pub(super) fn of(state: &RoutedRequest) -> Self {
        let part =
            |part: &PromptPart| CrashSubject::part(part.id, &state.pool, state.model.as_ref());
        let shared = state.arrival.shared_parts().iter().take(Self::PART_LIMIT);
        let parts: BTreeSet<CrashSubject> = shared.map(part).collect();
        Self {
            request: CrashSubject::request(state.arrival.fingerprint),
            parts: parts.into_iter().collect(),
        }
    }

    fn all(&self) -> impl Iterator<Item = CrashSubject> {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }
}

impl CrashWatch {
    /// The time between two events after which a VM that polls others has been suspended.
    const SUSPENDED_MS: u64 = 1_000;
    /// The time in which it gets the answers of its next polls.
    const CATCH_UP_MS: u64 = 300;

    /// Returns whether a server has crashed, or may have crashed, while it ran a request.
    fn is_suspect(&self, subject: CrashSubject) -> bool {
        let mut broken = self.awaiting_probe.values().flatten();
        self.tracker.is_suspect(subject) || broken.any(|run| run.suspects.request == subject)
    }

    /// Notices that this VM was suspended.
    pub(super) fn observe_time(&mut self, now: Millis) {
        let gap = now.since(std::mem::replace(&mut self.handled, now));
        if gap.0 >= Self::SUSPENDED_MS && gap != now {
            tracing::info!(suspended_ms = gap.0, "was suspended; catching up with crash news");
            self.catches_up_until = now + Millis(Self::CATCH_UP_MS);
        }
    }

    /// Returns until when requests with prompts wait, if they do.
    pub(super) fn catch_up_end(&self, now: Millis) -> Option<Millis> {
        (now < self.catches_up_until).then_some(self.catches_up_until)
    }

    /// Returns why a request must not run at its model, or `None` if it may. If `may_try` is true,
    /// it may run as a trial.
    pub(super) fn quarantine(
        &mut self,
        now: Millis,
        state: &RoutedRequest,
        may_try: bool,
    ) -> Option<CrashQuarantine> {
        let RunSuspects { request, parts } = RunSuspects::of(state);
        self.tracker.quarantine(now, request, &parts, may_try)
    }

    /// Returns when [`Gateway::end_crash_waits`] is due next.
    pub(super) fn next(&self) -> Option<Millis> {
        let held = self.held.first().map(|(at, _)| *at);
        held.into_iter().chain(self.uncounted.front().map(|(at, _)| *at)).min()
    }

    /// Drops the state of VMs that this one no longer knows.
    pub(super) fn retain_peers(&mut self, is_known: impl Fn(&VmId) -> bool) {
        self.positions.retain_peers(is_known);
    }
}

impl Gateway {
    /// The longest time for which a broken request waits for the probe of its server. A process
    /// that has ended refuses connections after a round trip.
    const PROBE_WAIT_MS: u64 = 30;
    /// The number of crashes after which a request waits before it is sent again. Most requests
    /// that meet so many of them are their cause, or run beside it.
    const CRASHES_BEFORE_WAIT: usize = 2;
    /// How long it waits: the VMs exchange crashes within 300 ms, and a stream may pause longer.
    const SUSPECT_WAIT_MS: u64 = 500;
    /// The time in which the VMs find out and exchange what has caused a crash.
    const VERDICT_WAIT_MS: u64 = 1_000;

    /// Records a run whose connection broke, and probes its server unless a probe is in flight.
    /// Returns false if the server is not known any more.
    pub(super) fn record_broken_run(
        &mut self,
        now: Millis,
        request: RequestNumber,
        run: &RunRecord,
    ) -> bool {
        let Some(state) = self.requests.get(&request) else { return false };
        let Some(server) = self.servers.get(&run.server) else { return false };
        let (address, is_overloaded) = (server.entry.address, run.is_cold && server.is_full(now));
        let VmIdentity { vm, incarnation, .. } = &self.identity;
        let name = format!("{vm} {incarnation} {request} {}", run.attempt);
        let crash = ServerCrash {
            server: run.server.clone(),
            run: xxh3_64(name.as_bytes()),
            started: run.started,
            ended: now,
        };
        let suspects = RunSuspects::of(state);
        let (pool, side) = (state.pool.clone(), run.side);
        if state.may_retry() {
            self.crashes.held.insert((now + Millis(Self::PROBE_WAIT_MS), request));
        }
        let runs = self.crashes.awaiting_probe.entry(run.server.clone()).or_default();
        runs.push(BrokenRun { request, pool, suspects, crash, side, is_overloaded });
        if runs.len() == 1 {
            self.emit(GatewayCommand::Probe { server: run.server.clone(), address });
        }
        true
    }

    /// Returns whether a request waits before it is sent again.
    pub(super) fn waits_after_crash(&self, request: RequestNumber) -> bool {
        self.crashes.held.iter().any(|(_, held)| *held == request)
    }

    /// Handles the result of a probe. If the server has crashed, the crash is recorded for every
    /// run that broke there.
    pub(super) fn on_probed(&mut self, now: Millis, server: &ServerId, result: ProbeResult) {
        let runs = self.crashes.awaiting_probe.remove(server).unwrap_or_default();
        tracing::info!(
            %server,
            ?result,
            broken_runs = runs.len(),
            "probed a server after broken runs"
        );
        for run in &runs {
            if result == ProbeResult::Refused {
                self.record_crash(now, run);
            } else {
                self.count_broken(&run.pool, run.side);
            }
        }
        for run in &runs {
            if !self.waits_after_crash(run.request) {
                continue;
            }
            self.crashes.held.retain(|(_, held)| *held != run.request);
            let crashes = self.crashes.tracker.crashes(run.suspects.request).len();
            if result == ProbeResult::Refused && crashes >= Self::CRASHES_BEFORE_WAIT {
                let at = now + Millis(Self::SUSPECT_WAIT_MS);
                self.crashes.held.insert((at, run.request));
            } else {
                self.retry_or_end(now, run.request, "incomplete answer");
            }
        }
    }

    fn record_crash(&mut self, now: Millis, run: &BrokenRun) {
        let BrokenRun { request, suspects, crash, .. } = run;
        if run.is_overloaded {
            let server = &crash.server;
            tracing::info!(%server, "server crashed cold and full; not counted against requests");
            self.count_broken(&run.pool, run.side);
            return;
        }
        let is_open = self.requests.contains_key(request);
        self.crashes.tracker.crashed(now, suspects.request, crash.clone(), is_open);
        for part in &suspects.parts {
            self.crashes.tracker.crashed(now, *part, crash.clone(), false);
        }
        self.log_crash(now, suspects, "server crashed while it ran a request");
        if run.side.is_some() {
            let due = now + Millis(Self::VERDICT_WAIT_MS);
            self.crashes.uncounted.push_back((due, run.clone()));
        }
    }

    /// Sends requests again whose server has not been probed in time, and counts crashes that no
    /// quarantine explains against the version of the server.
    pub(super) fn end_crash_waits(&mut self, now: Millis) {
        while let Some((at, request)) = self.crashes.held.first().copied() {
            if at > now {
                break;
            }
            self.crashes.held.pop_first();
            self.retry_or_end(now, request, "incomplete answer");
        }
        while self.crashes.uncounted.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, run)) = self.crashes.uncounted.pop_front() else { return };
            if self.crashes.tracker.explains(now, &run.crash) {
                let server = &run.crash.server;
                tracing::info!(%server, "crash not counted against the version of the server");
            } else {
                self.count_broken(&run.pool, run.side);
            }
        }
    }

    fn log_crash(&self, now: Millis, suspects: &RunSuspects, message: &'static str) {
        let tracker = &self.crashes.tracker;
        let counts = |subject: CrashSubject| tracker.crashes(subject).len();
        let suspected = suspects.parts.iter().filter(|part| counts(**part) > 0);
        let most = suspected.clone().max_by_key(|part| counts(**part)).copied();
        let crashes = tracker.crashes(suspects.request);
        let servers: Vec<&str> = crashes.iter().map(|crash| crash.server.as_str()).collect();
        tracing::info!(
            fingerprint = %suspects.request,
            ?servers,
            suspected_parts = suspected.count(),
            most_suspected = most.map(|part| part.to_string()),
            most_crashes = most.map(counts),
            last_ms = crashes.last().map(|crash| now.since(crash.ended).0),
            "{message}"
        );
    }

    /// Returns whether this VM runs the trials of quarantined subjects: the hub of the data centre
    /// that is first by name.
    fn holds_trials(&self) -> bool {
        let own = &self.identity.data_centre;
        let others = self.relay.peers.centres();
        self.relay.card.is_none() || self.relay.is_hub && others.iter().all(|centre| own <= centre)
    }

    /// Returns the refusal of a request that is quarantined because servers have crashed while they
    /// ran it or others with a part of its prompt.
    pub(super) fn quarantine_refusal(
        &mut self,
        now: Millis,
        request: RequestNumber,
    ) -> Option<Refusal> {
        let may_try = self.holds_trials();
        let state = self.requests.get(&request)?;
        let may_try = may_try && state.runs.is_empty();
        let CrashQuarantine { subject, rest } = self.crashes.quarantine(now, state, may_try)?;
        let is_request = subject == CrashSubject::request(state.arrival.fingerprint);
        let message = if is_request {
            "Backend servers ended while they ran this request; it is not run for now."
        } else {
            "Backend servers ended under a part of this prompt; it is not run for now."
        };
        tracing::info!(request = request.0, %subject, is_request, "stopped by a quarantine");
        let refusal = Self::final_refusal(state, RefusalCode::Unavailable, message);
        let is_not_run = refusal.run == RunState::NotRun;
        Some(if is_not_run { refusal.with_retry_after(rest) } else { refusal })
    }

    /// Returns the number of requests and prompt parts that are quarantined.
    #[must_use]
    pub fn quarantined_subjects(&self) -> usize {
        self.crashes.tracker.quarantined()
    }

    /// Records that a run was completely answered.
    pub(super) fn record_sound_run(
        &mut self,
        now: Millis,
        request: RequestNumber,
        run: &RunRecord,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        for subject in RunSuspects::of(state).all() {
            self.crashes.tracker.answered(now, subject, run.started);
        }
    }

    /// Returns the servers that run another suspect request, if this request is a suspect itself.
    /// Were both to run on one server, its crash would not show which of them caused it.
    pub(super) fn servers_of_suspects(&self, state: &RoutedRequest) -> Vec<ServerId> {
        let subject = CrashSubject::request(state.arrival.fingerprint);
        if !self.crashes.is_suspect(subject) {
            return Vec::new();
        }
        let others = self.requests.values().filter(|other| {
            let other = CrashSubject::request(other.arrival.fingerprint);
            other != subject && self.crashes.is_suspect(other)
        });
        others.filter_map(RoutedRequest::open_run).map(|run| run.server.clone()).collect()
    }

    /// Applies the crash events that another VM has sent.
    pub(super) fn apply_crashes(&mut self, now: Millis, from: PeerName, news: &CrashUpdate) {
        let subjects = self.crashes.tracker.merge(now, &from.vm, news).len();
        if subjects > 0 {
            tracing::info!(from = %from.vm, subjects, "another VM reported server crashes");
        }
        self.crashes.positions.set_received(from, news.last);
    }

    /// Returns the crash events of this VM after the given sequence number for another VM.
    pub(super) fn crash_news(&self, now: Millis, number: u64, receiver: &VmId) -> CrashUpdate {
        self.crashes.tracker.since(now, number, receiver)
    }

    pub(super) fn crash_news_for(&self, now: Millis, peer: &PeerName) -> CrashUpdate {
        self.crash_news(now, self.crashes.positions.confirmed_by(peer), &peer.vm)
    }

    pub(super) fn crashes_received_from(&self, peer: &PeerName) -> u64 {
        self.crashes.positions.received_from(peer)
    }

    pub(super) fn set_crashes_confirmed(&mut self, peer: PeerName, last: u64) {
        self.crashes.positions.set_confirmed(peer, last);
    }
}
