use super::*;

/// The placement of versions in one pool at this VM.
///
/// Every entry VM makes the plan, but only the holder of the lease sends orders.
#[derive(Debug)]
pub struct PoolPlacement {
    pub(super) pool: PoolId,
    pub(crate) lease: PlacementLease,
    pub(crate) demand: DemandTracker,
    pub(super) load_limiter: LoadRateLimiter,
    pub(super) plan: PlacementPlan,
    pub(crate) drains: DrainProgress,
    pub(super) servers: BTreeMap<ServerId, ServerPlacement>,
    fence: Option<Fence>,
    needed_since: Option<Millis>,
    last_needed: Millis,
    rank: usize,
    last_reads: Option<Millis>,
}

/// The known state of one server and the orders that this VM sent to it.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerPlacement {
    /// When the server was added to the pool's list of servers.
    pub(super) listed_at: Millis,
    /// When its load report was last read.
    pub(super) read_at: Option<Millis>,
    /// The versions in its last load report; none if the server does not report them.
    pub(super) loaded: Option<BTreeSet<VersionId>>,
    /// The last order for versions, until its effect is seen.
    pub(super) progress: Option<OrderProgress>,
    /// The last fencing order and when it was sent.
    pub(super) pending_fence: Option<(OrderId, Millis)>,
    /// When the engine confirmed that it refuses earlier holders.
    pub(super) fenced_at: Option<Millis>,
}

impl ServerPlacement {
    /// The age at which a load report is too old to base orders on.
    const MAX_REPORT_AGE_MS: u64 = 12_000;
    /// The age of its load report at which a server is left out of the plan.
    const REPORT_EXPIRY_MS: u64 = 30_000;

    /// Returns whether the server was listed recently and its load report has not been read yet.
    fn is_unread(&self, now: Millis) -> bool {
        self.read_at.is_none() && now.since(self.listed_at).0 < Self::REPORT_EXPIRY_MS
    }

    fn age(&self, now: Millis) -> Option<u64> {
        self.read_at.map(|read_at| now.since(read_at).0)
    }

    fn view(&self, now: Millis, state: &ServerState, reachable: bool) -> Option<ServerView> {
        let age = self.age(now).filter(|age| *age < Self::REPORT_EXPIRY_MS)?;
        let reported = self.loaded.as_ref()?;
        let fresh = age < Self::MAX_REPORT_AGE_MS && reachable;
        let (loaded, loading) = match &self.progress {
            Some(progress) => (
                reported.intersection(&progress.versions).cloned().collect(),
                progress.versions.difference(reported).cloned().collect(),
            ),
            None => (reported.clone(), BTreeSet::new()),
        };
        Some(ServerView {
            id: state.id.clone(),
            data_centre: state.data_centre.clone(),
            availability: if fresh {
                ServerAvailability::Available
            } else {
                ServerAvailability::Unavailable
            },
            loaded,
            loading,
        })
    }

    /// Drops the pending order if the last load report shows its effect.
    fn clear_completed_order(&mut self, now: Millis) {
        let Some(loaded) = &self.loaded else { return };
        if self.progress.as_ref().is_some_and(|progress| progress.is_done(now, loaded)) {
            self.progress = None;
        }
    }
}

impl PoolPlacement {
    /// The delay between two VMs consecutive in rank before they try to acquire the lease, so that
    /// the VM that ranks first usually gets it.
    const RANK_DELAY_MS: u64 = 20_000;
    /// The time without anything to order after which the lease is released.
    const RELEASE_DELAY_MS: u64 = 20_000;
    /// The interval at which load reports are read while there is something to order.
    const BUSY_READ_MS: u64 = 1_000;
    /// The interval at which the VM that ranks first reads load reports otherwise.
    const FIRST_READ_MS: u64 = 3_000;
    /// The interval at which the other VMs that may acquire the lease read load reports otherwise.
    const OTHER_READ_MS: u64 = 10_000;
    /// The number of VMs that may acquire the lease of a pool.
    pub const CANDIDATES: usize = 3;

    /// Returns the placement of a pool whose servers are not known yet.
    #[must_use]
    pub fn new(own: PeerName, pool: PoolId) -> Self {
        Self {
            lease: PlacementLease::new(own, pool.clone()),
            pool,
            demand: DemandTracker::default(),
            load_limiter: LoadRateLimiter::default(),
            plan: PlacementPlan::default(),
            drains: DrainProgress::default(),
            servers: BTreeMap::new(),
            fence: None,
            needed_since: None,
            last_needed: Millis(0),
            rank: usize::MAX,
            last_reads: None,
        }
    }

