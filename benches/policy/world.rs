//! Virtual time, fake servers and a fake rating service around a router.

use crate::{
    fake_server::{FakeServer, ServerJob, StartedJob},
    router::{self, BenchRouter},
    workload::Job,
};
use guavapass::{
    configuration::{ConfigurationDocument, hash_key},
    control::{
        AnswerMode, Arrival, ArrivalSource, ArrivalTarget, AttemptFault, AttemptOutcome,
        AttemptReport, AttemptStart, Command, Event, ReleaseMode, TokenUsage, WorkTarget,
    },
    ids::{AttemptId, PoolId, RequestNumber, ServerId, VersionId},
    ports::{LoadReport, PlatformError},
    units::{Millis, Share, Tokens},
};
use std::collections::{BTreeMap, VecDeque};

/// What became of a job.
#[derive(Clone, Debug, Default)]
pub struct JobResult {
    pub first_token: Option<u64>,
    pub end: Option<u64>,
    pub refused: Option<u64>,
    pub good: bool,
    pub cost: f64,
    pub attempts: u32,
    pub hedged: bool,
    pub version: Option<VersionId>,
}

#[derive(Clone, Debug)]
enum WorldEvent {
    Arrive(usize),
    Head(ServerId, u64, u64),
    End(ServerId, u64, u64),
    Cancelled(u64, u64),
    Rated(u64, u64, VersionId),
    Loaded(ServerId),
    Tick,
}

#[derive(Clone, Debug)]
struct RunningAttempt {
    start: AttemptStart,
    cost: f64,
    held: bool,
    whole: bool,
}

/// How a version's answers turn out over time.
pub type Quality = Box<dyn Fn(u64, &Job, &VersionId) -> bool>;

pub struct World<R> {
    pub router: R,
    pub document: ConfigurationDocument,
    pub jobs: Vec<Job>,
    pub results: Vec<JobResult>,
    pub servers: BTreeMap<ServerId, FakeServer>,
    pub quality: Quality,
    pub report_lag_ms: u64,
    /// The times at which the rating service answers nothing.
    pub rater_down: std::ops::Range<u64>,
    /// Ratings given, by time and version.
    pub ratings: Vec<(u64, VersionId, bool)>,
    events: BTreeMap<(u64, u64), WorldEvent>,
    attempts: BTreeMap<(u64, u64), RunningAttempt>,
    history: BTreeMap<ServerId, VecDeque<(u64, u32, u32)>>,
    sequence: u64,
}

impl<R: BenchRouter> World<R> {
    const TICK_MS: u64 = 10;
    const RATING_MS: u64 = 150;
    const HOP_MS: u64 = 1;

    pub fn new(
        router: R,
        document: &ConfigurationDocument,
        pool: &PoolId,
        servers: usize,
        jobs: Vec<Job>,
        quality: Quality,
    ) -> Self {
        let slots = document.pools[pool].slots as usize;
        let members = router::members(pool, servers);
        let fakes = members.iter().map(|member| (member.id.clone(), FakeServer::new(slots)));
        let mut world = Self {
            router,
            document: document.clone(),
            results: vec![JobResult::default(); jobs.len()],
            servers: fakes.collect(),
            jobs,
            quality,
            report_lag_ms: 1_000,
            rater_down: 0..0,
            ratings: Vec::new(),
            events: BTreeMap::new(),
            attempts: BTreeMap::new(),
            history: BTreeMap::new(),
            sequence: 0,
        };
        world.handle(0, router::listed(members));
        for index in 0..world.jobs.len() {
            world.at(world.jobs[index].at, WorldEvent::Arrive(index));
        }
        world.at(Self::TICK_MS, WorldEvent::Tick);
        world
    }

    fn at(&mut self, time: u64, event: WorldEvent) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    /// Runs until a time.
    pub fn run(&mut self, until: u64) {
        self.run_while(until, |_| true);
    }

