//! A test cluster: entry VMs, the platform and backend servers in one process, over real sockets.

use super::*;

const CONFIGURATION: &str = include_str!("configuration.jsonc");
const OPERATOR_SECRET: &str = "the operators' secret";
const PEER_SECRET: &str = "the secret of peers";
const STEP_LIMIT: Duration = Duration::from_secs(20);

pub struct TestCluster {
    runtime: tokio::runtime::Runtime,
    platform: PlatformStandIn,
    pub engines: Vec<EngineStandIn>,
    pub bookings: Vec<BookingStandIn>,
    other_servers: usize,
    pub vms: Vec<EntryVm>,
    body_limit: u64,
    body_timeout: u64,
}

impl TestCluster {
    pub fn new() -> Self {
        let mut runtime = tokio::runtime::Builder::new_multi_thread();
        Self {
            runtime: runtime.worker_threads(2).enable_all().build().unwrap(),
            platform: PlatformStandIn::start(),
            engines: Vec::new(),
            bookings: Vec::new(),
            other_servers: 0,
            vms: Vec::new(),
            body_limit: 1 << 20,
            body_timeout: 10_000,
        }
    }

    /// Returns a cluster with one engine, one booking server and one ready entry VM.
    pub fn small() -> Self {
        Self::new().engine("engine-1").booking("booking-1").vm("vm-1").publish()
    }

    pub fn body_limit(mut self, bytes: u64) -> Self {
        self.body_limit = bytes;
        self
    }

    pub fn body_timeout(mut self, millis: u64) -> Self {
        self.body_timeout = millis;
        self
    }

    pub fn engine(self, name: &str) -> Self {
        self.engine_of(name, EngineSetup::default())
    }

    pub fn engine_of(mut self, name: &str, setup: EngineSetup) -> Self {
        let engine = EngineStandIn::start(setup);
        self.list_server(name, "planning", engine.address());
        self.engines.push(engine);
        self
    }

    pub fn booking(mut self, name: &str) -> Self {
        let service = BookingStandIn::start(Duration::ZERO);
        self.list_server(name, "crew-booking", service.address());
        self.bookings.push(service);
        self
    }

    /// Adds a booking server whose calls take `call_time`.
    pub fn booking_of(mut self, name: &str, call_time: Duration) -> Self {
        let service = BookingStandIn::start(call_time);
        self.list_server(name, "crew-booking", service.address());
        self.bookings.push(service);
        self
    }

    /// Adds a backend server that the test runs itself.
    pub fn server(mut self, name: &str, pool: &str, address: SocketAddr) -> Self {
        self.list_server(name, pool, address);
        self.other_servers += 1;
        self
    }

    pub const fn platform(&self) -> &PlatformStandIn {
        &self.platform
    }

    pub fn vm(mut self, name: &str) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = || ListenerSettings { listen: any, secret_files: Vec::new() };
        let mut callers = CallerSettings::at(any);
        callers.body_limit_bytes = ByteSize(self.body_limit);
        callers.body_timeout_ms = Millis(self.body_timeout);
        let settings = EntrySettings {
            vm: name.parse().unwrap(),
            data_centre: "norte".parse().unwrap(),
            callers,
            operators: listener(),
            peers: listener(),
            seeds: Vec::new(),
            platform: PlatformSettings { address: self.platform.address() },
            log: LogSettings::default(),
            metrics: None,
            shutdown: ShutdownSettings { balancer_lag_ms: Millis(0) },
        };
        let secret = |text: &str| vec![Secret::new(text.as_bytes()).unwrap()];
        let vm = EntryVm::start(&settings, secret(OPERATOR_SECRET), secret(PEER_SECRET)).unwrap();
        self.platform.members().add_entry_vm(VmMember {
            id: settings.vm,
            address: vm.peers,
            data_centre: settings.data_centre,
            state: MemberState::Live,
        });
        self.vms.push(vm);
        self
    }

    /// Publishes the default test configuration and waits until every entry VM uses it.
    pub fn publish(self) -> Self {
        self.publish_document(&document());
        self
    }

    pub fn publish_document(&self, document: &ConfigurationDocument) {
        let answer = self.operate(&OperatorRequest::Publish {
            publication: uuid::Uuid::now_v7().to_string().into(),
            base: None,
            change: ConfigurationChange::Document(Box::new(document.clone())),
            wait: Millis(30_000),
        });
        let OperatorAnswer::Published(PublicationOutcome::Accepted(revision)) = answer else {
            panic!("publication not accepted: {answer:?}");
        };
        let servers = self.engines.len() + self.bookings.len() + self.other_servers;
        self.wait_until(|status| {
            status.ready && status.revision >= revision && status.servers.len() == servers
        });
    }

    pub fn wait_until(&self, holds: impl Fn(&VmStatus) -> bool) {
        let start = Instant::now();
        for vm in &self.vms {
            loop {
                let status = self.runtime.block_on(vm.handle().ask(OperatorRequest::Status));
                let OperatorAnswer::Status(status) = status else { panic!("{status:?}") };
                if holds(&status) {
                    break;
                }
                assert!(start.elapsed() < STEP_LIMIT, "timeout with status {status:?}");
                std::thread::yield_now();
            }
        }
    }

    /// Sends an operator's call to the first entry VM.
    pub fn operate(&self, request: &OperatorRequest) -> OperatorAnswer {
        let body = serde_json::to_value(request).unwrap();
        let call = CallRequest::new(Method::POST, OPERATOR_PATH, body).key(OPERATOR_SECRET);
        serde_json::from_slice(&self.send(self.vms[0].operators, &call).body).unwrap()
    }

    pub fn call(&self, key: &str) -> Call<'_> {
        Call { cluster: self, key: key.into(), headers: Vec::new(), stream: false }
    }

    pub fn send(&self, address: SocketAddr, call: &CallRequest) -> CallOutcome {
        let _guard = self.runtime.enter();
        let caller = CallerStandIn::new(address);
        let send = tokio::time::timeout(STEP_LIMIT, caller.send(call));
        self.runtime.block_on(send).expect("no answer within the time limit")
    }

    /// Sends raw bytes to the listener for callers and returns everything received until it closes.
    pub fn raw(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        let _ = stream.write_all(bytes);
        read_all(&mut stream)
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.vms[0].callers).unwrap();
        stream.set_read_timeout(Some(STEP_LIMIT)).unwrap();
        stream
    }

    /// Clears engine faults, waits until no request is open and checks that a chat request
    /// succeeds.
    pub fn expect_alive(&self) {
        for engine in &self.engines {
            engine.faults().set_answer(AnswerFault::None);
        }
        self.wait_until(|status| status.servers.iter().all(|server| server.in_flight == 0));
        self.call("plazas-key").chat("still there").expect_status(200).expect_text("still there");
    }

    fn list_server(&self, name: &str, pool: &str, address: SocketAddr) {
        self.platform.members().add_backend_server(ServerMember {
            id: name.parse().unwrap(),
            address,
            data_centre: "norte".parse().unwrap(),
            pool: pool.parse().unwrap(),
            state: MemberState::Live,
        });
    }
}

impl Drop for TestCluster {
    /// Shuts the entry VMs down gracefully, or immediately if the test has failed.
    fn drop(&mut self) {
        if std::thread::panicking() {
            return;
        }
        for vm in self.vms.drain(..) {
            vm.shut_down();
            vm.wait();
        }
    }
}

pub fn document() -> ConfigurationDocument {
    parse_document("configuration.jsonc", CONFIGURATION).unwrap()
}

pub fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}