    /// Records a load report, if the server is in this pool.
    pub fn on_load_report(&mut self, now: Millis, server: &ServerId, report: &LoadReport) {
        let Some(entry) = self.servers.get_mut(server) else { return };
        entry.read_at = Some(now);
        entry.loaded = report.versions.as_ref().map(|ids| ids.iter().cloned().collect());
        entry.clear_completed_order(now);
    }

    /// Returns whether this VM needs to read the `placement` stream: there is something to order,
    /// or it holds the lease.
    #[must_use]
    pub fn wants_log(&self, now: Millis) -> bool {
        self.needed_since.is_some() || self.lease.fence(now).is_some()
    }

    /// Returns whether it is time to read the load reports of the pool.
    #[must_use]
    pub fn reads_due(&self, now: Millis) -> bool {
        let interval = match self.rank {
            _ if self.wants_log(now) => Self::BUSY_READ_MS,
            0 => Self::FIRST_READ_MS,
            rank if rank < Self::CANDIDATES => Self::OTHER_READ_MS,
            _ => return false,
        };
        self.last_reads.is_none_or(|at| now.since(at).0 >= interval)
    }

    /// Records that the load reports of the pool are being read.
    pub fn record_reads(&mut self, now: Millis) {
        self.last_reads = Some(now);
    }

    /// Updates the plan and the lease, and returns the records, orders and messages that are due.
    /// `orders` counts the orders of this VM.
    pub fn update(
        &mut self,
        now: Millis,
        context: &PoolContext<'_>,
        table: &LeaseTable,
        orders: &mut u64,
    ) -> Vec<PlacementAction> {
        self.rank = context.rank;
        self.update_servers(now, context);
        self.demand.advance(now);
        let view = self.view(now, context);
        self.make_plan(&view);
        self.update_need(now, &view);
        let mut actions = Vec::new();
        let intent = self.lease_intent(now, context.rank);
        actions.extend(self.lease.next_record(now, table, intent).map(PlacementAction::Append));
        let right = self.lease.right(now, table, context.entry().fence_rule);
        self.reset_on_new_fence(right.map(|right| right.fence));
        if let Some(right) = right {
            self.issue_orders(now, context, &view, right, orders, &mut actions);
        }
        actions
    }

    fn update_servers(&mut self, now: Millis, context: &PoolContext<'_>) {
        let listed: BTreeSet<&ServerId> = context.servers.iter().map(|server| &server.id).collect();
        self.servers.retain(|id, _| listed.contains(id));
        for id in listed {
            self.servers.entry(id.clone()).or_insert_with(|| ServerPlacement {
                listed_at: now,
                ..ServerPlacement::default()
            });
        }
    }

    fn view(&self, now: Millis, context: &PoolContext<'_>) -> PlacementView {
        let entry = context.entry();
        let servers = context.servers.iter().filter_map(|server| {
            let reachable = context.data_centres.contains(&server.data_centre);
            self.servers[&server.id].view(now, server, reachable)
        });
        let pool_versions = context.document.versions().filter(|(_, v)| v.pool == self.pool);
        PlacementView {
            slots: entry.slots,
            memory: entry.memory_bytes,
            versions: pool_versions.map(|(id, v)| self.need(context, id, v)).collect(),
            servers: servers.collect(),
        }
    }

    fn need(
        &self,
        context: &PoolContext<'_>,
        id: VersionId,
        entry: &VersionEntry,
    ) -> (VersionId, VersionNeed) {
        const STABLE_COPIES: usize = 2;
        let model = &context.document.models[&id.model];
        let rollout = model.rollout.as_ref().filter(|plan| plan.to == id.version);
        let share = rollout.and_then(|plan| plan.stages.get(plan.stage)).map(|stage| stage.share);
        let min_copies = if model.stable == id.version { STABLE_COPIES } else { 1 };
        let need = VersionNeed {
            state: context.state(&id),
            memory: entry.memory_bytes,
            share: share.unwrap_or_default(),
            min_copies,
            demand: self.demand.get(&id),
        };
        (id, need)
    }

    fn make_plan(&mut self, view: &PlacementView) {
        let plan = PlacementPlan::of(view);
        if plan.unplaced != self.plan.unplaced && !plan.unplaced.is_empty() {
            tracing::warn!(pool = %self.pool, versions = ?plan.unplaced, "no room for further copies of versions");
        }
        self.plan = plan;
    }

