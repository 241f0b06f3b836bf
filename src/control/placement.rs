use super::*;

impl Control {
    /// The time between two placement steps.
    const PLACEMENT_INTERVAL_MS: u64 = 1_000;
    /// How long the log may hold a read open once this VM has read all records.
    const PLACEMENT_READ_WAIT_MS: u64 = 10_000;
    /// The delay before a failed read is repeated.
    const PLACEMENT_READ_RETRY_MS: u64 = 500;
    /// The time between two demand reports of a VM in a small cluster.
    const DEMAND_INTERVAL_MS: u64 = 5_000;
    /// The spacing of demand reports per peer. It limits the reports that one receiver gets to ten
    /// per second, however many VMs there are.
    const DEMAND_SPACING_MS: u64 = 100;

    /// Returns the placement of each pool as this VM sees it.
    #[must_use]
    pub fn placement_status(&self, now: Millis) -> Vec<PlacementStatus> {
        let mut pools = self.placement.status(now);
        for pool in &mut pools {
            pool.may_order = self.placement_candidates(&pool.pool);
        }
        pools
    }

    /// Runs a placement step for every pool when it is due: reports demand, then appends lease
    /// records, orders loads and drains servers if this VM holds the pool's lease.
    pub(super) fn advance_placement(&mut self, now: Millis) {
        let Some(document) = self.configuration.document().cloned() else { return };
        self.read_placement(now);
        if now < self.placement.update_at {
            return;
        }
        self.placement.update_at = now + Millis(Self::PLACEMENT_INTERVAL_MS);
        self.placement.configure(&document);
        self.report_demand(now, &document);
        if !self.shutdown.is_serving() {
            return;
        }
        let runs = self.version_runs();
        let peers: Vec<VmId> = self.peers.iter().map(|peer| peer.vm.clone()).collect();
        let in_reach: BTreeSet<VmId> =
            self.peers.in_reach(now).map(|peer| peer.vm.clone()).collect();
        let data_centres = self.data_centres_in_reach(now);
        let versions = document.versions().map(|(id, _)| id);
        let withdrawn: BTreeSet<VersionId> = versions.filter(|id| self.is_withdrawn(id)).collect();
        let pools: Vec<PoolId> = self.placement.pools.keys().cloned().collect();
        for pool in pools {
            let rank = self.placement_rank(&pool);
            let servers = self
                .servers
                .iter()
                .filter(|server| server.pool == pool && server.member == MemberState::Live);
            let context = PoolContext {
                pool: &pool,
                document: &document,
                servers: servers.collect(),
                runs: &runs,
                peers: &peers,
                in_reach: &in_reach,
                data_centres: &data_centres,
                withdrawn: &withdrawn,
                rank,
            };
            let Some(placement) = self.placement.pools.get_mut(&pool) else { continue };
            let table = &self.placement.table;
            let actions = placement.update(now, &context, table, &mut self.placement.orders);
            for action in actions {
                self.run_placement_action(now, action);
            }
        }
    }

    fn run_placement_action(&mut self, now: Millis, action: PlacementAction) {
        match action {
            PlacementAction::Append(record) => {
                let Ok(bytes) = serde_json::to_vec(&record) else { return };
                let append = self.next_append();
                let stream = self.streams.placement.clone();
                self.emit(Command::Append { append, stream, records: vec![bytes.into()] });
            }
            PlacementAction::Order(order) => self.emit(Command::Order(order)),
            PlacementAction::Notify(peers, message) => {
                if let PlacementMessage::Drain { pool, fence, drains } = &message {
                    self.placement.drains.apply_notice(now, pool, *fence, drains);
                }
                for peer in peers {
                    self.send(&peer, PeerMessage::Placement(message.clone()));
                }
            }
        }
    }

