//! Detecting requests that crash the backend servers that run them.
//!
//! Callers send such a request again, at any entry VM, and the attempts have nothing in common but
//! the request itself. It is therefore identified by a fingerprint ([`CrashTracker`]), and the VMs
//! exchange their observations with the polls.
//!
//! A broken connection alone is no proof of a crash: a running server may close a connection, and a
//! server that is cut off does not answer. The VM therefore tries to connect to the server. Only a
//! server whose address refuses connections has crashed.

use super::*;

/// What this VM knows of crashes and of the requests that may have caused them.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashWatch {
    pub(super) book: CrashTracker,
    /// Which crash events this VM and the others have already received from each other.
    positions: SyncPositions,
    /// Runs whose connection broke, by the server that is being probed because of them.
    awaiting_probe: BTreeMap<ServerId, Vec<BrokenRun>>,
}

#[derive(Clone, Debug)]
struct BrokenRun {
    request: RequestNumber,
    fingerprint: RequestFingerprint,
    crash: ServerCrash,
}

impl CrashWatch {
    /// Returns whether a server has crashed, or may have crashed, while it ran a request.
    fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        let mut broken = self.awaiting_probe.values().flatten();
        self.book.is_suspect(fingerprint) || broken.any(|run| run.fingerprint == fingerprint)
    }

    /// Drops the state of VMs that this one no longer knows.
    pub(super) fn retain_peers(&mut self, is_known: impl Fn(&VmId) -> bool) {
        self.positions.retain_peers(is_known);
    }
}

impl Gateway {
    /// Records a run whose connection broke, and probes its server unless a probe is in flight.
    pub(super) fn record_broken_run(
        &mut self,
        now: Millis,
        request: RequestNumber,
        run: &RunRecord,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        let Some(address) = self.servers.get(&run.server).map(|server| server.entry.address) else {
            return;
        };
        let VmIdentity { vm, incarnation, .. } = &self.identity;
        let name = format!("{vm} {incarnation} {request} {}", run.attempt);
        let crash = ServerCrash {
            server: run.server.clone(),
            run: xxh3_64(name.as_bytes()),
            started: run.started,
            ended: now,
        };
        let broken = BrokenRun { request, fingerprint: state.arrival.fingerprint, crash };
        let runs = self.crashes.awaiting_probe.entry(run.server.clone()).or_default();
        runs.push(broken);
        if runs.len() == 1 {
            self.emit(GatewayCommand::Probe { server: run.server.clone(), address });
        }
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
        if result != ProbeResult::Refused {
            return;
        }
        for BrokenRun { request, fingerprint, crash } in runs {
            let is_open = self.requests.contains_key(&request);
            self.crashes.book.crashed(now, fingerprint, crash, is_open);
            self.log_crash(now, fingerprint, "server crashed while it ran a request");
        }
    }

    fn log_crash(&self, now: Millis, fingerprint: RequestFingerprint, message: &'static str) {
        let book = &self.crashes.book;
        let servers = book.crashes(fingerprint);
        let servers: Vec<&str> = servers.iter().map(|crash| crash.server.as_str()).collect();
        let quarantine_ms = book.quarantine(now, fingerprint).map(|rest| rest.0);
        tracing::info!(%fingerprint, ?servers, quarantine_ms, "{message}");
    }

    /// Returns the refusal of a request that is quarantined because servers have crashed while they
    /// ran it.
    pub(super) fn quarantine_refusal(&self, now: Millis, state: &RoutedRequest) -> Option<Refusal> {
        let rest = self.crashes.book.quarantine(now, state.arrival.fingerprint)?;
        let message = "Backend servers ended while they ran this request; it is not run for now.";
        let refusal = Self::final_refusal(state, RefusalCode::Unavailable, message);
        let is_not_run = refusal.run == RunState::NotRun;
        Some(if is_not_run { refusal.with_retry_after(rest) } else { refusal })
    }

    /// Returns the servers that run another suspect request, if this request is a suspect itself.
    /// Were both to run on one server, its crash would not show which of them caused it.
    pub(super) fn servers_of_suspects(&self, state: &RoutedRequest) -> Vec<ServerId> {
        let fingerprint = state.arrival.fingerprint;
        if !self.crashes.is_suspect(fingerprint) {
            return Vec::new();
        }
        let others = self.requests.values().filter(|other| {
            let other = other.arrival.fingerprint;
            other != fingerprint && self.crashes.is_suspect(other)
        });
        others.filter_map(RoutedRequest::open_run).map(|run| run.server.clone()).collect()
    }

    /// Applies the crash events that another VM has sent.
    pub(super) fn apply_crashes(&mut self, now: Millis, from: PeerName, news: &CrashUpdate) {
        for fingerprint in self.crashes.book.merge(now, news) {
            self.log_crash(
                now,
                fingerprint,
                "another VM reported a server crash while it ran a request",
            );
        }
        self.crashes.positions.set_received(from, news.last);
    }

    /// Returns the crash events of this VM after the given sequence number.
    pub(super) fn crash_news(&self, now: Millis, number: u64) -> CrashUpdate {
        self.crashes.book.since(now, number)
    }

    pub(super) fn crash_news_for(&self, now: Millis, peer: &PeerName) -> CrashUpdate {
        self.crash_news(now, self.crashes.positions.confirmed_by(peer))
    }

    pub(super) fn crashes_received_from(&self, peer: &PeerName) -> u64 {
        self.crashes.positions.received_from(peer)
    }

    pub(super) fn set_crashes_confirmed(&mut self, peer: PeerName, last: u64) {
        self.crashes.positions.set_confirmed(peer, last);
    }
}