    fn update_need(&mut self, now: Millis, view: &PlacementView) {
        let unread = self.servers.values().any(|server| server.is_unread(now));
        let differs = view.servers.iter().any(|server| {
            server.availability == ServerAvailability::Available
                && server.loaded != self.plan.desired[&server.id]
        });
        let pending = self.servers.values().any(|server| server.progress.is_some());
        if !unread && (differs || pending) {
            self.needed_since = self.needed_since.or(Some(now));
            self.last_needed = now;
        } else {
            self.needed_since = None;
        }
    }

    fn lease_intent(&self, now: Millis, rank: usize) -> LeaseIntent {
        let delay = Self::RANK_DELAY_MS.saturating_mul(rank as u64);
        let due = self.needed_since.is_some_and(|since| now.since(since).0 >= delay);
        if due && rank < Self::CANDIDATES {
            LeaseIntent::Hold
        } else if now.since(self.last_needed).0 < Self::RELEASE_DELAY_MS {
            LeaseIntent::Keep
        } else {
            LeaseIntent::Release
        }
    }

    /// Drops the state of pending orders and drains if the fencing number changed.
    fn reset_on_new_fence(&mut self, fence: Option<Fence>) {
        if self.fence == fence {
            return;
        }
        self.fence = fence;
        self.drains = DrainProgress::default();
        for server in self.servers.values_mut() {
            server.progress = None;
            server.pending_fence = None;
            server.fenced_at = None;
        }
    }

    /// Handles an engine's answer to an order, if the order is for this pool.
    pub fn on_order_answer(
        &mut self,
        now: Millis,
        order: OrderId,
        result: &Result<(), OrderError>,
    ) {
        if let (Err(OrderError::OldFence), Some(fence)) = (result, self.fence) {
            self.lease.on_fence_refused(now, fence);
        }
        if let Err(OrderError::Busy { retry_after }) = result {
            self.load_limiter.pause(now, *retry_after);
        }
        for server in self.servers.values_mut() {
            server.on_answer(now, order, result);
        }
    }

    /// Returns the placement for operators, without the VMs that may acquire the lease.
    #[must_use]
    pub fn status(&self, now: Millis, table: &LeaseTable) -> PlacementStatus {
        let state = table.get(&self.pool);
        let servers = self.servers.iter().map(|(id, server)| ServerPlacementStatus {
            server: id.clone(),
            desired: self.plan.desired.get(id).cloned().unwrap_or_default(),
            actual: server.loaded.clone(),
            pending: server.progress.as_ref().map(|progress| progress.versions.clone()),
            draining: self.draining(id),
        });
        PlacementStatus {
            pool: self.pool.clone(),
            holder: state.filter(|state| !state.released).map(|state| state.holder.clone()),
            fence: state.map(|state| state.fence),
            may_order: Vec::new(),
            held_here: self.lease.fence(now).is_some(),
            unplaced: self.plan.unplaced.clone(),
            servers: servers.collect(),
        }
    }

    pub(super) fn draining(&self, server: &ServerId) -> BTreeSet<VersionId> {
        let places = self.drains.places().filter(|place| place.server == *server);
        places.map(|place| place.version.clone()).collect()
    }
}

impl ServerPlacement {
    const LOST_RETRY_MS: u64 = 2_000;
    const REFUSED_RETRY_MS: u64 = 10_000;

    fn on_answer(&mut self, now: Millis, order: OrderId, result: &Result<(), OrderError>) {
        if self.pending_fence.is_some_and(|(id, _)| id == order) && result.is_ok() {
            self.fenced_at = self.fenced_at.or(Some(now));
        }
        let Some(progress) = self.progress.as_mut().filter(|progress| progress.id == order) else {
            return;
        };
        let pause = match result {
            Ok(()) => None,
            Err(OrderError::Expired) => Some(Millis(0)),
            Err(OrderError::Lost { .. }) => Some(Millis(Self::LOST_RETRY_MS)),
            Err(OrderError::Busy { retry_after }) => Some(*retry_after),
            Err(OrderError::Refused { .. } | OrderError::OldFence) => {
                Some(Millis(Self::REFUSED_RETRY_MS))
            }
        };
        progress.state = match pause {
            None => OrderState::Accepted,
            Some(pause) => OrderState::Unconfirmed { again: now + pause },
        };
        if pause.is_none() {
            self.clear_completed_order(now);
        }
    }
}
