//! The time of one decision at the size of the target.

use crate::{router, stats};
use guavapass::{
    configuration::{ConfigurationDocument, hash_key},
    control::{
        AnswerMode, Arrival, ArrivalSource, ArrivalTarget, AttemptOutcome, AttemptReport, Command,
        Control, Event, TokenUsage,
    },
    ids::{AttemptId, PoolId, RequestNumber},
    units::{Millis, Tokens},
};
use std::{collections::VecDeque, time::Instant};

const SERVERS: usize = 690;
const VERSIONS: usize = 18;
const TEAMS: usize = 200;
const QUEUED: usize = 10_000;
const POOLS: usize = 6;
const DECISIONS: usize = 40_000;

fn document() -> ConfigurationDocument {
    let pools: serde_json::Map<_, _> = (0..POOLS)
        .map(|index| {
            let pool = serde_json::json!({
                "kind": "engine", "slots": 8, "long_slots": 5, "progress_timeout_ms": 10_000
            });
            (format!("pool-{index}"), pool)
        })
        .collect();
    let models: serde_json::Map<_, _> = (0..VERSIONS / 2)
        .map(|index| {
            let version = |cost: f64| {
                serde_json::json!({
                    "pool": format!("pool-{}", index % POOLS), "prior_quality": 0.8 + 0.01 * index as f64,
                    "cost_per_million_prompt_tokens": cost, "cost_per_million_output_tokens": 4.0 * cost,
                    "first_token_ms": 100, "stream_rate": 60.0, "prior_weight": 200
                })
            };
            let cost = 0.2 * (index + 1) as f64;
            let model = serde_json::json!({
                "stable": "1", "versions": { "1": version(cost), "2": version(cost * 1.1) }
            });
            (format!("model-{index}"), model)
        })
        .collect();
    let allowed: Vec<&String> = models.keys().collect();
    let teams: serde_json::Map<_, _> = (0..TEAMS)
        .map(|index| {
            let keys: Vec<_> = (0..5)
                .map(|key| {
                    serde_json::json!({
                        "subscriber": format!("subscriber-{key}"),
                        "sha256": hash_key(&format!("{index}-{key}"))
                    })
                })
                .collect();
            let target = 0.75 + 0.1 * (index % 10) as f64 / 10.0;
            let team = serde_json::json!({
                "keys": keys, "allowed": allowed, "quality_target": target, "deadline_ms": 10_000_000
            });
            (format!("team-{index}"), team)
        })
        .collect();
    serde_json::from_value(serde_json::json!({
        "schema": 1, "pools": pools, "models": models, "teams": teams,
        "presets": { "ordinary": { "queue_limit": 2 * QUEUED, "short_wait_ms": 10_000_000 } },
        "preset": "ordinary"
    }))
    .unwrap()
}

struct DecisionBench {
    control: Control,
    running: VecDeque<(RequestNumber, AttemptId)>,
    number: u64,
    queued: usize,
}

impl DecisionBench {
    fn new() -> Self {
        let document = document();
        let mut control = router::shipping(&document);
        let mut members = Vec::new();
        for index in 0..POOLS {
            let pool: PoolId = format!("pool-{index}").parse().unwrap();
            members.extend(router::members(&pool, SERVERS / POOLS));
        }
        control.handle(Millis(1), router::listed(members));
        Self { control, running: VecDeque::new(), number: 0, queued: 0 }
    }

    fn handle(&mut self, event: Event) -> f64 {
        let start = Instant::now();
        let commands = self.control.handle(Millis(2), event);
        let took = start.elapsed().as_nanos() as f64 / 1_000.0;
        for command in commands {
            match command {
                Command::Start(start) => {
                    self.running.push_back((start.request, start.attempt));
                    self.queued = self.queued.saturating_sub(1);
                }
                Command::Refuse { refusal, .. } => panic!("{refusal:?}"),
                _ => {}
            }
        }
        took
    }

    fn arrive(&mut self) -> f64 {
        self.number += 1;
        self.queued += 1;
        let (team, key) = (self.number % TEAMS as u64, self.number % 5);
        let is_long = self.number.is_multiple_of(20);
        let arrival = Arrival {
            request: RequestNumber(self.number),
            key: Some(hash_key(&format!("{team}-{key}"))),
            target: ArrivalTarget::Model("auto".into()),
            mode: if self.number.is_multiple_of(2) {
                AnswerMode::Whole
            } else {
                AnswerMode::Stream
            },
            prompt_tokens: Tokens(if is_long { 8_000 } else { 600 }),
            max_tokens: Tokens(200),
            prefix: self.number.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            fingerprint: self.number,
            session: None,
            idempotency_key: None,
            deadline: None,
            source: ArrivalSource::Caller,
        };
        self.handle(Event::Arrived(arrival))
    }

    fn end(&mut self) -> Option<f64> {
        let (request, attempt) = self.running.pop_front()?;
        let usage = TokenUsage { prompt: Tokens(600), output: Tokens(150) };
        let outcome = AttemptOutcome::Whole { status: 200, usage };
        let report = AttemptReport::Ended(outcome);
        Some(self.handle(Event::Attempt { request, attempt, report }))
    }
}

pub fn run() {
    stats::head("One decision at 690 servers, 18 versions, 200 teams, 10,000 queued");
    let mut bench = DecisionBench::new();
    while bench.queued < QUEUED {
        bench.arrive();
    }
    let (mut arrivals, mut ends) = (vec![], vec![]);
    for _ in 0..DECISIONS {
        arrivals.push(bench.arrive());
        ends.extend(bench.end());
    }
    let queued = bench.control.status(Millis(3)).queued;
    for (what, samples) in [("arrival", &arrivals), ("end and next start", &ends)] {
        let found = |share| format!("{:.1} µs", stats::quantile(samples, share));
        stats::line(&format!("{what}, median"), "target size", &found(0.5), "≤ 20 µs");
        stats::line(&format!("{what}, p99"), "target size", &found(0.99), "≤ 200 µs");
    }
    stats::line("queued at the end", "target size", &queued.to_string(), "≥ 10,000");
}
