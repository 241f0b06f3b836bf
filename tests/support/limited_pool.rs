//! Backend servers in virtual time that name request limits, behind several entry VMs.

use super::{gateway_crowd::GatewaySimulation, gateway_world::*};
use guavapass::{
    control::{AttemptFault, Refusal, RunState},
    gateway::*,
    health::RequestFingerprint,
    ids::{RequestNumber, ServerId},
    units::{Millis, RequestsPerSecond, Tokens},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// A request that reached a server with a limit.
#[derive(Clone, Debug)]
pub struct SeenRun {
    pub at: Millis,
    pub vm: usize,
    pub server: ServerId,
    /// Whether the rule counts it: its VM was told the limit long enough before.
    pub is_counted: bool,
}

#[derive(Clone, Debug)]
struct OpenRun {
    vm: usize,
    order: RunOrder,
    began: Millis,
    ends: Millis,
    has_begun: bool,
}

/// A limit that a server names from a time on.
#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    from: Millis,
    limit: Option<f64>,
}

/// The servers, the entry VMs in front of them, and the results of the calls.
pub struct LimitedPool {
    pub crowd: GatewaySimulation,
    random: ChaCha8Rng,
    limits: BTreeMap<ServerId, Vec<NamedLimit>>,
    /// When each VM got the first answer with a server's limit.
    told: BTreeMap<(usize, ServerId), Millis>,
    runs: Vec<OpenRun>,
    calls: BTreeSet<(usize, RequestNumber)>,
    next_request: u64,
    /// Time in ms after which a server sends the head of an answer.
    pub head_ms: u64,
    /// Time in ms after which an answer is complete.
    pub work_ms: u64,
    /// The share of the runs that end with a broken connection instead.
    pub broken_share: f64,
    /// Servers that refuse connections.
    pub down: BTreeSet<ServerId>,
    /// Servers whose requests are recorded though they name no limit.
    pub watched: BTreeSet<ServerId>,
    pub seen: Vec<SeenRun>,
    pub answered: u64,
    /// Refusals, and how long after the arrival they came.
    pub refused: Vec<(Millis, Refusal)>,
    arrived: BTreeMap<(usize, RequestNumber), Millis>,
}

impl LimitedPool {
    /// The window over which the rule counts requests.
    const WINDOW_MS: u64 = 4_000;
    /// Requests of a VM count from this time after its first answer with the limit.
    const TOLD_MS: u64 = 500;
    /// The time after a server first names a limit from which the rule holds.
    pub const CONTACT_MS: u64 = 3_000;

    pub fn new(crowd: GatewaySimulation, seed: u64) -> Self {
        Self {
            crowd,
            random: ChaCha8Rng::seed_from_u64(seed),
            limits: BTreeMap::new(),
            told: BTreeMap::new(),
            runs: Vec::new(),
            calls: BTreeSet::new(),
            next_request: 0,
            head_ms: 40,
            work_ms: 60,
            broken_share: 0.0,
            down: BTreeSet::new(),
            watched: BTreeSet::new(),
            seen: Vec::new(),
            answered: 0,
            refused: Vec::new(),
            arrived: BTreeMap::new(),
        }
    }

    /// Sets the limit that a server names in all further answers.
    pub fn set_limit(&mut self, server: &str, limit: Option<f64>) {
        let named = NamedLimit { from: self.crowd.now, limit };
        self.limits.entry(server_id(server)).or_default().push(named);
    }

    pub fn set_limits(&mut self, servers: &[&str], limit: Option<f64>) {
        for server in servers {
            self.set_limit(server, limit);
        }
    }

    /// Sends requests to VMs, at a mean rate for each of them, for a time in ms.
    pub fn load(&mut self, vms: &[usize], path: &str, per_second: f64, ms: u64) {
        for _ in 0..ms {
            for vm in vms {
                let mut due = per_second / 1_000.0;
                while self.random.random::<f64>() < due {
                    self.call(*vm, path);
                    due -= 1.0;
                }
            }
            self.run(1);
        }
    }

    /// Returns a random number below `end`.
    pub fn draw(&mut self, end: usize) -> usize {
        self.random.random_range(0..end)
    }

