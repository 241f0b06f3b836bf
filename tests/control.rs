//! Drives requests through the control core, without input or output.

use guavapass::{
    configuration::{ConfigurationChange, ConfigurationDocument, ConfigurationRecord, hash_key},
    control::*,
    ids::{AttemptId, Offset, RequestNumber, Revision},
    ports::{LogPage, LogRecord, MemberState, MembershipList, ServerMember, VmMember},
    routing::CheapestPolicy,
    units::{Millis, Tokens},
};

const DOCUMENT: &str = r#"{
    "schema": 1,
    "pools": {
        "planning": {
            "kind": "engine", "slots": 2, "long_slots": 1, "progress_timeout_ms": 5000
        }
    },
    "models": { "planner": { "stable": "1", "versions": {
        "1": {
            "pool": "planning", "cost_per_million_prompt_tokens": 1.0,
            "cost_per_million_output_tokens": 4.0, "prior_quality": 0.9,
            "first_token_ms": 100, "stream_rate": 50.0
        },
        "2": {
            "pool": "planning", "cost_per_million_prompt_tokens": 5.0,
            "cost_per_million_output_tokens": 20.0, "prior_quality": 0.95,
            "first_token_ms": 100, "stream_rate": 50.0, "state": "withdrawn"
        }
    } } },
    "teams": { "crews": {
        "keys": [{ "subscriber": "ana", "sha256": "KEY" }],
        "allowed": ["planner"], "quality_target": 0.85, "deadline_ms": 10000
    } },
    "presets": { "ordinary": {} },
    "preset": "ordinary"
}"#;

/// A core with one pool, one server and two versions, of which version 2 is withdrawn.
struct CoreHarness {
    control: Control,
    now: Millis,
}

impl CoreHarness {
    fn new() -> Self {
        let identity = VmIdentity {
            vm: "vm-1".parse().unwrap(),
            incarnation: guavapass::ids::Incarnation(1),
            data_centre: "norte".parse().unwrap(),
        };
        let control = Control::new(identity, Box::new(CheapestPolicy));
        Self { control, now: Millis(1) }
    }

    fn publish(&mut self) {
        self.publish_text(DOCUMENT);
    }

    fn publish_text(&mut self, text: &str) {
        self.publish_after(0, text);
    }

    /// Publishes a document as the successor of a revision.
    fn publish_after(&mut self, base: u64, text: &str) -> Vec<Command> {
        let text = text.replace("KEY", &hash_key("secret"));
        let document: ConfigurationDocument = serde_json::from_str(&text).unwrap();
        let record = ConfigurationRecord {
            schema: 1,
            publication: format!("after-{base}").into(),
            base: Revision(base),
            change: ConfigurationChange::Document(Box::new(document)),
        };
        let record = serde_json::to_vec(&record).unwrap().into();
        let records = vec![LogRecord { offset: Offset(base), record }];
        let page = LogPage { oldest: Offset(0), next: Offset(base + 1), records };
        let stream = "configuration".parse().unwrap();
        self.control.handle(self.now, Event::LogRead { stream, result: Ok(page) })
    }

    fn list_server(&mut self) {
        self.list_server_and_vms(Vec::new());
    }

    fn list_server_and_vms(&mut self, entry_vms: Vec<VmMember>) {
        let member = ServerMember {
            id: "engine-1".parse().unwrap(),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: "norte".parse().unwrap(),
            pool: "planning".parse().unwrap(),
            state: MemberState::Live,
        };
        let list = MembershipList { entry_vms, backend_servers: vec![member] };
        self.control.handle(self.now, Event::MembersRead(Ok(list)));
    }

    fn ask(&mut self, number: u64, key: &str, model: &str) -> Vec<Command> {
        self.ask_in(AnswerMode::Whole, number, key, model)
    }

    fn ask_in(&mut self, mode: AnswerMode, number: u64, key: &str, model: &str) -> Vec<Command> {
        let arrival = Arrival {
            request: RequestNumber(number),
            key: Some(hash_key(key)),
            target: ArrivalTarget::Model(model.into()),
            mode,
            prompt_tokens: Tokens(10),
            max_tokens: Tokens(10),
            prefix: 0,
            fingerprint: number,
            session: None,
            idempotency_key: None,
            deadline: None,
            source: ArrivalSource::Caller,
        };
        self.control.handle(self.now, Event::Arrived(arrival))
    }

    fn report(&mut self, number: u64, report: AttemptReport) -> Vec<Command> {
        let request = RequestNumber(number);
        let attempt = AttemptId(1);
        self.control.handle(self.now, Event::Attempt { request, attempt, report })
    }
}

fn started(commands: &[Command]) -> Option<&AttemptStart> {
    commands.iter().find_map(|command| match command {
        Command::Start(start) => Some(start),
        _ => None,
    })
}

fn refusal(commands: &[Command]) -> &Refusal {
    let refusal = commands.iter().find_map(|command| match command {
        Command::Refuse { refusal, .. } => Some(refusal),
        _ => None,
    });
    refusal.expect("a refusal is among the commands")
}

#[test]
fn arrival_starts_on_free_server() {
    let mut harness = CoreHarness::new();
    harness.publish();
    harness.list_server();
    let commands = harness.ask(1, "secret", "auto");
    assert_eq!(started(&commands).unwrap().target.to_string(), "planner@1");
}

#[test]
fn arrival_without_configuration() {
    let mut harness = CoreHarness::new();
    let commands = harness.ask(1, "secret", "auto");
    assert_eq!(refusal(&commands).code, RefusalCode::Unavailable);
    assert_eq!(refusal(&commands).run, RunState::NotRun);
}

