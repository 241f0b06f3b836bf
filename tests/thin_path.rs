//! The whole path over real sockets: platform, engine, booking service, entry VM and caller.

use guavapass::{
    configuration::{ConfigurationChange, ConfigurationDocument, PublicationOutcome, hash_key},
    control::{OperatorAnswer, OperatorRequest},
    document::parse_document,
    driver::EntryVm,
    platform::{MemberState, ServerMember},
    settings::{
        CallerSettings, EntrySettings, ListenerSettings, LogSettings, PlatformSettings, Secret,
        ShutdownSettings,
    },
    stand_in::{
        BookingStandIn, CallRequest, CallerStandIn, EngineSetup, EngineStandIn, PlatformStandIn,
    },
    units::Millis,
};
use std::{net::SocketAddr, time::Duration};

const CONFIGURATION: &str = r#"{
    "schema": 1,
    "pools": {
        "planning": { "kind": "engine", "slots": 4, "long_slots": 2, "progress_timeout_ms": 3600000 },
        "booking": { "kind": "service", "slots": 8, "long_slots": 8, "progress_timeout_ms": 5000 }
    },
    "models": { "planner": { "stable": "1", "versions": { "1": {
        "pool": "planning", "cost_per_million_prompt_tokens": 1.0,
        "cost_per_million_output_tokens": 4.0, "prior_quality": 0.9,
        "first_token_ms": 100, "stream_rate": 50.0
    } } } },
    "services": { "booking": {
        "pool": "booking", "repeatable": false, "cost_per_call": 0.1, "expected_ms": 20
    } },
    "teams": { "crews": {
        "keys": [{ "subscriber": "ana", "sha256": "KEY" }],
        "allowed": ["planner"], "services": ["booking"],
        "quality_target": 0.85, "deadline_ms": 3600000
    } },
    "presets": { "ordinary": {} },
    "preset": "ordinary"
}"#;

struct PathBench {
    platform: PlatformStandIn,
    engine: EngineStandIn,
    booking: BookingStandIn,
    vm: EntryVm,
    runtime: tokio::runtime::Runtime,
}

impl PathBench {
    fn start() -> Self {
        Self::with_engine(EngineSetup::default())
    }

    fn with_engine(setup: EngineSetup) -> Self {
        let platform = PlatformStandIn::start();
        let engine = EngineStandIn::start(setup);
        let booking = BookingStandIn::start(Duration::from_millis(5));
        let members = platform.members();
        members.add_backend_server(member("engine-1", "planning", engine.address()));
        members.add_backend_server(member("booking-1", "booking", booking.address()));
        let secret = || vec![Secret::new(b"a secret of the operators").unwrap()];
        let settings = settings(platform.address());
        let vm = EntryVm::start(&settings, secret(), secret()).unwrap();
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let bench = Self { platform, engine, booking, vm, runtime };
        bench.publish();
        bench.wait_for_servers();
        bench
    }

    fn ask(&self, request: OperatorRequest) -> OperatorAnswer {
        self.runtime.block_on(self.vm.handle().ask(request))
    }

    fn publish(&self) {
        let text = CONFIGURATION.replace("KEY", &hash_key("ana-key"));
        let document: ConfigurationDocument = parse_document("inline", &text).unwrap();
        let answer = self.ask(OperatorRequest::Publish {
            publication: "first".into(),
            base: None,
            change: ConfigurationChange::Document(Box::new(document)),
            wait: Millis(30_000),
        });
        let accepted = matches!(answer, OperatorAnswer::Published(PublicationOutcome::Accepted(_)));
        assert!(accepted, "the publication must be accepted: {answer:?}");
    }

    fn wait_for_servers(&self) {
        loop {
            let answer = self.ask(OperatorRequest::Status);
            if matches!(answer, OperatorAnswer::Status(status) if status.servers.len() == 2) {
                return;
            }
            std::thread::yield_now();
        }
    }

    fn call(&self, call: &CallRequest) -> guavapass::stand_in::CallOutcome {
        let caller = CallerStandIn::new(self.vm.callers);
        self.runtime.block_on(caller.send(call))
    }
}

fn member(id: &str, pool: &str, address: SocketAddr) -> ServerMember {
    ServerMember {
        id: id.parse().unwrap(),
        address,
        data_centre: "norte".parse().unwrap(),
        pool: pool.parse().unwrap(),
        state: MemberState::Live,
    }
}

fn settings(platform: SocketAddr) -> EntrySettings {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let listener = || ListenerSettings { listen: any, secret_files: Vec::new() };
    EntrySettings {
        vm: "vm-1".parse().unwrap(),
        data_centre: "norte".parse().unwrap(),
        callers: CallerSettings::at(any),
        operators: listener(),
        peers: listener(),
        platform: PlatformSettings { address: platform },
        seeds: Vec::new(),
        log: LogSettings::default(),
        metrics: None,
        shutdown: ShutdownSettings::default(),
    }
}

#[test]
fn chat_whole_answer() {
    let bench = PathBench::start();
    let outcome = bench.call(&CallRequest::chat("auto", "how many racks?").key("ana-key"));
    assert_eq!(outcome.status, Some(200), "{outcome:?}");
    assert_eq!(outcome.header("guavapass-version"), Some("planner@1"));
    assert!(outcome.text().contains("how many racks?"), "{outcome:?}");
}

#[test]
fn chat_stream_is_whole() {
    let bench = PathBench::start();
    let call = CallRequest::chat("planner", "list the anchors").key("ana-key").stream();
    let outcome = bench.call(&call);
    assert!(outcome.is_whole(), "{outcome:?}");
    assert!(outcome.text().contains("list the anchors"), "{outcome:?}");
}

#[test]
fn booking_runs_once() {
    let bench = PathBench::start();
    let body = serde_json::json!({ "booking": "b-1" });
    let call = CallRequest::new(http::Method::POST, "/services/booking/bookings", body);
    let key = uuid::Uuid::now_v7().to_string();
    let outcome = bench.call(&call.key("ana-key").header("idempotency-key", &key));
    assert_eq!(outcome.status, Some(200), "{outcome:?}");
    assert_eq!(bench.booking.bookings().runs("b-1"), 1);
}

#[test]
fn key_unknown_is_refused() {
    let bench = PathBench::start();
    let outcome = bench.call(&CallRequest::chat("auto", "hello").key("guess"));
    assert_eq!(outcome.status, Some(401));
    assert_eq!(outcome.header("guavapass-run"), Some("not-run"));
    drop(bench.platform);
}

/// Waits until a count is reached.
fn wait_for(count: impl Fn() -> u64, expected: u64) {
    const TRIES: u32 = 3_000;
    for _ in 0..TRIES {
        if count() == expected {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("the count is {}, not {expected}", count());
}

#[test]
fn caller_gone_cancels_upstream() {
    let setup = EngineSetup { first_token: Duration::from_hours(1), ..EngineSetup::default() };
    let bench = PathBench::with_engine(setup);
    let body = r#"{"model":"auto","messages":[{"role":"user","content":"hello"}]}"#;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer ana-key\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut caller = std::net::TcpStream::connect(bench.vm.callers).unwrap();
    std::io::Write::write_all(&mut caller, request.as_bytes()).unwrap();
    wait_for(|| bench.engine.runs().started(), 1);
    drop(caller);
    wait_for(|| bench.engine.runs().cancelled(), 1);
}
