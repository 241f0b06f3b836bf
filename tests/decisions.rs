//! Drives requests through the core under random faults and checks its invariants, hedges, cascades
//! and replanning.

use guavapass::{
    configuration::{ConfigurationChange, ConfigurationDocument, ConfigurationRecord, hash_key},
    control::*,
    health::ServerState,
    ids::{AttemptId, Incarnation, Offset, RequestNumber, Revision, ServerId, VersionId},
    ports::{LogPage, LogRecord, MemberState, MembershipList, PlatformError, ServerMember},
    routing::QualityPolicy,
    units::{Millis, Share, Tokens},
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::collections::{BTreeMap, BTreeSet};

const DOCUMENT: &str = r#"{
    "schema": 1,
    "pools": { "planning": {
        "kind": "engine", "slots": 2, "long_slots": 1, "progress_timeout_ms": 5000
    } },
    "models": { "planner": { "stable": "dear", "versions": {
        "cheap": {
            "pool": "planning", "cost_per_million_prompt_tokens": 1.0,
            "cost_per_million_output_tokens": 1.0, "prior_quality": 0.8, "prior_weight": 500,
            "first_token_ms": 100, "stream_rate": 100.0
        },
        "dear": {
            "pool": "planning", "cost_per_million_prompt_tokens": 10.0,
            "cost_per_million_output_tokens": 10.0, "prior_quality": 0.95, "prior_weight": 500,
            "first_token_ms": 100, "stream_rate": 100.0
        },
        "secret": {
            "pool": "planning", "cost_per_million_prompt_tokens": 0.1,
            "cost_per_million_output_tokens": 0.1, "prior_quality": 0.99, "prior_weight": 500,
            "first_token_ms": 100, "stream_rate": 100.0
        }
    } } },
    "teams": { "crews": {
        "keys": [{ "subscriber": "ana", "sha256": "KEY" }],
        "allowed": ["planner@cheap", "planner@dear"], "quality_target": 0.9, "deadline_ms": 60000
    } },
    "presets": {
        "ordinary": {}, "strict": { "quality_offset": 0.04 }, "lax": { "quality_offset": -0.2 }
    },
    "preset": "ordinary"
}"#;
const SERVERS: usize = 3;

fn server(index: usize) -> ServerId {
    format!("engine-{index}").parse().unwrap()
}

/// A core, the attempts and ratings it has requested, and the answers its callers got. Requests and
/// attempts are named by their numbers.
struct DecisionHarness {
    control: Control,
    now: u64,
    revision: u64,
    requests: u64,
    running: BTreeMap<(u64, u64), AttemptStart>,
    whole: BTreeSet<(u64, u64)>,
    rated: Vec<(u64, u64)>,
    answers: BTreeMap<u64, u64>,
    refused: BTreeSet<u64>,
    starts: Vec<AttemptStart>,
    leaving: BTreeSet<ServerId>,
    withdrawn: BTreeSet<VersionId>,
}

impl DecisionHarness {
    fn new() -> Self {
        let identity = VmIdentity {
            vm: "vm-1".parse().unwrap(),
            incarnation: Incarnation(1),
            data_centre: "norte".parse().unwrap(),
        };
        let mut harness = Self {
            control: Control::new(identity, Box::<QualityPolicy>::default()),
            now: 1,
            revision: 0,
            requests: 0,
            running: BTreeMap::new(),
            whole: BTreeSet::new(),
            rated: Vec::new(),
            answers: BTreeMap::new(),
            refused: BTreeSet::new(),
            starts: Vec::new(),
            leaving: BTreeSet::new(),
            withdrawn: BTreeSet::new(),
        };
        let text = DOCUMENT.replace("KEY", &hash_key("secret"));
        let document: ConfigurationDocument = serde_json::from_str(&text).unwrap();
        harness.publish(ConfigurationChange::Document(Box::new(document)));
        harness.list();
        harness
    }

    fn publish(&mut self, change: ConfigurationChange) {
        let base = Revision(self.revision);
        let publication = format!("change-{base}").into();
        let record = ConfigurationRecord { schema: 1, publication, base, change };
        let record = serde_json::to_vec(&record).unwrap().into();
        let offset = Offset(self.revision);
        self.revision += 1;
        let records = vec![LogRecord { offset, record }];
        let page = LogPage { oldest: Offset(0), next: Offset(self.revision), records };
        let stream = "configuration".parse().unwrap();
        self.handle(Event::LogRead { stream, result: Ok(page) });
    }

