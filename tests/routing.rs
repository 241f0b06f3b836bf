//! Tests of quality-based routing: plans, estimates, cascades, roll-outs, the exchange of evidence
//! and the detection of bad versions.

use guavapass::{
    configuration::{ConfigurationDocument, VersionEntry, hash_key},
    control::{AnswerMode, WorkTarget},
    ids::{Incarnation, TeamId, VersionId},
    peer::PeerName,
    routing::*,
    units::{Millis, Share, Tokens},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const DOCUMENT: &str = r#"{
    "schema": 1,
    "pools": { "planning": {
        "kind": "engine", "slots": 4, "long_slots": 2, "progress_timeout_ms": 5000
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
        }
    } } },
    "teams": { "crews": {
        "keys": [{ "subscriber": "ana", "sha256": "KEY" }],
        "allowed": ["planner"], "quality_target": 0.9, "deadline_ms": 60000
    } },
    "presets": { "ordinary": {} },
    "preset": "ordinary"
}"#;

struct PolicyFixture {
    policy: QualityPolicy,
    document: ConfigurationDocument,
    now: Millis,
    requests: u64,
}

impl PolicyFixture {
    fn new(change: impl Fn(&mut ConfigurationDocument)) -> Self {
        let text = DOCUMENT.replace("KEY", &hash_key("secret"));
        let mut document: ConfigurationDocument = serde_json::from_str(&text).unwrap();
        change(&mut document);
        let mut policy = QualityPolicy::default();
        policy.configure(Millis(0), &document);
        Self { policy, document, now: Millis(0), requests: 0 }
    }

    fn plan(&mut self, mode: AnswerMode, deadline: u64) -> RoutePlan {
        self.requests += 1;
        let profile = RequestProfile {
            team: "crews".parse().unwrap(),
            subscriber: "ana".parse().unwrap(),
            class: SizeClass::Short,
            prompt_tokens: Tokens(100),
            expected_output: Tokens(100),
            mode,
            arrived: self.now,
            deadline: self.now + Millis(deadline),
            share_hash: self.requests.wrapping_mul(0x9E37_79B9_7F4A_7C15),
        };
        let candidates: Vec<VersionId> = self.document.versions().map(|(id, _)| id).collect();
        let view = RoutingView {
            document: &self.document,
            candidates: &candidates,
            ruled_out: &[],
            is_named: false,
            waits: &BTreeMap::new(),
        };
        self.policy.plan(self.now, &view, &profile).unwrap()
    }

    fn rate(&mut self, version: &str, good: bool) {
        let score = Share::new(if good { 0.9 } else { 0.1 }).unwrap();
        self.policy.rate(self.now, &evidence(version), score);
    }
}

fn evidence(version: &str) -> AnswerEvidence {
    AnswerEvidence {
        version: format!("planner@{version}").parse().unwrap(),
        generation: 0,
        team: "crews".parse().unwrap(),
        class: SizeClass::Short,
        source: RatingSource::First,
    }
}

fn versions(plan: &RoutePlan) -> Vec<String> {
    let name = |step: &PlanStep| match &step.target {
        WorkTarget::Version(id) => id.version.to_string(),
        WorkTarget::Service(id) => id.to_string(),
    };
    plan.steps.iter().map(name).collect()
}

#[test]
fn plan_whole_answer_by_cascade() {
    let mut fixture = PolicyFixture::new(|_| ());
    assert_eq!(versions(&fixture.plan(AnswerMode::Whole, 60_000)), ["cheap", "dear"]);
}

#[test]
fn plan_stream_on_one_version() {
    let mut fixture = PolicyFixture::new(|_| ());
    assert_eq!(versions(&fixture.plan(AnswerMode::Stream, 60_000)), ["dear"]);
}

#[test]
fn plan_without_time_for_second_step() {
    let mut fixture = PolicyFixture::new(|_| ());
    assert_eq!(versions(&fixture.plan(AnswerMode::Whole, 2_000)), ["dear"]);
}