    /// Runs until a time, or until a condition no longer holds.
    pub fn run_while(&mut self, until: u64, holds: impl Fn(&Self) -> bool) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until || !holds(self) {
                return;
            }
            let ((now, _), event) = self.events.pop_first().unwrap();
            self.step(now, event);
        }
    }

    fn step(&mut self, now: u64, event: WorldEvent) {
        match event {
            WorldEvent::Arrive(index) => {
                let arrival = self.arrival(index);
                self.handle(now, Event::Arrived(arrival));
            }
            WorldEvent::Head(server, request, attempt) => {
                if self.servers[&server].is_running(request, attempt) {
                    self.report(now, request, attempt, AttemptReport::Head);
                    self.note_head(now, request, attempt);
                }
            }
            WorldEvent::End(server, request, attempt) => self.end(now, &server, request, attempt),
            WorldEvent::Cancelled(request, attempt) => {
                let fault = AttemptFault::Cancelled;
                let outcome = AttemptOutcome::Failed { fault, output_tokens: Tokens(0) };
                self.report(now, request, attempt, AttemptReport::Ended(outcome));
            }
            WorldEvent::Rated(request, attempt, version) => {
                let result = self.rating(now, request, &version);
                let (request, attempt) = (RequestNumber(request), AttemptId(attempt));
                self.handle(now, Event::Rated { request, attempt, result });
            }
            WorldEvent::Loaded(server) => self.loaded(now, server),
            WorldEvent::Tick => {
                self.note_history(now);
                self.handle(now, Event::Tick);
                self.at(now + Self::TICK_MS, WorldEvent::Tick);
            }
        }
    }

    fn arrival(&self, index: usize) -> Arrival {
        let job = &self.jobs[index];
        Arrival {
            request: RequestNumber(index as u64),
            key: Some(hash_key(&job.key)),
            target: ArrivalTarget::Model("auto".into()),
            mode: job.mode,
            prompt_tokens: Tokens(job.prompt),
            max_tokens: Tokens(job.most),
            prefix: 0,
            fingerprint: job.luck,
            session: None,
            idempotency_key: None,
            deadline: None,
            source: ArrivalSource::Caller,
        }
    }

    fn report(&mut self, now: u64, request: u64, attempt: u64, report: AttemptReport) {
        let (request, attempt) = (RequestNumber(request), AttemptId(attempt));
        self.handle(now, Event::Attempt { request, attempt, report });
    }

    pub fn handle(&mut self, now: u64, event: Event) {
        for command in self.router.handle(Millis(now), event) {
            self.obey(now, command);
        }
    }

    fn obey(&mut self, now: u64, command: Command) {
        match command {
            Command::Start(start) => self.start(now, start),
            Command::Release { request, attempt } => self.release(now, request.0, attempt.0),
            Command::Cancel { request, attempt } => self.cancel(now, request.0, attempt.0),
            Command::Refuse { request, .. } => {
                self.results[request.0 as usize].refused = Some(now);
            }
            Command::Rate { request, attempt, version } => {
                let event = WorldEvent::Rated(request.0, attempt.0, version);
                self.at(now + Self::RATING_MS, event);
            }
            Command::ReadLoadReport { server, .. } => {
                self.at(now + Self::HOP_MS, WorldEvent::Loaded(server));
            }
            _ => {}
        }
    }

    fn start(&mut self, now: u64, start: AttemptStart) {
        let (request, attempt) = (start.request.0, start.attempt.0);
        let job = &self.jobs[request as usize];
        let WorkTarget::Version(id) = &start.target else { return };
        let entry = self.document.version(id).unwrap();
        let generate = job.output as f64 / entry.stream_rate.0 * 1_000.0;
        let prefill = entry.first_token_ms.0 as f64 * (1.0 + job.prompt as f64 / 10_000.0);
        let server_job = ServerJob {
            request,
            attempt,
            priority: start.priority,
            prefill_ms: prefill,
            generate_ms: generate,
        };
        let cost = entry.cost_of(Tokens(job.prompt), Tokens(job.output)).0;
        let result = &mut self.results[request as usize];
        result.hedged |= result.attempts > 0 && self.attempts.contains_key(&(request, attempt - 1));
        result.attempts += 1;
        let held = start.release == ReleaseMode::Hold;
        let server = start.server.clone();
        let running = RunningAttempt { start, cost, held, whole: false };
        self.attempts.insert((request, attempt), running);
        let started = self.servers.get_mut(&server).unwrap().take(now, server_job);
        self.schedule(&server, started);
    }

    fn schedule(&mut self, server: &ServerId, started: Option<StartedJob>) {
        let Some(StartedJob { job, head, end }) = started else { return };
        let is_stream = self.jobs[job.request as usize].mode == AnswerMode::Stream;
        // An engine sends the head of a whole answer with the answer.
        let head = if is_stream { head } else { end };
        self.at(head, WorldEvent::Head(server.clone(), job.request, job.attempt));
        self.at(end, WorldEvent::End(server.clone(), job.request, job.attempt));
    }

    fn note_head(&mut self, now: u64, request: u64, attempt: u64) {
        let Some(running) = self.attempts.get(&(request, attempt)) else { return };
        if !running.held {
            self.results[request as usize].first_token.get_or_insert(now);
        }
    }

    fn end(&mut self, now: u64, server: &ServerId, request: u64, attempt: u64) {
        if !self.servers[server].is_running(request, attempt) {
            return;
        }
        let next = self.servers.get_mut(server).unwrap().remove(now, request, attempt);
        self.schedule(server, next);
        let Some(running) = self.attempts.get_mut(&(request, attempt)) else { return };
        running.whole = true;
        self.results[request as usize].cost += running.cost;
        if !running.held {
            self.answered(now, request, attempt);
        }
        let job = &self.jobs[request as usize];
        let usage = TokenUsage { prompt: Tokens(job.prompt), output: Tokens(job.output) };
        let outcome = AttemptOutcome::Whole { status: 200, usage };
        self.report(now, request, attempt, AttemptReport::Ended(outcome));
    }

    fn answered(&mut self, now: u64, request: u64, attempt: u64) {
        let Some(running) = self.attempts.get(&(request, attempt)) else { return };
        let WorkTarget::Version(id) = &running.start.target else { return };
        let job = &self.jobs[request as usize];
        let result = &mut self.results[request as usize];
        result.end = Some(now);
        result.first_token.get_or_insert(now);
        result.good = (self.quality)(now, job, id);
        result.version = Some(id.clone());
    }

    fn release(&mut self, now: u64, request: u64, attempt: u64) {
        let Some(running) = self.attempts.get_mut(&(request, attempt)) else { return };
        running.held = false;
        if running.whole {
            self.answered(now, request, attempt);
        } else {
            self.results[request as usize].first_token.get_or_insert(now);
        }
    }

    fn cancel(&mut self, now: u64, request: u64, attempt: u64) {
        let Some(running) = self.attempts.remove(&(request, attempt)) else { return };
        // A cancelled attempt has used its prompt and about half of its answer.
        self.results[request as usize].cost += running.cost / 2.0;
        let server = running.start.server.clone();
        let next = self.servers.get_mut(&server).unwrap().remove(now, request, attempt);
        self.schedule(&server, next);
        self.at(now + Self::HOP_MS, WorldEvent::Cancelled(request, attempt));
    }

    fn rating(
        &mut self,
        now: u64,
        request: u64,
        version: &VersionId,
    ) -> Result<Share, PlatformError> {
        if self.rater_down.contains(&now) {
            return Err(PlatformError::Refused { address: "ratings".into(), status: 503 });
        }
        let good = (self.quality)(now, &self.jobs[request as usize], version);
        self.ratings.push((now, version.clone(), good));
        Ok(Share::new(if good { 0.9 } else { 0.1 }).unwrap())
    }

    fn note_history(&mut self, now: u64) {
        const KEPT: usize = 1_000;
        if !now.is_multiple_of(100) {
            return;
        }
        for (id, server) in &self.servers {
            let (running, waiting) = server.load();
            let history = self.history.entry(id.clone()).or_default();
            history.push_back((now, running, waiting));
            if history.len() > KEPT {
                history.pop_front();
            }
        }
    }

    fn loaded(&mut self, now: u64, server: ServerId) {
        let Some(history) = self.history.get(&server) else { return };
        let then = now.saturating_sub(self.report_lag_ms);
        let Some((at, running, waiting)) = history.iter().rev().find(|entry| entry.0 <= then)
        else {
            return;
        };
        let report = LoadReport {
            running: *running,
            waiting: *waiting,
            kv_free: 1.0,
            as_of_ms: Millis(*at),
            versions: None,
            leaving: false,
        };
        self.handle(now, Event::LoadReportRead { server, result: Ok(report) });
    }

    /// Returns the results of jobs that arrived in a time, with the jobs.
    pub fn arrived(&self, from: u64, to: u64) -> impl Iterator<Item = (&Job, &JobResult)> {
        self.jobs.iter().zip(&self.results).filter(move |(job, _)| (from..to).contains(&job.at))
    }

    /// Returns whether a job was answered within its team's deadline.
    pub fn in_time(&self, job: &Job, result: &JobResult) -> bool {
        let deadline = self.document.teams[&job.team.parse().unwrap()].deadline_ms.0;
        result.refused.is_none() && result.end.is_some_and(|end| end <= job.at + deadline)
    }
}