    fn list(&mut self) {
        let members = (0..SERVERS).map(|index| ServerMember {
            id: server(index),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: "norte".parse().unwrap(),
            pool: "planning".parse().unwrap(),
            state: if self.leaving.contains(&server(index)) {
                MemberState::Leaving
            } else {
                MemberState::Live
            },
        });
        let list = MembershipList { entry_vms: Vec::new(), backend_servers: members.collect() };
        self.handle(Event::MembersRead(Ok(list)));
    }

    fn ask(&mut self, mode: AnswerMode) -> u64 {
        self.requests += 1;
        self.handle(Event::Arrived(Arrival {
            request: RequestNumber(self.requests),
            key: Some(hash_key("secret")),
            target: ArrivalTarget::Model("auto".into()),
            mode,
            prompt_tokens: Tokens(10),
            max_tokens: Tokens(50),
            prefix: 0,
            fingerprint: self.requests,
            session: None,
            idempotency_key: None,
            deadline: None,
            source: ArrivalSource::Caller,
        }));
        self.requests
    }

    /// Advances the time by `time` milliseconds, with a tick every 10.
    fn advance(&mut self, time: u64) {
        let until = self.now + time;
        while self.now < until {
            self.now = (self.now + 10).min(until);
            self.handle(Event::Tick);
        }
    }

    fn handle(&mut self, event: Event) {
        for command in self.control.handle(Millis(self.now), event) {
            self.apply(command);
        }
    }

    /// Carries out a command, and checks that it breaks no invariant.
    fn apply(&mut self, command: Command) {
        match command {
            Command::Start(start) => {
                assert!(!self.leaving.contains(&start.server), "start on a leaving server");
                let WorkTarget::Version(version) = &start.target else { panic!("not a version") };
                assert_ne!(version.version, "secret", "start on a version that is not allowed");
                assert!(!self.withdrawn.contains(version), "start on a withdrawn version");
                let others =
                    self.running.iter().filter(|((request, _), _)| *request == start.request.0);
                let is_apart =
                    others.map(|(_, other)| &other.server).all(|other| *other != start.server);
                assert!(is_apart, "two attempts of a request on one server");
                let key = (start.request.0, start.attempt.0);
                assert!(!self.is_over(key.0), "start after the final answer");
                if start.release == ReleaseMode::Immediate {
                    self.release(key);
                }
                self.starts.push(start.clone());
                self.running.insert(key, start);
            }
            Command::Release { request, attempt } => self.release((request.0, attempt.0)),
            Command::Cancel { request, attempt } => {
                let key = (request.0, attempt.0);
                if self.running.remove(&key).is_some() {
                    self.fail(key, AttemptFault::Cancelled);
                }
            }
            Command::Refuse { request, refusal } => {
                assert!(self.refused.insert(request.0), "two refusals");
                let started = self.starts.iter().any(|start| start.request == request);
                if refusal.run == RunState::NotRun {
                    let whole = self.whole.iter().any(|(whole, _)| *whole == request.0);
                    assert!(!whole, "not-run after a whole answer");
                } else {
                    assert!(started, "run state without a started attempt");
                }
            }
            Command::Rate { request, attempt, .. } => self.rated.push((request.0, attempt.0)),
            _ => {}
        }
    }

    fn release(&mut self, (request, attempt): (u64, u64)) {
        assert!(!self.refused.contains(&request), "release after a refusal");
        if let Some(before) = self.answers.insert(request, attempt) {
            let has_failed = !self.running.contains_key(&(request, before))
                && !self.whole.contains(&(request, before));
            assert!(has_failed, "two answers to one request");
        }
    }

    fn is_over(&self, request: u64) -> bool {
        let answered = self
            .answers
            .get(&request)
            .is_some_and(|attempt| self.whole.contains(&(request, *attempt)));
        answered || self.refused.contains(&request)
    }

    fn report(&mut self, key: (u64, u64), report: AttemptReport) {
        let (request, attempt) = (RequestNumber(key.0), AttemptId(key.1));
        self.handle(Event::Attempt { request, attempt, report });
    }

    fn fail(&mut self, key: (u64, u64), fault: AttemptFault) {
        let outcome = AttemptOutcome::Failed { fault, output_tokens: Tokens(0) };
        self.report(key, AttemptReport::Ended(outcome));
    }

    fn head(&mut self, key: (u64, u64)) {
        self.report(key, AttemptReport::Writing);
        self.report(key, AttemptReport::Head);
    }

    /// Ends an attempt with a whole answer of status 200.
    fn end(&mut self, key: (u64, u64)) {
        self.head(key);
        if self.running.remove(&key).is_some() {
            self.whole.insert(key);
            let usage = TokenUsage { prompt: Tokens(10), output: Tokens(50) };
            let outcome = AttemptOutcome::Whole { status: 200, usage };
            self.report(key, AttemptReport::Ended(outcome));
        }
    }