#[test]
fn arrival_unknown_key() {
    let mut harness = CoreHarness::new();
    harness.publish();
    let commands = harness.ask(1, "guess", "auto");
    assert_eq!(refusal(&commands).code, RefusalCode::Unauthorised);
}

/// Returns [`DOCUMENT`] without keys, and without teams.
fn documents_without_keys() -> [String; 2] {
    let mut document: serde_json::Value = serde_json::from_str(DOCUMENT).unwrap();
    document["teams"]["crews"]["keys"] = serde_json::json!([]);
    let without_keys = document.to_string();
    document["teams"] = serde_json::json!({});
    [without_keys, document.to_string()]
}

// Guards against a callers' interface that opens, or ends, with the last key or team.
#[test]
fn arrival_after_last_key() {
    for text in documents_without_keys() {
        let mut harness = CoreHarness::new();
        harness.publish();
        harness.list_server();
        for number in 1..=3 {
            harness.ask(number, "secret", "auto");
        }
        harness.publish_after(1, &text);
        for (number, key) in [(4, "secret"), (5, "guess")] {
            let commands = harness.ask(number, key, "auto");
            assert_eq!(refusal(&commands).code, RefusalCode::Unauthorised, "{text}");
        }
        // The third request waits for a slot of one of the first two.
        let outcome = AttemptOutcome::Whole { status: 200, usage: TokenUsage::default() };
        let commands = harness.report(1, AttemptReport::Ended(outcome));
        assert!(started(&commands).is_none_or(|start| start.request == RequestNumber(3)));
    }
}

// Guards against a control thread that ends when the team of a waiting request is removed.
#[test]
fn queued_request_of_removed_team() {
    let mut harness = CoreHarness::new();
    harness.publish();
    harness.list_server();
    for number in 1..=3 {
        harness.ask(number, "secret", "auto");
    }
    // The third request waits with a plan for version 1, and needs a new plan.
    let [_, without_teams] = documents_without_keys();
    let mut document: serde_json::Value = serde_json::from_str(&without_teams).unwrap();
    document["models"]["planner"]["versions"]["1"]["state"] = "withdrawn".into();
    let mut commands = harness.publish_after(1, &document.to_string());
    let outcome = AttemptOutcome::Whole { status: 200, usage: TokenUsage::default() };
    commands.extend(harness.report(1, AttemptReport::Ended(outcome)));
    assert!(started(&commands).is_none());
    assert_eq!(refusal(&commands).code, RefusalCode::Forbidden);
}

#[test]
fn arrival_withdrawn_version() {
    let mut harness = CoreHarness::new();
    harness.publish();
    harness.list_server();
    let commands = harness.ask(1, "secret", "planner@2");
    assert_eq!(refusal(&commands).code, RefusalCode::Unavailable);
}

#[test]
fn queue_waits_for_slot() {
    let mut harness = CoreHarness::new();
    harness.publish();
    harness.list_server();
    harness.ask(1, "secret", "auto");
    harness.ask(2, "secret", "auto");
    assert!(started(&harness.ask(3, "secret", "auto")).is_none());
    let outcome = AttemptOutcome::Whole { status: 200, usage: TokenUsage::default() };
    let commands = harness.report(1, AttemptReport::Ended(outcome));
    assert_eq!(started(&commands).unwrap().request, RequestNumber(3));
}

/// A stream that broke after its head has run, and cannot be retried.
#[test]
fn failed_stream_reports_that_it_ran() {
    let mut harness = CoreHarness::new();
    harness.publish();
    harness.list_server();
    harness.ask_in(AnswerMode::Stream, 1, "secret", "auto");
    harness.report(1, AttemptReport::Writing);
    harness.report(1, AttemptReport::Head);
    let fault = AttemptFault::Truncated;
    let outcome = AttemptOutcome::Failed { fault, output_tokens: Tokens(3) };
    let commands = harness.report(1, AttemptReport::Ended(outcome));
    assert_eq!(refusal(&commands).run, RunState::Ran);
}

/// An answer sent as one body has not reached the caller when it breaks, so it can be retried.
#[test]
fn failed_whole_answer_is_retried() {
    let mut harness = CoreHarness::new();
    harness.publish();
    harness.list_server();
    harness.ask(1, "secret", "auto");
    harness.report(1, AttemptReport::Writing);
    harness.report(1, AttemptReport::Head);
    let fault = AttemptFault::Truncated;
    let outcome = AttemptOutcome::Failed { fault, output_tokens: Tokens(3) };
    let commands = harness.report(1, AttemptReport::Ended(outcome));
    assert!(commands.iter().all(|command| !matches!(command, Command::Refuse { .. })));
    assert_eq!(harness.control.status(harness.now).queued, 1);
}

/// A version is withdrawn while a request planned for it waits for a copy of its bill.
#[test]
fn withdrawal_while_bill_is_copied_plans_again() {
    let mut harness = CoreHarness::new();
    harness.publish_text(&DOCUMENT.replace(", \"state\": \"withdrawn\"", ""));
    harness.list_server_and_vms(vec![VmMember {
        id: "vm-2".parse().unwrap(),
        address: "127.0.0.1:8".parse().unwrap(),
        data_centre: "norte".parse().unwrap(),
        state: MemberState::Live,
    }]);
    assert!(started(&harness.ask(1, "secret", "auto")).is_none());
    harness.control.withdraw(harness.now, "planner@1".parse().unwrap(), 0, "poor answers");
    let mut commands = Vec::new();
    while started(&commands).is_none() && harness.now < Millis(2_000) {
        harness.now = harness.now + Millis(10);
        commands.extend(harness.control.handle(harness.now, Event::Tick));
    }
    assert_eq!(started(&commands).unwrap().target.to_string(), "planner@2");
}