#[test]
fn plan_without_rating_service() {
    let mut fixture = PolicyFixture::new(|_| ());
    (0..20).for_each(|_| fixture.policy.rating_failed(Millis(0)));
    assert_eq!(versions(&fixture.plan(AnswerMode::Whole, 60_000)), ["dear"]);
}

#[test]
fn ratings_change_the_plan_and_decay() {
    let mut fixture = PolicyFixture::new(|_| ());
    (0..3_000).for_each(|number| fixture.rate("cheap", number % 50 != 0));
    assert_eq!(versions(&fixture.plan(AnswerMode::Stream, 60_000)), ["cheap"]);
    // Without new ratings the estimate decays towards the prior of 0.8.
    fixture.now = Millis(10 * 24 * 3_600_000);
    let plans: Vec<_> =
        (0..200).map(|_| versions(&fixture.plan(AnswerMode::Stream, 60_000))).collect();
    assert!(plans[150..].iter().all(|plan| plan == &["dear"]));
}

#[test]
fn lower_estimates_average_to_the_target() {
    let mut surplus = QualitySurplus::default();
    let (mut sum, mut below) = (0.0, 0);
    for number in 0..10_000 {
        let target = surplus.target(0.9);
        let promise = if number % 2 == 0 { 0.96 } else { 0.88 };
        let lower = if promise >= target { promise } else { 0.93 };
        below += usize::from(lower < 0.9);
        surplus.record(lower, 0.9);
        sum += lower - 0.9;
    }
    assert!(sum >= -1.0, "{sum}");
    assert!(below > 1_000, "{below}");
}

fn rollout(document: &mut ConfigurationDocument, share: f64, cap: u64) {
    let model = document.models.get_mut(&"planner".parse().unwrap()).unwrap();
    let mut new: VersionEntry = model.versions["dear"].clone();
    new.prior_quality = Share::new(0.95).unwrap();
    model.versions.remove("cheap");
    model.versions.insert("new".into(), new);
    let plan = serde_json::json!({
        "to": "new", "stage": 0, "exposure_cap": cap,
        "stages": [{ "share": share, "min_ratings": 50 }, { "share": 1.0, "min_ratings": 50 }]
    });
    model.rollout = Some(serde_json::from_value(plan).unwrap());
}

#[test]
fn rollout_takes_its_share_and_advances() {
    let mut fixture = PolicyFixture::new(|document| rollout(document, 0.1, 1_000_000));
    let new = |fixture: &mut PolicyFixture| {
        let plans = (0..2_000).map(|_| versions(&fixture.plan(AnswerMode::Stream, 60_000)));
        plans.filter(|plan| plan == &["new"]).count()
    };
    let share = new(&mut fixture);
    assert!((150..=250).contains(&share), "{share} of 2,000");
    (0..50).for_each(|_| fixture.rate("new", true));
    assert_eq!(new(&mut fixture), 2_000);
}

#[test]
fn rollout_stops_at_exposure_cap() {
    let mut fixture = PolicyFixture::new(|document| rollout(document, 0.5, 20));
    let mut started = 0;
    for _ in 0..1_000 {
        if versions(&fixture.plan(AnswerMode::Stream, 60_000)) == ["new"] {
            started += 1;
            fixture.policy.started(Millis(0), &evidence("new"));
        }
    }
    assert_eq!(started, 20);
}

fn peer(name: &str, incarnation: u64) -> PeerName {
    PeerName { vm: name.parse().unwrap(), incarnation: Incarnation(incarnation) }
}