    /// Reads the placement stream if a pool needs it.
    fn read_placement(&mut self, now: Millis) {
        let wanted = self.placement.pools.values().any(|pool| pool.wants_log(now));
        if !wanted || self.placement.read_at.is_none_or(|at| now < at) {
            return;
        }
        self.placement.read_at = None;
        let wait = if self.placement.caught_up { Self::PLACEMENT_READ_WAIT_MS } else { 0 };
        self.emit(Command::ReadLog {
            stream: self.streams.placement.clone(),
            from: self.placement.table.next(),
            wait: Millis(wait),
        });
    }

    pub(super) fn on_placement_read(
        &mut self,
        now: Millis,
        result: Result<LogPage, PlatformError>,
    ) {
        self.placement.read_at = Some(now);
        match result {
            Ok(page) => {
                self.placement.caught_up = page.records.is_empty();
                self.placement.apply_page(now, &page);
            }
            Err(PlatformError::Trimmed { oldest }) => self.placement.table.skip_to(oldest),
            Err(error) => {
                tracing::warn!(%error, "failed to read the placement stream");
                self.placement.read_at = Some(now + Millis(Self::PLACEMENT_READ_RETRY_MS));
            }
        }
    }

    /// Handles an engine's answer to an order.
    pub(super) fn on_ordered(
        &mut self,
        now: Millis,
        order: OrderId,
        result: &Result<(), OrderError>,
    ) {
        if let Err(error) = result {
            tracing::warn!(%order, %error, "engine did not confirm an order");
        }
        self.placement.on_order_answer(now, order, result);
    }

    /// Handles a message about placement from a peer.
    pub(super) fn on_placement_message(
        &mut self,
        now: Millis,
        from: &PeerName,
        message: &PlacementMessage,
    ) {
        match message {
            PlacementMessage::Demand { pool, busy } => {
                if let Some(placement) = self.placement.pools.get_mut(pool) {
                    placement.demand.report(now, &from.vm, busy.clone());
                }
            }
            PlacementMessage::Drain { pool, fence, drains } => {
                if self.placement.drains.apply_notice(now, pool, *fence, drains) {
                    self.answer_drain(from, pool, *fence, drains);
                }
            }
            PlacementMessage::Runs { pool, fence, runs } => {
                let placement = self.placement.pools.get_mut(pool);
                if let Some(placement) = placement
                    && placement.lease.fence(now) == Some(*fence)
                {
                    placement.drains.report(now, &from.vm, runs);
                }
            }
        }
    }

    /// Reports how many requests of this VM still run on the versions to be drained.
    fn answer_drain(
        &mut self,
        from: &PeerName,
        pool: &PoolId,
        fence: Fence,
        drains: &[ServerVersion],
    ) {
        let counts = self.version_runs();
        let runs = drains.iter().map(|place| VersionRuns {
            place: place.clone(),
            runs: counts.get(place).copied().unwrap_or(0),
        });
        let message = PlacementMessage::Runs { pool: pool.clone(), fence, runs: runs.collect() };
        self.send(&from.vm, PeerMessage::Placement(message));
    }

    /// Counts the running attempts of this VM by server and version.
    fn version_runs(&self) -> BTreeMap<ServerVersion, u32> {
        let mut runs = BTreeMap::new();
        let attempts = self.requests.values().flat_map(|request| &request.attempts);
        for attempt in attempts.filter(|attempt| attempt.outcome.is_none()) {
            let WorkTarget::Version(version) = attempt.target.clone() else { continue };
            let place = ServerVersion { server: attempt.server.clone(), version };
            *runs.entry(place).or_default() += 1;
        }
        runs
    }

    /// Returns the data centres whose servers can be placed on: the own one, those of peers in
    /// reach, and those without any entry VM.
    fn data_centres_in_reach(&self, now: Millis) -> BTreeSet<DataCentreId> {
        let listed: BTreeSet<&DataCentreId> =
            self.peers.iter().map(|peer| &peer.data_centre).collect();
        let servers = self.servers.iter().map(|server| &server.data_centre);
        let without_vm = servers.filter(|data_centre| !listed.contains(data_centre));
        let heard = self.peers.in_reach(now).map(|peer| &peer.data_centre);
        let own = std::iter::once(&self.identity.data_centre);
        without_vm.chain(heard).chain(own).cloned().collect()
    }