    /// Sends a request to an entry VM.
    pub fn call(&mut self, vm: usize, path: &str) {
        self.next_request += 1;
        let request = RequestNumber(self.next_request);
        self.calls.insert((vm, request));
        self.arrived.insert((vm, request), self.crowd.now);
        let is_engine = !path.starts_with("/book") && !path.starts_with("/slot");
        let part = |id, tokens| PromptPart { id, tokens: Tokens(tokens) };
        let parts = vec![part(7 + request.0 % 20, 8_000), part(1_000 + request.0, 1_000)];
        let arrival = RoutedArrival {
            request,
            caller_id: format!("call-{}", request.0).into(),
            fingerprint: RequestFingerprint(request.0),
            host: "plaza.example".into(),
            path: path.into(),
            key: Some(KEY.into()),
            deadline: Some(Millis(6_000)),
            session: None,
            any_model: path.starts_with("/sized"),
            prompt_tokens: Tokens(if is_engine { 9_000 } else { 0 }),
            output_limit: Tokens(100),
            parts: if is_engine { parts } else { Vec::new() },
            last_event: None,
        };
        self.crowd.tell(vm, 0, GatewayEvent::Arrived(Box::new(arrival)));
    }

    /// Advances the virtual time in steps of 1 ms.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.crowd.run(1);
            self.advance_runs();
            for (vm, command) in std::mem::take(&mut self.crowd.outbox) {
                self.execute(vm, command);
            }
        }
    }

    /// Restarts a VM; its requests are lost.
    pub fn restart(&mut self, vm: usize) {
        self.crowd.kill(vm);
        self.crowd.start(vm);
        self.forget(vm);
    }

    /// Excuses the requests that a VM has yet to learn about anew, as the rule does after a
    /// restart, freeze or cut.
    pub fn forget(&mut self, vm: usize) {
        self.told.retain(|(told, _), _| *told != vm);
        self.runs.retain(|run| run.vm != vm);
    }

    /// Returns the number of requests that reached a server in a span of time.
    pub fn seen_in(&self, server: &str, from: Millis, to: Millis) -> usize {
        let server = server_id(server);
        let seen = self.seen.iter().filter(|run| run.server == server);
        seen.filter(|run| run.at >= from && run.at < to).count()
    }

    /// Returns the number of requests that reached some servers since a time.
    pub fn seen_since(&self, servers: &[&str], from: Millis) -> usize {
        servers.iter().map(|server| self.seen_in(server, from, Millis::MAX)).sum()
    }

    /// Returns the most requests that a server got in any one second since a time.
    pub fn most_in_a_second(&self, server: &str, from: Millis) -> usize {
        let server = server_id(server);
        let seen = self.seen.iter().filter(|run| run.server == server && run.at >= from);
        let times: Vec<Millis> = seen.map(|run| run.at).collect();
        let within = |end: &Millis| {
            times.iter().filter(|at| **at <= *end && end.since(**at).0 < 1_000).count()
        };
        times.iter().map(within).max().unwrap_or(0)
    }

    /// Fails if a server got more requests than the rule permits.
    pub fn assert_limits_hold(&self) {
        for (server, named) in &self.limits {
            let Some(first) = named.iter().find(|named| named.limit.is_some()) else { continue };
            let seen = self.seen.iter().filter(|run| run.server == *server && run.is_counted);
            let times: Vec<Millis> = seen.map(|run| run.at).collect();
            for (index, end) in times.iter().enumerate() {
                if end.since(first.from).0 < Self::CONTACT_MS {
                    continue;
                }
                let start = end.since(Millis(Self::WINDOW_MS));
                let count = times[..=index].iter().filter(|at| **at > start).count();
                let Some(allowed) = Self::allowed(named, start, *end) else { continue };
                assert!(
                    count <= allowed,
                    "{server} got {count} requests in the 4 s before {end:?}, {allowed} allowed"
                );
            }
        }
    }

    /// Returns the requests that the rule permits in a window; none if the server named no limit in
    /// a part of it.
    fn allowed(named: &[NamedLimit], start: Millis, end: Millis) -> Option<usize> {
        let before = named.iter().rfind(|named| named.from <= start);
        let within = named.iter().filter(|named| named.from > start && named.from <= end);
        let mut limits: Vec<Option<f64>> = within.map(|named| named.limit).collect();
        limits.extend(before.map(|named| named.limit));
        let highest = limits.into_iter().collect::<Option<Vec<f64>>>()?.into_iter();
        let highest = highest.fold(0.0, f64::max);
        Some((1.5 * highest * Self::WINDOW_MS as f64 / 1_000.0 + 5.0) as usize)
    }

    fn limit_of(&self, server: &ServerId) -> Option<f64> {
        self.limits.get(server).and_then(|named| named.last()).and_then(|named| named.limit)
    }

    fn execute(&mut self, vm: usize, command: GatewayCommand) {
        match command {
            GatewayCommand::Start(order) => self.start_run(vm, *order),
            GatewayCommand::Cancel { request, attempt } => self.runs.retain(|run| {
                (run.vm, run.order.request, run.order.attempt) != (vm, request, attempt)
            }),
            GatewayCommand::Refuse { request, refusal } => {
                if let Some(arrived) = self.arrived.get(&(vm, request)) {
                    self.refused.push((self.crowd.now.since(*arrived), refusal));
                }
            }
            _ => {}
        }
    }

    fn start_run(&mut self, vm: usize, order: RunOrder) {
        let now = self.crowd.now;
        let server = order.server.clone();
        if self.down.contains(&server) {
            let (request, attempt) = (order.request, order.attempt);
            let cause = NotRunCause::Unreachable;
            let report = RunReport::Ended(RunOutcome::NotRun { cause, load: None });
            self.crowd.tell(vm, 1, GatewayEvent::Run { request, attempt, report });
            return;
        }
        if self.limits.contains_key(&server) || self.watched.contains(&server) {
            let told = self.told.get(&(vm, server.clone()));
            let is_counted = told.is_some_and(|told| now.since(*told).0 >= Self::TOLD_MS);
            self.seen.push(SeenRun { at: now, vm, server, is_counted });
        }
        let (began, ends) = (now + Millis(self.head_ms), now + Millis(self.work_ms));
        self.runs.push(OpenRun { vm, order, began, ends, has_begun: false });
    }

    fn advance_runs(&mut self) {
        let now = self.crowd.now;
        for mut run in std::mem::take(&mut self.runs) {
            if !run.has_begun && run.began <= now {
                run.has_begun = true;
                self.send_head(&run);
            }
            if run.ends > now {
                self.runs.push(run);
                continue;
            }
            let is_broken = self.random.random::<f64>() < self.broken_share;
            let outcome = if is_broken {
                RunOutcome::Broken { fault: AttemptFault::Truncated, last_event: None }
            } else {
                self.answered += 1;
                RunOutcome::Whole { head: Self::head() }
            };
            self.report(&run, RunReport::Ended(outcome));
        }
    }

    const fn head() -> AnswerHead {
        AnswerHead { status: 200, load: None, confidence: Some(0) }
    }

    fn send_head(&mut self, run: &OpenRun) {
        let server = run.order.server.clone();
        let limit = self.limit_of(&server);
        let statement = limit.map_or(LimitStatement::Absent, |limit| {
            LimitStatement::Named(RequestsPerSecond(limit))
        });
        if limit.is_some() || run.order.is_limited {
            let start = ServerStart { server: server.clone(), born: run.order.born };
            let hint = ServerHint { limit: statement, ..ServerHint::default() };
            let sent = run.order.sent;
            self.crowd.tell(run.vm, 1, GatewayEvent::ServerHinted { start, sent, hint });
        }
        if limit.is_some() {
            self.told.entry((run.vm, server)).or_insert(self.crowd.now);
        }
        if run.order.is_stream {
            self.report(run, RunReport::Began { head: Self::head() });
        }
    }

    fn report(&mut self, run: &OpenRun, report: RunReport) {
        let (request, attempt) = (run.order.request, run.order.attempt);
        self.crowd.tell(run.vm, 1, GatewayEvent::Run { request, attempt, report });
    }

    /// Returns the number of refusals that say "not run".
    pub fn refused_not_run(&self) -> usize {
        self.refused.iter().filter(|(_, refusal)| refusal.run == RunState::NotRun).count()
    }
}