    fn rate(&mut self, (request, attempt): (u64, u64), score: Option<f64>) {
        let refused = PlatformError::Refused { address: "ratings".into(), status: 503 };
        let result = score.map(|score| Share::new(score).unwrap()).ok_or(refused);
        let (request, attempt) = (RequestNumber(request), AttemptId(attempt));
        self.handle(Event::Rated { request, attempt, result });
    }

    fn withdraw(&mut self, name: &str) {
        let version: VersionId = format!("planner@{name}").parse().unwrap();
        self.withdrawn.insert(version.clone());
        self.control.withdraw(Millis(self.now), version, 0, "a test");
        self.handle(Event::Tick);
    }

    /// Returns the attempt that was started last.
    fn last_start(&self) -> (u64, u64) {
        let start = self.starts.last().unwrap();
        (start.request.0, start.attempt.0)
    }
}

#[test]
fn cascade_good_answer_is_released() {
    let mut harness = DecisionHarness::new();
    let request = harness.ask(AnswerMode::Whole);
    let first = harness.last_start();
    harness.end(first);
    assert!(harness.answers.is_empty());
    harness.rate(first, Some(0.9));
    assert_eq!(harness.answers[&request], 1);
    assert_eq!(harness.control.status(Millis(harness.now)).requests, 0);
}

#[test]
fn cascade_poor_answer_is_replaced() {
    let mut harness = DecisionHarness::new();
    let request = harness.ask(AnswerMode::Whole);
    let first = harness.last_start();
    harness.end(first);
    harness.rate(first, Some(0.1));
    let second = harness.last_start();
    assert_eq!(harness.starts.last().unwrap().target.to_string(), "planner@dear");
    harness.end(second);
    assert_eq!(harness.answers[&request], second.1);
}

#[test]
fn cascade_poor_answer_without_better_one() {
    let mut harness = DecisionHarness::new();
    let request = harness.ask(AnswerMode::Whole);
    let first = harness.last_start();
    harness.end(first);
    harness.withdraw("dear");
    harness.rate(first, Some(0.1));
    assert_eq!(harness.answers[&request], 1);
    assert!(harness.refused.is_empty());
}

#[test]
fn cascade_without_rating() {
    let mut harness = DecisionHarness::new();
    let request = harness.ask(AnswerMode::Whole);
    let first = harness.last_start();
    harness.end(first);
    harness.advance(2_000);
    assert_eq!(harness.answers[&request], 1);
}

#[test]
fn hedge_first_head_wins() {
    let mut harness = DecisionHarness::new();
    let request = harness.ask(AnswerMode::Stream);
    harness.advance(1_000);
    assert_eq!(harness.starts.len(), 2);
    assert_ne!(harness.starts[0].server, harness.starts[1].server);
    harness.head((request, 2));
    assert_eq!(harness.answers[&request], 2);
    assert!(!harness.running.contains_key(&(request, 1)));
    harness.end((request, 2));
    assert_eq!(harness.control.status(Millis(harness.now)).requests, 0);
}

#[test]
fn hedge_survives_failure_of_first() {
    let mut harness = DecisionHarness::new();
    let request = harness.ask(AnswerMode::Stream);
    harness.advance(1_000);
    harness.running.remove(&(request, 1));
    harness.fail((request, 1), AttemptFault::Closed);
    assert!(harness.refused.is_empty());
    harness.end((request, 2));
    assert_eq!(harness.answers[&request], 2);
}

/// Six streams fill all slots on the dear version. A preset with a lower quality target then lets
/// the queued request start on the cheap one.
#[test]
fn preset_change_replans_queued_requests() {
    let mut harness = DecisionHarness::new();
    (0..6).for_each(|_| {
        harness.ask(AnswerMode::Stream);
    });
    let queued = harness.ask(AnswerMode::Stream);
    assert!(harness.starts.iter().all(|start| start.target.to_string() == "planner@dear"));
    harness.publish(ConfigurationChange::Preset("lax".parse().unwrap()));
    let first = (harness.starts[0].request.0, 1);
    harness.end(first);
    let start = harness.starts.last().unwrap();
    assert_eq!((start.request.0, start.target.to_string().as_str()), (queued, "planner@cheap"));
}

#[derive(Clone, Debug)]
enum RandomStep {
    Ask { whole: bool },
    Advance { time: u16 },
    Head { index: u8 },
    End { index: u8 },
    Fail { index: u8, fault: u8 },
    Rate { index: u8, score: u8 },
    Leave { index: u8 },
    Withdraw,
    Preset { index: u8 },
    CallerGone { index: u8 },
}

