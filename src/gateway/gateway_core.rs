use super::*;
use rand::SeedableRng;

/// Owns all state of an entry VM that serves routes.
pub struct Gateway {
    pub(super) identity: VmIdentity,
    pub(super) bounds: GatewayBounds,
    pub(super) document: Option<Arc<GatewayDocument>>,
    pub(super) lease: KnowledgeLease,
    pub(super) feeds: BTreeMap<StoreStream, StoreFeed>,
    pub(super) listed: Option<BTreeSet<ServerId>>,
    pub(super) records: RecordBook,
    pub(super) relay: RelayState,
    pub(super) access: StoreAccess,
    pub(super) servers: ServerBook,
    pub(super) paces: BTreeMap<(PoolId, Option<ModelId>), PoolPace>,
    pub(super) pressures: BTreeMap<PoolId, EnginePressure>,
    pub(super) rollouts: BTreeMap<PoolId, RolloutTrack>,
    pub(super) sessions: SessionVersions,
    pub(super) held: HeldSessions,
    pub(super) held_marks: NewsMarks,
    pub(super) crashes: CrashWatch,
    pub(super) rollout_end: Option<Offset>,
    pub(super) rollout_append: Option<Millis>,
    pub(super) evidence_next: Millis,
    pub(super) requests: FxHashMap<RequestNumber, RoutedRequest>,
    pub(super) ends: BTreeSet<(Millis, RequestNumber)>,
    /// When the patience with the run of a request is over.
    pub(super) patiences: BTreeSet<(Millis, RequestNumber)>,
    pub(super) crowded: CrowdedCalls,
    pub(super) budgets: BTreeMap<PoolId, ResendBudget>,
    pub(super) ending: Option<Millis>,
    pub(super) random: rand_chacha::ChaCha8Rng,
    commands: Vec<GatewayCommand>,
}

impl Gateway {
    /// How long the balancer goes on sending requests to a VM that is not ready: it asks each
    /// second and takes out a VM after two misses.
    const BALANCER_LAG_MS: u64 = 2_500;
    /// The time before the process is killed at which it ends by itself.
    const END_MARGIN_MS: u64 = 1_000;

    /// Returns a core that knows nothing yet.
    #[must_use]
    pub fn new(identity: VmIdentity, bounds: GatewayBounds) -> Self {
        let seed = xxh3_64(identity.vm.as_str().as_bytes()) ^ identity.incarnation.0;
        let operator_wait = Self::operator_wait_of(&bounds);
        let operators = StoreFeed::new(StoreStream::Operators, operator_wait, Millis(0));
        let server_pause = Self::server_pause_of(&bounds);
        let servers = StoreFeed::new(StoreStream::Servers, Millis(0), server_pause);
        Self {
            identity,
            bounds,
            document: None,
            lease: KnowledgeLease::default(),
            feeds: BTreeMap::from([
                (StoreStream::Operators, operators),
                (StoreStream::Servers, servers),
            ]),
            listed: Some(BTreeSet::new()),
            records: RecordBook::default(),
            relay: RelayState::default(),
            access: StoreAccess::default(),
            servers: ServerBook::default(),
            paces: BTreeMap::new(),
            pressures: BTreeMap::new(),
            rollouts: BTreeMap::new(),
            sessions: SessionVersions::default(),
            held: HeldSessions::default(),
            held_marks: NewsMarks::default(),
            crashes: CrashWatch::default(),
            rollout_end: None,
            rollout_append: None,
            evidence_next: Millis(0),
            requests: FxHashMap::default(),
            ends: BTreeSet::new(),
            patiences: BTreeSet::new(),
            crowded: CrowdedCalls::default(),
            budgets: BTreeMap::new(),
            ending: None,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            commands: Vec::new(),
        }
    }

    /// Returns how long the store may wait for something that operators publish: two reads after
    /// each other take less than half of the bound, and the rest is for finding another VM that
    /// knows more when the store fails.
    const fn operator_wait_of(bounds: &GatewayBounds) -> Millis {
        Millis(bounds.key_removal_ms.0 / 5)
    }

    /// Returns the pause between two reads of the list of servers: one that fails can be repeated,
    /// and a reader that has stopped be noticed, within the bound.
    const fn server_pause_of(bounds: &GatewayBounds) -> Millis {
        Millis(bounds.drain_ms.0 * 9 / 20)
    }

    pub(super) const fn operator_wait(&self) -> Millis {
        Self::operator_wait_of(&self.bounds)
    }

    pub(super) const fn server_pause(&self) -> Millis {
        Self::server_pause_of(&self.bounds)
    }

