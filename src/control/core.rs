use super::*;

/// Which entry VM this is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmIdentity {
    /// The VM.
    pub vm: VmId,
    /// This start of it.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

/// The streams of the log that the core uses.
#[derive(Clone, Debug)]
pub(super) struct StreamNames {
    pub(super) configuration: StreamId,
}

/// Owns all control state of an entry VM.
pub struct Control {
    pub(super) identity: VmIdentity,
    pub(super) streams: StreamNames,
    pub(super) configuration: ConfigurationFold,
    pub(super) keys: KeyIndex,
    pub(super) policy: Box<dyn RoutingPolicy>,
    pub(super) servers: ServerTable,
    pub(super) peers: PeerTable,
    pub(super) queues: BTreeMap<PoolId, FairQueue>,
    pub(super) load: LoadState,
    pub(super) withdrawn: BTreeMap<VersionId, u32>,
    pub(super) requests: FxHashMap<RequestNumber, RequestState>,
    pub(super) publications: BTreeMap<SmolStr, (CallId, AppendId)>,
    pub(super) log_read: Option<Millis>,
    pub(super) members_read: Option<Millis>,
    pub(super) read_again: Option<Millis>,
    pub(super) list_again: Option<Millis>,
    pub(super) load_again: Millis,
    pub(super) stopping: bool,
    appends: u64,
    commands: Vec<Command>,
}

impl Control {
    const LIST_INTERVAL_MS: u64 = 500;
    const LOAD_INTERVAL_MS: u64 = 1_000;
    const AGE_INTERVAL_MS: u64 = 1_000;
    const READ_WAIT_MS: u64 = 10_000;

    /// Returns a core that knows nothing yet.
    ///
    /// # Panics
    ///
    /// Never: the built-in stream name is valid.
    #[must_use]
    pub fn new(identity: VmIdentity, policy: Box<dyn RoutingPolicy>) -> Self {
        let configuration = "configuration".parse().expect("the stream name is valid");
        let mut servers = ServerTable::default();
        servers.set_seed(xxh3_64(identity.vm.as_str().as_bytes()));
        Self {
            identity,
            streams: StreamNames { configuration },
            configuration: ConfigurationFold::default(),
            keys: KeyIndex::default(),
            policy,
            servers,
            peers: PeerTable::default(),
            queues: BTreeMap::new(),
            load: LoadState::default(),
            withdrawn: BTreeMap::new(),
            requests: FxHashMap::default(),
            publications: BTreeMap::new(),
            log_read: None,
            members_read: None,
            read_again: Some(Millis(0)),
            list_again: Some(Millis(0)),
            load_again: Millis(0),
            stopping: false,
            appends: 0,
            commands: Vec::new(),
        }
    }

    /// Takes in one event and returns what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Command> {
        self.fire_timers(now);
        match event {
            Event::Tick => self.on_tick(now),
            Event::Arrived(arrival) => self.on_arrival(now, arrival),
            Event::CallerGone { request } => self.on_caller_gone(now, request),
            Event::Attempt { request, attempt, report } => {
                self.on_attempt(now, request, attempt, report);
            }
            Event::Read { stream, result } => self.on_read(now, &stream, result),
            Event::Appended { append, result } => self.on_appended(append, &result),
            Event::Listed(result) => self.on_listed(now, result),
            Event::Loaded { server, result } => self.on_loaded(now, &server, result),
            Event::Rated { request, attempt, result } => {
                self.on_rated(now, request, attempt, &result);
            }
            Event::Operator { call, request } => self.on_operator(now, call, request),
            Event::FromPeer { from, message } => self.on_peer(now, &from, &message),
            Event::Shutdown => self.on_shutdown(),
        }
        std::mem::take(&mut self.commands)
    }

    /// Returns whether the VM takes new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.configuration.document().is_some()
    }

    pub(super) fn emit(&mut self, command: Command) {
        self.commands.push(command);
    }

    pub(super) fn next_append(&mut self) -> AppendId {
        self.appends += 1;
        AppendId(self.appends)
    }

    pub(super) fn request_id(&self, number: RequestNumber) -> RequestId {
        RequestId { vm: self.identity.vm.clone(), incarnation: self.identity.incarnation, number }
    }

    fn on_tick(&mut self, now: Millis) {
        if self.read_again.is_some_and(|at| at <= now) {
            self.read_again = None;
            self.emit(Command::Read {
                stream: self.streams.configuration.clone(),
                from: self.configuration.next(),
                wait: Millis(Self::READ_WAIT_MS),
            });
        }
        if self.list_again.is_some_and(|at| at <= now) {
            self.list_again = None;
            self.emit(Command::ListMembers);
        }
        if self.load_again <= now {
            self.load_again = now + Millis(Self::LOAD_INTERVAL_MS);
            self.read_loads();
            self.send_heartbeats();
        }
        self.shed_expired(now);
        self.age_load(now);
        self.dispatch_all(now);
    }

    /// Ages load reports and what peers have told, once a second.
    fn age_load(&mut self, now: Millis) {
        if self.load.age_again <= now {
            self.load.age_again = now + Millis(Self::AGE_INTERVAL_MS);
            self.servers.age(now);
        }
    }

    fn read_loads(&mut self) {
        let reads: Vec<Command> = self
            .servers
            .iter()
            .map(|server| Command::ReadLoad { server: server.id.clone(), address: server.address })
            .collect();
        self.commands.extend(reads);
    }

    pub(super) fn schedule_list(&mut self, now: Millis) {
        self.list_again = Some(now + Millis(Self::LIST_INTERVAL_MS));
    }

    fn on_shutdown(&mut self) {
        self.stopping = true;
        self.stop_if_idle();
    }

    pub(super) fn stop_if_idle(&mut self) {
        if self.stopping && self.requests.is_empty() {
            self.emit(Command::Stop);
        }
    }
}