fn random_steps() -> impl Strategy<Value = Vec<RandomStep>> {
    let step = prop_oneof![
        6 => any::<bool>().prop_map(|whole| RandomStep::Ask { whole }),
        4 => (1..2_000u16).prop_map(|time| RandomStep::Advance { time }),
        4 => any::<u8>().prop_map(|index| RandomStep::Head { index }),
        6 => any::<u8>().prop_map(|index| RandomStep::End { index }),
        3 => (any::<u8>(), 0..6u8).prop_map(|(index, fault)| RandomStep::Fail { index, fault }),
        5 => (any::<u8>(), 0..3u8).prop_map(|(index, score)| RandomStep::Rate { index, score }),
        1 => (0..2u8).prop_map(|index| RandomStep::Leave { index }),
        1 => Just(RandomStep::Withdraw),
        1 => (0..3u8).prop_map(|index| RandomStep::Preset { index }),
        1 => any::<u8>().prop_map(|index| RandomStep::CallerGone { index }),
    ];
    proptest::collection::vec(step, 1..120)
}

fn pick<T: Clone>(items: impl Iterator<Item = T>, index: u8) -> Option<T> {
    let items: Vec<T> = items.collect();
    if items.is_empty() { None } else { items.get(usize::from(index) % items.len()).cloned() }
}

fn apply_step(harness: &mut DecisionHarness, callers_gone: &mut BTreeSet<u64>, step: &RandomStep) {
    const FAULTS: [AttemptFault; 6] = [
        AttemptFault::Unreachable,
        AttemptFault::Declined,
        AttemptFault::Closed,
        AttemptFault::Silent,
        AttemptFault::Truncated,
        AttemptFault::ServerError,
    ];
    match step {
        RandomStep::Ask { whole } => {
            harness.ask(if *whole { AnswerMode::Whole } else { AnswerMode::Stream });
        }
        RandomStep::Advance { time } => harness.advance(u64::from(*time)),
        RandomStep::Head { index } => {
            if let Some(key) = pick(harness.running.keys().copied(), *index) {
                harness.head(key);
            }
        }
        RandomStep::End { index } => {
            if let Some(key) = pick(harness.running.keys().copied(), *index) {
                harness.end(key);
            }
        }
        RandomStep::Fail { index, fault } => {
            if let Some(key) = pick(harness.running.keys().copied(), *index) {
                harness.running.remove(&key);
                harness.fail(key, FAULTS[usize::from(*fault)]);
            }
        }
        RandomStep::Rate { index, score } => {
            if let Some(key) = pick(harness.rated.iter().copied(), *index) {
                let score = [None, Some(0.1), Some(0.9)][usize::from(*score)];
                harness.rate(key, score);
            }
        }
        RandomStep::Leave { index } => {
            harness.leaving.insert(server(usize::from(*index)));
            harness.list();
        }
        RandomStep::Withdraw => harness.withdraw("cheap"),
        RandomStep::Preset { index } => {
            let name = ["ordinary", "strict", "lax"][usize::from(*index)];
            harness.publish(ConfigurationChange::Preset(name.parse().unwrap()));
        }
        RandomStep::CallerGone { index } => {
            let open = (1..=harness.requests).filter(|request| !harness.is_over(*request));
            if let Some(request) = pick(open, *index) {
                callers_gone.insert(request);
                harness.handle(Event::CallerGone { request: RequestNumber(request) });
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        cases: 64,
        ..ProptestConfig::default()
    })]

    /// Under any order of events and faults: no attempt starts where it is not allowed, no request
    /// gets two answers, each gets one in the end, and the core keeps no state of finished
    /// requests.
    #[test]
    fn invariants_hold_under_random_faults(steps in random_steps()) {
        let mut harness = DecisionHarness::new();
        let mut callers_gone = BTreeSet::new();
        for step in &steps {
            apply_step(&mut harness, &mut callers_gone, step);
        }
        for _ in 0..200 {
            for key in harness.running.keys().copied().collect::<Vec<_>>() {
                harness.end(key);
            }
            for key in std::mem::take(&mut harness.rated) {
                harness.rate(key, Some(0.9));
            }
            harness.advance(500);
        }
        for request in 1..=harness.requests {
            prop_assert!(callers_gone.contains(&request) || harness.is_over(request), "request {request}");
        }
        prop_assert_eq!(harness.control.status(Millis(harness.now)).requests, 0);
        let busy: u32 = harness.control.servers().iter().map(ServerState::in_flight).sum();
        prop_assert_eq!(busy, 0);
    }
}