    /// Takes in one event and returns what is to be done.
    pub fn handle(&mut self, now: Millis, event: GatewayEvent) -> Vec<GatewayCommand> {
        match event {
            GatewayEvent::Tick => {}
            GatewayEvent::Arrived(arrival) => self.on_arrival(now, *arrival),
            GatewayEvent::CallerGone { request } => self.on_caller_gone(now, request),
            GatewayEvent::Run { request, attempt, report } => {
                self.on_run(now, request, attempt, report);
            }
            GatewayEvent::Read { stream, answer } => self.on_read(now, stream, &answer),
            GatewayEvent::Appended { record, result } => self.on_appended(now, &record, &result),
            GatewayEvent::Polled { call, poll } => self.on_poll(now, call, *poll),
            GatewayEvent::PeerAnswered { peer, purpose, answer } => {
                self.on_peer_answer(now, peer, purpose, answer.map(|answer| *answer));
            }
            GatewayEvent::ServerHinted { start, hint } => self.on_server_hint(now, &start, &hint),
            GatewayEvent::Probed { server, result } => self.on_probed(now, &server, result),
            GatewayEvent::Shutdown => self.on_shutdown(now),
        }
        self.end_overdue(now);
        self.leave_silent(now);
        self.send_crowded(now);
        self.lead_rollouts(now);
        self.run_relay(now);
        self.steer_reads(now);
        self.read_feeds(now);
        self.advance_shutdown(now);
        std::mem::take(&mut self.commands)
    }

    /// Returns when something is due without an event.
    #[must_use]
    pub fn next_wake(&self, now: Millis) -> Millis {
        /// Roll-outs and the end of the process are looked at this often.
        const LOOK_MS: u64 = 250;
        let end = self.ends.first().map(|(at, _)| *at);
        let read = self.feeds.values().filter_map(StoreFeed::next).min();
        let leads = self.rollouts.values().any(|track| track.state == RolloutState::Running);
        let look = (leads || self.ending.is_some()).then(|| now + Millis(LOOK_MS));
        let relay = self.relay_next();
        let patience = self.patiences.first().map(|(at, _)| *at);
        let (access, crowded) = (self.access.next(), self.crowded.next());
        [end, patience, read, look, relay, access, crowded]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Millis::MAX)
    }

    /// Returns whether the VM takes new work: it knows a configuration that keyed requests may be
    /// served by, and the backend servers.
    #[must_use]
    pub fn is_ready(&self, now: Millis) -> bool {
        let knows_servers = self.feeds[&StoreStream::Servers].is_following();
        self.ending.is_none() && knows_servers && self.document.is_some() && self.is_fresh(now)
    }

    /// Returns whether the VM was told to end.
    #[must_use]
    pub const fn is_ending(&self) -> bool {
        self.ending.is_some()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn document(&self) -> Option<&Arc<GatewayDocument>> {
        self.document.as_ref()
    }

    /// Returns whether a stream that arrives now could be cut by the end of the process.
    pub(super) fn is_too_late_for_streams(&self, now: Millis) -> bool {
        self.ending.is_some_and(|told| now.since(told).0 >= Self::BALANCER_LAG_MS)
    }

    /// Returns whether requests with keys may be served.
    pub(super) fn is_fresh(&self, now: Millis) -> bool {
        /// For clocks that run at slightly unlike paces.
        const MARGIN_MS: u64 = 200;
        let bound = self.bounds.key_removal_ms.since(Millis(MARGIN_MS));
        self.lease.is_fresh(now, bound)
    }

    pub(super) fn emit(&mut self, command: GatewayCommand) {
        self.commands.push(command);
    }

    /// Returns a number between 0 and 1.
    pub(super) fn draw(&mut self) -> f64 {
        rand::RngExt::random(&mut self.random)
    }

    fn on_shutdown(&mut self, now: Millis) {
        if self.ending.is_none() {
            tracing::info!(requests = self.requests.len(), "ending: not ready any more");
            self.ending = Some(now);
        }
    }

    fn advance_shutdown(&mut self, now: Millis) {
        let Some(told) = self.ending else { return };
        if now.since(told).0 >= Self::BALANCER_LAG_MS {
            self.emit(GatewayCommand::HangUpIdle);
        }
        let is_idle = self.requests.is_empty() && now.since(told).0 >= Self::BALANCER_LAG_MS;
        let last = self.bounds.shutdown_ms.since(Millis(Self::END_MARGIN_MS));
        if is_idle || now.since(told) >= last {
            tracing::info!(requests = self.requests.len(), "ended");
            self.emit(GatewayCommand::Stop);
        }
    }
}
