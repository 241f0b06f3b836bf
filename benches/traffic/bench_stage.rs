//! One platform, one engine and one entry VM.

use super::*;

pub struct BenchStage {
    pub engine: EngineStandIn,
    pub vm: EntryVm,
    _platform: PlatformStandIn,
}

const CONFIGURATION: &str = include_str!("../../tests/whole_path/configuration.jsonc");
const UNBOUNDED_SLOTS: u32 = 100_000;

impl BenchStage {
    pub fn start(runtime: &tokio::runtime::Runtime) -> Self {
        let platform = PlatformStandIn::start();
        let slots = UNBOUNDED_SLOTS as usize;
        let engine = EngineStandIn::start(EngineSetup { slots, ..EngineSetup::default() });
        platform.members().add_backend_server(ServerMember {
            id: "engine-1".parse().expect("a valid name"),
            address: engine.address(),
            data_centre: "norte".parse().expect("a valid name"),
            pool: "planning".parse().expect("a valid name"),
            state: MemberState::Live,
        });
        let vm = start_vm(platform.address());
        runtime.block_on(publish(&vm));
        Self { engine, vm, _platform: platform }
    }
}

fn start_vm(platform: SocketAddr) -> EntryVm {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = || ListenerSettings { listen: any, secret_files: Vec::new() };
    let settings = EntrySettings {
        vm: "vm-1".parse().expect("a valid name"),
        data_centre: "norte".parse().expect("a valid name"),
        callers: CallerSettings::at(any),
        operators: listener(),
        peers: listener(),
        seeds: Vec::new(),
        platform: PlatformSettings { address: platform },
        log: LogSettings::default(),
        metrics: None,
        shutdown: ShutdownSettings { balancer_lag_ms: Millis(0) },
    };
    let secret = || vec![Secret::new(b"a secret of the bench").expect("it is long enough")];
    EntryVm::start(&settings, secret(), secret()).expect("the entry VM starts")
}

/// Publishes a configuration that bounds nothing, and waits until the VM serves.
async fn publish(vm: &EntryVm) {
    let mut document: ConfigurationDocument =
        parse_document("configuration.jsonc", CONFIGURATION).expect("the configuration is valid");
    for pool in document.pools.values_mut() {
        pool.slots = UNBOUNDED_SLOTS;
        pool.long_slots = UNBOUNDED_SLOTS;
        pool.progress_timeout_ms = Millis(600_000);
    }
    let answer = vm.handle().ask(OperatorRequest::Publish {
        publication: "bench".into(),
        base: None,
        change: ConfigurationChange::Document(Box::new(document)),
        wait: Millis(30_000),
    });
    let accepted =
        matches!(answer.await, OperatorAnswer::Published(PublicationOutcome::Accepted(_)));
    assert!(accepted, "the configuration must be accepted");
    loop {
        let status = vm.handle().ask(OperatorRequest::Status).await;
        if matches!(status, OperatorAnswer::Status(status) if !status.servers.is_empty()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
