//! Backend servers in virtual time that crash when they start certain requests, behind several
//! entry VMs.

use super::{gateway_crowd::GatewaySimulation, gateway_world::*};
use guavapass::{
    control::{AttemptFault, Refusal},
    gateway::*,
    health::RequestFingerprint,
    ids::{RequestNumber, ServerId},
    units::{Millis, Tokens},
};
use std::collections::{BTreeMap, BTreeSet};

/// A run that reached a server, or the crash that it caused.
#[derive(Clone, Debug)]
pub struct SeenRun {
    pub at: Millis,
    pub fingerprint: RequestFingerprint,
    pub parts: Vec<u64>,
}

/// A request as its caller sent it.
#[derive(Clone, Debug)]
struct Call {
    fingerprint: RequestFingerprint,
    /// Ids of the parts of its prompt.
    parts: Vec<u64>,
}

impl Call {
    fn seen(&self, at: Millis) -> SeenRun {
        SeenRun { at, fingerprint: self.fingerprint, parts: self.parts.clone() }
    }
}

#[derive(Clone, Debug)]
struct OpenRun {
    vm: usize,
    order: RunOrder,
    call: Call,
    ends: Millis,
}

#[derive(Clone, Debug, Default)]
struct PoolServer {
    down_until: Millis,
    is_cut: bool,
    runs: Vec<OpenRun>,
}

/// The servers, the entry VMs in front of them, and the results of the calls.
pub struct CrashingPool {
    pub crowd: GatewaySimulation,
    servers: BTreeMap<ServerId, PoolServer>,
    calls: BTreeMap<(usize, RequestNumber), Call>,
    next_request: u64,
    /// Requests that crash the servers that start them.
    pub crashing: BTreeSet<RequestFingerprint>,
    /// Parts of prompts that crash the servers that start them.
    pub crashing_parts: BTreeSet<u64>,
    /// Time in ms after which a server crashes under such a request or part.
    pub crash_after_ms: u64,
    /// Time in ms after which a server answers a request.
    pub work_ms: u64,
    pub seen: Vec<SeenRun>,
    /// Crashes of servers by a request of [`Self::crashing`].
    pub crashes: Vec<SeenRun>,
    pub answered: Vec<RequestFingerprint>,
    pub refused: Vec<(RequestFingerprint, Refusal)>,
}

impl CrashingPool {
    const SHARED_PART: u64 = 7;
    const DOWN_MS: u64 = 3_000;
    const CONNECT_TIMEOUT_MS: u64 = 250;

    pub fn new(crowd: GatewaySimulation) -> Self {
        Self {
            crowd,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_request: 0,
            crashing: BTreeSet::new(),
            crashing_parts: BTreeSet::new(),
            crash_after_ms: 10,
            work_ms: 300,
            seen: Vec::new(),
            crashes: Vec::new(),
            answered: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Sends a request to an entry VM.
    pub fn call(&mut self, vm: usize, path: &str, fingerprint: RequestFingerprint) {
        let is_engine = path.starts_with("/plan") || path.starts_with("/frail");
        let parts = [Self::SHARED_PART, fingerprint.0];
        self.call_with_parts(vm, path, fingerprint, if is_engine { &parts } else { &[] });
    }

    /// The same, with the ids of the parts of its prompt.
    pub fn call_with_parts(
        &mut self,
        vm: usize,
        path: &str,
        fingerprint: RequestFingerprint,
        parts: &[u64],
    ) {
        self.next_request += 1;
        let request = RequestNumber(self.next_request);
        self.calls.insert((vm, request), Call { fingerprint, parts: parts.to_vec() });
        let part = |id: &u64| PromptPart { id: *id, tokens: Tokens(4_000) };
        let parts: Vec<PromptPart> = parts.iter().map(part).collect();
        let arrival = RoutedArrival {
            request,
            caller_id: format!("call-{}", request.0).into(),
            fingerprint,
            host: "plaza.example".into(),
            path: path.into(),
            key: Some(KEY.into()),
            deadline: Some(Millis(6_000)),
            session: None,
            any_model: false,
            prompt_tokens: Tokens(4_000 * parts.len() as u64),
            output_limit: Tokens(100),
            parts,
            last_event: None,
        };
        self.crowd.tell(vm, 0, GatewayEvent::Arrived(Box::new(arrival)));
    }

    /// Advances the virtual time in steps of 1 ms.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.crowd.run(1);
            self.finish_runs();
            for (vm, command) in std::mem::take(&mut self.crowd.outbox) {
                self.execute(vm, command);
            }
        }
    }

