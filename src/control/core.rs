use super::*;

/// The identity of an entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmIdentity {
    /// The name of the VM.
    pub vm: VmId,
    /// The start of the process; higher after each restart.
    pub incarnation: Incarnation,
    /// The data centre that the VM runs in.
    pub data_centre: DataCentreId,
}

/// The log streams that the core reads and appends to.
#[derive(Clone, Debug)]
pub(super) struct StreamNames {
    pub(super) configuration: StreamId,
    pub(super) bills: StreamId,
    pub(super) placement: StreamId,
}

/// The control state of an entry VM.
pub struct Control {
    pub(super) identity: VmIdentity,
    pub(super) streams: StreamNames,
    pub(super) configuration: ConfigurationFold,
    pub(super) keys: KeyIndex,
    pub(super) policy: Box<dyn RoutingPolicy>,
    pub(super) servers: ServerTable,
    pub(super) peers: PeerTable,
    pub(super) placement: PlacementState,
    pub(super) queues: BTreeMap<PoolId, FairQueue>,
    pub(super) load: LoadState,
    pub(super) requests: FxHashMap<RequestNumber, RequestState>,
    pub(super) cluster: ClusterState,
    pub(super) sessions: SessionTable,
    pub(super) session_waits: SessionWaits,
    pub(super) publications: BTreeMap<SmolStr, PendingPublication>,
    /// When the configuration stream was last read by this VM or a peer; none if never.
    pub(super) log_read: Option<Millis>,
    /// When the membership list was last read by this VM or a peer; none if never.
    pub(super) members_read: Option<Millis>,
    /// When the next read of the configuration stream is due; none while one is under way.
    pub(super) next_log_read: Option<Millis>,
    /// When the next read of the membership list is due; none while one is under way.
    pub(super) next_list_read: Option<Millis>,
    /// When load reports are read next.
    pub(super) next_load_read: Millis,
    pub(super) claims: ClaimState,
    pub(super) bills: BillingState,
    pub(super) suspects: SuspectTable,
    pub(super) shutdown: ShutdownStage,
    pub(super) balancer_lag: Millis,
    /// The number of the last append.
    appends: u64,
    /// The commands to return from [`Control::handle`].
    commands: Vec<Command>,
}

impl Control {
    /// The time between two reads of the load reports.
    const LOAD_INTERVAL_MS: u64 = 1_000;

    /// Returns a core without configuration, peers or servers.
    #[must_use]
    pub fn new(identity: VmIdentity, policy: Box<dyn RoutingPolicy>) -> Self {
        let own = PeerName { vm: identity.vm.clone(), incarnation: identity.incarnation };
        let mut servers = ServerTable::default();
        servers.set_seed(xxh3_64(identity.vm.as_str().as_bytes()));
        Self {
            identity,
            streams: StreamNames {
                configuration: ConfigurationFold::stream(),
                bills: BillLedger::stream(),
                placement: PlacementState::stream(),
            },
            configuration: ConfigurationFold::default(),
            keys: KeyIndex::default(),
            policy,
            servers,
            peers: PeerTable::default(),
            placement: PlacementState::new(own),
            queues: BTreeMap::new(),
            load: LoadState::default(),
            requests: FxHashMap::default(),
            cluster: ClusterState::default(),
            sessions: SessionTable::default(),
            session_waits: SessionWaits::default(),
            publications: BTreeMap::new(),
            log_read: None,
            members_read: None,
            next_log_read: Some(Millis(0)),
            next_list_read: Some(Millis(0)),
            next_load_read: Millis(0),
            claims: ClaimState::default(),
            bills: BillingState::default(),
            suspects: SuspectTable::default(),
            shutdown: ShutdownStage::default(),
            balancer_lag: Millis(0),
            appends: 0,
            commands: Vec::new(),
        }
    }

    /// Sets how long this VM accepts requests after a shutdown has begun, as the load balancer
    /// still sends them.
    pub const fn set_balancer_lag(&mut self, lag: Millis) {
        self.balancer_lag = lag;
    }

    /// Handles one event and returns the commands that follow from it.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Command> {
        self.fire_timers(now);
        match event {
            Event::Tick => self.on_tick(now),
            Event::Arrived(arrival) => self.on_arrival(now, arrival),
            Event::CallerGone { request } => self.on_caller_gone(now, request),
            Event::Attempt { request, attempt, report } => {
                self.on_attempt(now, request, attempt, report);
            }
            Event::LogRead { stream, result } => self.on_read(now, &stream, result),
            Event::Appended { append, result } => self.on_appended(now, append, &result),
            Event::MembersRead(result) => self.on_listed(now, result),
            Event::LoadReportRead { server, result } => self.on_loaded(now, &server, result),
            Event::Rated { request, attempt, result } => {
                self.on_rated(now, request, attempt, &result);
            }
            Event::OrderAnswered { order, result } => self.on_ordered(now, order, &result),
            Event::OperatorCall { call, request } => self.on_operator(now, call, request),
            Event::FromPeer { from, message } => self.on_peer(now, &from, message),
            Event::SendFailed { to } => self.on_unsent(now, &to),
            Event::WallClock { unix } => self.set_wall_clock(now, unix),
            Event::Forwarded { request } => {
                self.claims.forwards.remove(&request);
            }
            Event::Shutdown => self.on_shutdown(now),
        }
        std::mem::take(&mut self.commands)
    }

    /// Returns whether the VM accepts new requests: it has a configuration and is not shutting
    /// down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shutdown.is_serving() && self.configuration.document().is_some()
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

    /// Runs the periodic work of the core.
    fn on_tick(&mut self, now: Millis) {
        self.tick_cluster(now);
        self.read_configuration(now);
        if self.next_list_read.is_some_and(|at| at <= now) {
            self.next_list_read = None;
            self.emit(Command::ReadMembers);
        }
        if self.next_load_read <= now {
            self.next_load_read = now + Millis(Self::LOAD_INTERVAL_MS);
            self.read_loads(now);
        }
        self.advance_placement(now);
        self.shed_expired(now);
        self.refuse_expired_gated(now);
        self.advance_claims(now);
        self.advance_bills(now);
        self.send_suspects(now);
        self.tick_digests(now);
        self.dispatch_all(now);
        self.advance_shutdown(now);
    }
}