#[test]
fn guard_withdraws_version_on_evidence_of_all_vms() {
    let mut fixture = PolicyFixture::new(|_| ());
    let mut random = ChaCha8Rng::seed_from_u64(6);
    let mut books =
        [EvidenceCounters::default(), EvidenceCounters::default(), EvidenceCounters::default()];
    let mut withdrawal_proposals = Vec::new();
    let mut ratings = 0;
    while withdrawal_proposals.is_empty() {
        for (index, book) in books.iter_mut().enumerate() {
            let good = random.random::<f64>() < 0.5;
            let counts =
                EvidenceCounts { good: u64::from(good), poor: u64::from(!good), started: 1 };
            book.add(&evidence("dear"), counts);
            let digest = book.digest(64);
            let origin = peer(&format!("vm-{index}"), 1);
            fixture.policy.merge(Millis(0), &origin, &digest);
            // Merging the same digest twice must not count its ratings twice.
            fixture.policy.merge(Millis(0), &origin, &digest);
            ratings += 1;
        }
        withdrawal_proposals = fixture.policy.withdrawal_proposals();
        assert!(ratings < 100, "no verdict after {ratings} ratings");
    }
    assert_eq!(withdrawal_proposals[0].version.to_string(), "planner@dear");
}

#[test]
fn evidence_merges_by_origin_and_incarnation() {
    let mut book = EvidenceCounters::default();
    let entry = |good| EvidenceDigest {
        entries: vec![EvidenceEntry {
            evidence: evidence("dear"),
            counts: EvidenceCounts { good, poor: 0, started: good },
        }],
    };
    let dear: VersionId = "planner@dear".parse().unwrap();
    book.merge(&peer("vm-2", 1), &entry(5));
    book.merge(&peer("vm-2", 1), &entry(3));
    assert_eq!(book.ratings(&dear, 0), 5);
    book.merge(&peer("vm-2", 2), &entry(2));
    assert_eq!(book.ratings(&dear, 0), 7);
    book.merge(&peer("vm-2", 1), &entry(9));
    assert_eq!(book.ratings(&dear, 0), 7);
}

#[test]
fn errors_of_one_server_do_not_withdraw_version() {
    let mut monitor = VersionMonitor::default();
    let (broken, other) = ("engine-1".parse().unwrap(), "engine-2".parse().unwrap());
    assert!((0..200).all(|_| monitor.ended(&broken, true, 10).is_none()));
    let mut monitor = VersionMonitor::default();
    let found = (0..200).any(|number| {
        let server = if number % 2 == 0 { &broken } else { &other };
        monitor.ended(server, true, 2).is_some()
    });
    assert!(found);
}

#[test]
fn guard_raises_no_false_alarm_at_constant_quality() {
    let text = DOCUMENT.replace("KEY", &hash_key("secret"));
    let document: ConfigurationDocument = serde_json::from_str(&text).unwrap();
    let entry = document.version(&"planner@dear".parse().unwrap()).unwrap();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..20 {
        let mut monitor = VersionMonitor::default();
        for number in 0..5_000 {
            let now = Millis(number * 10_000);
            let good = random.random::<f64>() < 0.94;
            let news = EvidenceCounts { good: u64::from(good), poor: u64::from(!good), started: 0 };
            let baseline = monitor.baseline(now, SizeClass::Short, entry);
            assert_eq!(monitor.rated(now, SizeClass::Short, baseline, news), None);
        }
    }
}

#[test]
fn dissimilar_teams_use_their_own_ratings() {
    let text = DOCUMENT.replace("KEY", &hash_key("secret"));
    let document: ConfigurationDocument = serde_json::from_str(&text).unwrap();
    let entry = document.version(&"planner@cheap".parse().unwrap()).unwrap();
    let mut estimates = VersionEstimates::default();
    let teams: Vec<TeamId> = (0..4).map(|team| format!("team-{team}").parse().unwrap()).collect();
    for number in 0..400 {
        for (index, team) in teams.iter().enumerate() {
            let good = if index == 0 { number % 2 == 0 } else { number % 20 != 0 };
            let (good, poor) = (f64::from(u8::from(good)), f64::from(u8::from(!good)));
            estimates.observe(Millis(0), team, RatingSource::First, good, poor);
        }
    }
    let (hard, _) = estimates.first(Millis(0), entry, &teams[0]);
    let (easy, _) = estimates.first(Millis(0), entry, &teams[1]);
    assert!(hard < 0.6 && easy > 0.9, "{hard} {easy}");
}
