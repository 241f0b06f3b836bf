use super::*;
use rand::SeedableRng;

/// The core of an entry VM that serves routes; owns all of its state.
pub struct Gateway {
    pub(super) identity: VmIdentity,
    pub(super) bounds: GatewayBounds,
    pub(super) document: Option<Arc<GatewayDocument>>,
    pub(super) lease: FreshnessLease,
    pub(super) feeds: BTreeMap<StoreStream, StoreFeed>,
    pub(super) listed: Option<BTreeSet<ServerId>>,
    pub(super) records: RecordCache,
    pub(super) relay: RelayState,
    pub(super) access: StoreAccess,
    pub(super) servers: ServerRegistry,
    pub(super) latency_models: BTreeMap<(PoolId, Option<ModelId>), PoolLatencyModel>,
    pub(super) forecasts: BTreeMap<(PoolId, Option<ModelId>), ModelForecast>,
    /// When the lateness of runs is measured next.
    pub(super) lateness_next: Millis,
    pub(super) mean_works: BTreeMap<PoolId, MeanWork>,
    pub(super) rollouts: BTreeMap<PoolId, RolloutTrack>,
    pub(super) sessions: SessionVersions,
    pub(super) held: HeldSessions,
    pub(super) held_positions: SyncPositions,
    pub(super) crashes: CrashWatch,
    pub(super) limits: LimitState,
    pub(super) evacuation_reads: EvacuationReads,
    pub(super) rollout_end: Option<Offset>,
    pub(super) rollout_append: Option<Millis>,
    pub(super) evidence_next: Millis,
    pub(super) requests: FxHashMap<RequestNumber, RoutedRequest>,
    pub(super) ends: BTreeSet<(Millis, RequestNumber)>,
    /// When the server of each repeatable request counts as unresponsive if it has not answered.
    pub(super) response_deadlines: BTreeSet<(Millis, RequestNumber)>,
    pub(super) crowded: FullPoolQueue,
    /// The ranks of the routes of each pool.
    pub(super) pool_ranks: BTreeMap<PoolId, BTreeSet<u8>>,
    /// The shortest objective of the routes of each pool.
    pub(super) shortest_objectives: BTreeMap<PoolId, Millis>,
    pub(super) budgets: BTreeMap<PoolId, RetryBudget>,
    pub(super) room_counts: RoomCounts,
    pub(super) start_wait: StartWait,
    pub(super) reach: CentreReach,
    pub(super) progress: ServerProgress,
    pub(super) ending: Option<Millis>,
    pub(super) random: rand_chacha::ChaCha8Rng,
    commands: Vec<GatewayCommand>,
}

impl Gateway {
    /// How long the balancer keeps sending requests to a VM that is no longer ready: it checks each
    /// second and takes a VM out after two failed checks.
    const BALANCER_LAG_MS: u64 = 2_500;
    /// How long before it would be killed the process ends by itself.
    const END_MARGIN_MS: u64 = 1_000;
    /// How long before its own start a VM can place what others report: times travel as ages, and
    /// a shorter past would make older events look as recent as the start.
    pub const KNOWN_PAST: Millis = CrashTracker::RETENTION;