    /// Stops servers, whatever they run; they restart after [`Self::DOWN_MS`].
    pub fn end_servers(&mut self, servers: &[&str]) {
        for server in servers {
            self.end_server(&server_id(server));
        }
    }

    /// Cuts a server off or reconnects it. While it is cut off, its runs stay unanswered and
    /// nothing reaches it.
    pub fn cut_server(&mut self, server: &str, is_cut: bool) {
        self.servers.entry(server_id(server)).or_default().is_cut = is_cut;
    }

    /// Closes the connections of all open runs while their servers keep running.
    pub fn close_runs(&mut self) {
        let servers: Vec<ServerId> = self.servers.keys().cloned().collect();
        for server in &servers {
            self.break_runs(server);
        }
    }

    /// Returns the number of runs of a request that reached servers more than `later` after its
    /// crash number `crash`.
    pub fn seen_after_crash(
        &self,
        fingerprint: RequestFingerprint,
        crash: usize,
        later: Millis,
    ) -> usize {
        let is_same = |run: &&SeenRun| run.fingerprint == fingerprint;
        let crash = self.crashes.iter().filter(is_same).nth(crash - 1);
        let Some(from) = crash.map(|crash| crash.at + later) else { return 0 };
        self.seen.iter().filter(is_same).filter(|run| run.at > from).count()
    }

    pub fn crashes_under(&self, fingerprint: RequestFingerprint) -> usize {
        self.crashes.iter().filter(|crash| crash.fingerprint == fingerprint).count()
    }

    /// Returns when a server crashed for the given time under a part.
    pub fn crash_time(&self, part: u64, crash: usize) -> Option<Millis> {
        let crashes = self.crashes.iter().filter(|crash| crash.parts.contains(&part));
        crashes.map(|crash| crash.at).nth(crash - 1)
    }

    /// Returns the number of runs with a part that reached servers more than `later` after the
    /// crash number `crash` under it.
    pub fn seen_with_part_after_crash(&self, part: u64, crash: usize, later: Millis) -> usize {
        let holds_part = |run: &&SeenRun| run.parts.contains(&part);
        let crash = self.crashes.iter().filter(holds_part).nth(crash - 1);
        let Some(from) = crash.map(|crash| crash.at + later) else { return 0 };
        self.seen.iter().filter(holds_part).filter(|run| run.at > from).count()
    }

    pub fn crashes_under_part(&self, part: u64) -> usize {
        self.crashes.iter().filter(|crash| crash.parts.contains(&part)).count()
    }

    pub fn answers_of(&self, fingerprint: RequestFingerprint) -> usize {
        self.answered.iter().filter(|answered| **answered == fingerprint).count()
    }

    fn execute(&mut self, vm: usize, command: GatewayCommand) {
        match command {
            GatewayCommand::Start(order) => self.start_run(vm, *order),
            GatewayCommand::Probe { server, .. } => {
                let now = self.crowd.now;
                let state = self.servers.entry(server.clone()).or_default();
                let (after, result) = match (state.is_cut, now < state.down_until) {
                    (true, _) => (Self::CONNECT_TIMEOUT_MS, ProbeResult::Silent),
                    (false, true) => (1, ProbeResult::Refused),
                    (false, false) => (1, ProbeResult::Listens),
                };
                self.crowd.tell(vm, after, GatewayEvent::Probed { server, result });
            }
            GatewayCommand::Cancel { request, attempt } => {
                for server in self.servers.values_mut() {
                    server.runs.retain(|run| {
                        (run.vm, run.order.request, run.order.attempt) != (vm, request, attempt)
                    });
                }
            }
            GatewayCommand::Refuse { request, refusal } => {
                if let Some(call) = self.calls.remove(&(vm, request)) {
                    self.refused.push((call.fingerprint, refusal));
                }
            }
            _ => {}
        }
    }