    /// Returns the VMs that may hold a pool's placement lease, by rank.
    fn placement_candidates(&self, pool: &PoolId) -> Vec<VmId> {
        let mut ranked = self.peers.ranked(&self.identity.vm, pool.as_str());
        ranked.truncate(PoolPlacement::CANDIDATES);
        ranked
    }

    /// Returns this VM's rank among the candidates of a pool; `usize::MAX` if it is none.
    fn placement_rank(&self, pool: &PoolId) -> usize {
        let candidates = self.placement_candidates(pool);
        let rank = candidates.iter().position(|vm| *vm == self.identity.vm);
        rank.unwrap_or(usize::MAX)
    }

    /// Returns the servers to read for placement in addition to this VM's own: those of the pools
    /// it places whose load reports list the loaded versions.
    pub(super) fn placement_load_reads(
        &mut self,
        now: Millis,
        own: &[(ServerId, SocketAddr)],
    ) -> Vec<(ServerId, SocketAddr)> {
        let own: BTreeSet<&ServerId> = own.iter().map(|(server, _)| server).collect();
        let due: BTreeSet<PoolId> = self
            .placement
            .pools
            .iter()
            .filter(|(_, placement)| placement.reads_due(now))
            .map(|(pool, _)| pool.clone())
            .collect();
        let servers = self.servers.iter().filter(|server| due.contains(&server.pool));
        let reports = |load: &LoadReport| load.versions.is_some();
        let loads: Vec<_> = servers
            .filter(|server| server.load.as_ref().is_some_and(reports))
            .filter(|server| !own.contains(&server.id))
            .map(|server| (server.id.clone(), server.address))
            .collect();
        self.placement.reads.retain(|server| !own.contains(server));
        self.placement.reads.extend(loads.iter().map(|(server, _)| server.clone()));
        for pool in due {
            if let Some(placement) = self.placement.pools.get_mut(&pool) {
                placement.record_reads(now);
            }
        }
        loads
    }

    /// Reports the requests per version on this VM to the first two candidates of each pool.
    fn report_demand(&mut self, now: Millis, document: &ConfigurationDocument) {
        const RECEIVERS: usize = 2;
        if now < self.placement.report_at {
            return;
        }
        let spacing = Self::DEMAND_SPACING_MS * self.peers.iter().count() as u64;
        self.placement.report_at = now + Millis(spacing.max(Self::DEMAND_INTERVAL_MS));
        for (pool, busy) in self.busy_versions(document) {
            let candidates = self.placement_candidates(&pool);
            for vm in candidates.into_iter().take(RECEIVERS) {
                if vm == self.identity.vm {
                    if let Some(placement) = self.placement.pools.get_mut(&pool) {
                        placement.demand.report(now, &vm, busy.clone());
                    }
                    continue;
                }
                let (pool, busy) = (pool.clone(), busy.clone());
                let message = PlacementMessage::Demand { pool, busy };
                self.send(&vm, PeerMessage::Placement(message));
            }
        }
    }

    /// Counts the unanswered requests of this VM by version, grouped by pool.
    fn busy_versions(
        &self,
        document: &ConfigurationDocument,
    ) -> BTreeMap<PoolId, Vec<VersionBusy>> {
        let mut counts: BTreeMap<VersionId, u32> = BTreeMap::new();
        for request in self.requests.values() {
            if request.phase == RequestPhase::Answered {
                continue;
            }
            if let WorkTarget::Version(version) = request.target() {
                *counts.entry(version.clone()).or_default() += 1;
            }
        }
        let mut pools: BTreeMap<PoolId, Vec<VersionBusy>> = BTreeMap::new();
        for (version, busy) in counts {
            let Some(entry) = document.version(&version) else { continue };
            pools.entry(entry.pool.clone()).or_default().push(VersionBusy { version, busy });
        }
        pools
    }
}