    /// Returns a core without configuration and servers; it reads both from the store.
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
            lease: FreshnessLease::default(),
            feeds: BTreeMap::from([
                (StoreStream::Operators, operators),
                (StoreStream::Servers, servers),
            ]),
            listed: Some(BTreeSet::new()),
            records: RecordCache::default(),
            relay: RelayState::default(),
            access: StoreAccess::default(),
            servers: ServerRegistry::default(),
            latency_models: BTreeMap::new(),
            forecasts: BTreeMap::new(),
            lateness_next: Millis(0),
            mean_works: BTreeMap::new(),
            rollouts: BTreeMap::new(),
            sessions: SessionVersions::default(),
            held: HeldSessions::default(),
            held_positions: SyncPositions::default(),
            crashes: CrashWatch::default(),
            limits: LimitState::default(),
            evacuation_reads: EvacuationReads::default(),
            rollout_end: None,
            rollout_append: None,
            evidence_next: Millis(0),
            requests: FxHashMap::default(),
            ends: BTreeSet::new(),
            response_deadlines: BTreeSet::new(),
            crowded: FullPoolQueue::default(),
            pool_ranks: BTreeMap::new(),
            shortest_objectives: BTreeMap::new(),
            budgets: BTreeMap::new(),
            room_counts: RoomCounts::default(),
            start_wait: StartWait::default(),
            reach: CentreReach::default(),
            progress: ServerProgress::default(),
            ending: None,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            commands: Vec::new(),
        }
    }

    /// Returns how long a long poll of the operators' stream may take. Two consecutive reads must
    /// take less than half of the bound on key removal; the rest is for finding another VM with
    /// newer records when the store fails.
    const fn operator_wait_of(bounds: &GatewayBounds) -> Millis {
        Millis(bounds.key_removal_ms.0 / 5)
    }

    /// Returns the pause between two reads of the servers' stream. It leaves time within the drain
    /// bound to repeat a failed read and to notice that the VM that reads for this one has stopped.
    const fn server_pause_of(bounds: &GatewayBounds) -> Millis {
        Millis(bounds.drain_ms.0 * 9 / 20)
    }

    pub(super) const fn operator_wait(&self) -> Millis {
        Self::operator_wait_of(&self.bounds)
    }

    pub(super) const fn server_pause(&self) -> Millis {
        Self::server_pause_of(&self.bounds)
    }

    /// Processes one event and returns the resulting commands in order.
    pub fn handle(&mut self, now: Millis, event: GatewayEvent) -> Vec<GatewayCommand> {
        if !self.relay.peers.is_empty() {
            self.crashes.observe_time(now);
        }
        self.advance_evacuations(now);
        self.advance_warmth(now);
        self.start_wait.begin(now);
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
            GatewayEvent::ServerHinted { start, sent, hint } => {
                self.on_server_hint(now, &start, sent, &hint);
            }
            GatewayEvent::Probed { server, result } => self.on_probed(now, &server, result),
            GatewayEvent::Shutdown => self.on_shutdown(now),
        }
        self.admit_held(now);
        self.end_crash_waits(now);
        self.end_expired(now);
        self.retry_unresponsive(now);
        self.send_waiting(now);
        self.ask_permits(now);
        self.advance_rollouts(now);
        self.measure_lateness(now);
        self.run_relay(now);
        self.update_store_use(now);
        self.read_feeds(now);
        self.advance_shutdown(now);
        std::mem::take(&mut self.commands)
    }

    /// Returns when [`Self::handle`] must be called next if no event arrives before.
    #[must_use]
    pub fn next_wake(&self, now: Millis) -> Millis {
        /// The interval at which running roll-outs and a shutdown are advanced.
        const ADVANCE_INTERVAL_MS: u64 = 250;
        let end = self.ends.first().map(|(at, _)| *at);
        let read = self.feeds.values().filter_map(StoreFeed::next).min();
        let has_running_rollout =
            self.rollouts.values().any(|track| track.state == RolloutState::Running);
        let advance = (has_running_rollout || self.ending.is_some())
            .then(|| now + Millis(ADVANCE_INTERVAL_MS));
        let relay = self.relay_next();
        let response_deadline = self.response_deadlines.first().map(|(at, _)| *at);
        let (access, crowded) = (self.access.next(), self.crowded.next());
        let (permits, crashes) = (self.permits_next(), self.crashes.next());
        let (evacuation, start) = (self.servers.evacuated.next(), self.start_wait.next());
        [
            end,
            response_deadline,
            read,
            advance,
            relay,
            access,
            crowded,
            permits,
            crashes,
            evacuation,
            start,
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(Millis::MAX)
    }

    /// Returns whether the VM is ready for new requests: it is not shutting down, has read the list
    /// of backend servers, and has a configuration recent enough to check keys.
    #[must_use]
    pub fn is_ready(&self, now: Millis) -> bool {
        let knows_servers = self.feeds[&StoreStream::Servers].is_following();
        self.ending.is_none() && knows_servers && self.document.is_some() && self.is_fresh(now)
    }

    /// Returns whether a shutdown has been requested.
    #[must_use]
    pub const fn is_ending(&self) -> bool {
        self.ending.is_some()
    }

    /// Returns the current configuration; none before the first one has been read.
    #[must_use]
    pub const fn document(&self) -> Option<&Arc<GatewayDocument>> {
        self.document.as_ref()
    }

    /// Returns whether a request that is sent to a server now, and ends at `ends` at the latest,
    /// might not finish before the process ends. Until the balancer has noticed the shutdown, all
    /// requests are sent, as callers cannot be expected to use another VM.
    pub(super) fn is_too_late_to_send(&self, now: Millis, ends: Millis) -> bool {
        self.ending.is_some_and(|requested| {
            let is_noticed = now.since(requested).0 >= Self::BALANCER_LAG_MS;
            is_noticed && ends > self.last_answer(requested)
        })
    }

    /// Returns whether the process must end now, whatever is still under way.
    #[must_use]
    pub fn must_stop(&self, now: Millis) -> bool {
        self.ending.is_none_or(|requested| now >= self.last_answer(requested))
    }

    /// Returns when the process ends at the latest, after a shutdown that was requested then.
    fn last_answer(&self, requested: Millis) -> Millis {
        requested + self.bounds.shutdown_ms.since(Millis(Self::END_MARGIN_MS))
    }

    /// Returns whether the configuration is recent enough to check keys.
    pub(super) fn is_fresh(&self, now: Millis) -> bool {
        /// Allows for clocks that run at slightly different rates.
        const MARGIN_MS: u64 = 200;
        let bound = self.bounds.key_removal_ms.since(Millis(MARGIN_MS));
        self.lease.is_fresh(now, bound)
    }

    pub(super) fn emit(&mut self, command: GatewayCommand) {
        self.commands.push(command);
    }

    /// Returns a random number from 0 to 1.
    pub(super) fn draw(&mut self) -> f64 {
        rand::RngExt::random(&mut self.random)
    }

    fn on_shutdown(&mut self, now: Millis) {
        if self.ending.is_none() {
            tracing::info!(requests = self.requests.len(), "shutdown requested; no longer ready");
            self.ending = Some(now);
        }
    }

    fn advance_shutdown(&mut self, now: Millis) {
        let Some(requested) = self.ending else { return };
        if now.since(requested).0 >= Self::BALANCER_LAG_MS {
            self.emit(GatewayCommand::CloseIdleConnections);
        }
        let is_idle = self.requests.is_empty() && now.since(requested).0 >= Self::BALANCER_LAG_MS;
        if is_idle || now >= self.last_answer(requested) {
            self.end_open_requests(now);
            self.emit(GatewayCommand::Stop);
        }
    }
}