    fn start_run(&mut self, vm: usize, order: RunOrder) {
        let Some(call) = self.calls.get(&(vm, order.request)).cloned() else { return };
        let now = self.crowd.now;
        let server = self.servers.entry(order.server.clone()).or_default();
        if server.is_cut || now < server.down_until {
            let after = if server.is_cut { Self::CONNECT_TIMEOUT_MS } else { 1 };
            let cause = NotRunCause::Unreachable;
            self.report(vm, after, &order, RunOutcome::NotRun { cause, load: None });
            return;
        }
        let is_crashing = Self::is_crashing(&self.crashing, &self.crashing_parts, &call);
        let takes = if is_crashing { self.crash_after_ms } else { self.work_ms };
        self.seen.push(call.seen(now));
        server.runs.push(OpenRun { vm, order, call, ends: now + Millis(takes) });
    }

    fn is_crashing(
        crashing: &BTreeSet<RequestFingerprint>,
        crashing_parts: &BTreeSet<u64>,
        call: &Call,
    ) -> bool {
        let shared = call.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        crashing.contains(&call.fingerprint)
            || shared.iter().any(|part| crashing_parts.contains(part))
    }

    fn finish_runs(&mut self) {
        let now = self.crowd.now;
        let servers: Vec<ServerId> = self.servers.keys().cloned().collect();
        for id in servers {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            if server.is_cut {
                continue;
            }
            let (crashing, crashing_parts) = (&self.crashing, &self.crashing_parts);
            let is_killer = |run: &&OpenRun| {
                run.ends <= now && Self::is_crashing(crashing, crashing_parts, &run.call)
            };
            let killer = server.runs.iter().find(is_killer).map(|run| run.call.clone());
            if let Some(call) = killer {
                self.crashes.push(call.seen(now));
                self.end_server(&id);
                continue;
            }
            let (ended, open) = std::mem::take(&mut server.runs)
                .into_iter()
                .partition::<Vec<_>, _>(|run| run.ends <= now);
            server.runs = open;
            for run in ended {
                self.answered.push(run.call.fingerprint);
                let head = AnswerHead { status: 200, load: None, confidence: None };
                if run.order.is_stream {
                    self.send_report(run.vm, 1, &run.order, RunReport::Began { head });
                }
                self.report(run.vm, 1, &run.order, RunOutcome::Whole { head });
            }
        }
    }

    fn end_server(&mut self, id: &ServerId) {
        self.break_runs(id);
        let server = self.servers.entry(id.clone()).or_default();
        server.down_until = self.crowd.now + Millis(Self::DOWN_MS);
    }

    fn break_runs(&mut self, id: &ServerId) {
        let server = self.servers.entry(id.clone()).or_default();
        for run in std::mem::take(&mut server.runs) {
            let outcome = RunOutcome::Broken { fault: AttemptFault::Closed, last_event: None };
            self.report(run.vm, 1, &run.order, outcome);
        }
    }

    fn report(&mut self, vm: usize, after: u64, order: &RunOrder, outcome: RunOutcome) {
        self.send_report(vm, after, order, RunReport::Ended(outcome));
    }

    fn send_report(&mut self, vm: usize, after: u64, order: &RunOrder, report: RunReport) {
        let (request, attempt) = (order.request, order.attempt);
        self.crowd.tell(vm, after, GatewayEvent::Run { request, attempt, report });
    }
}
