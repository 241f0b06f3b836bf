use super::*;

/// The placement of versions in one pool, as far as this VM has a part in it.
#[derive(Debug)]
pub struct PoolPlacement {
    pub(super) pool: PoolId,
    pub(crate) lease: PlacementLease,
    pub(crate) demand: DemandTracker,
    pub(super) budget: WeightBudget,
    pub(super) plan: PlacementPlan,
    pub(crate) drains: DrainProgress,
    pub(super) servers: BTreeMap<ServerId, ServerPlacement>,
    fence: Option<Fence>,
    needed_since: Option<Millis>,
    busy_at: Millis,
    rank: usize,
    reads_at: Option<Millis>,
}

/// What this VM knows and has ordered of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerPlacement {
    pub(super) listed: Millis,
    pub(super) read: Option<Millis>,
    pub(super) loaded: Option<BTreeSet<VersionId>>,
    pub(super) progress: Option<OrderProgress>,
    pub(super) fencing: Option<(OrderId, Millis)>,
    pub(super) fenced: Option<Millis>,
}

impl ServerPlacement {
    /// The age from which a report is too old to order by.
    const FRESH_MS: u64 = 12_000;
    /// The age from which a server no longer counts.
    const GONE_MS: u64 = 30_000;

    /// Returns whether the server has yet to be read.
    fn is_unread(&self, now: Millis) -> bool {
        self.read.is_none() && now.since(self.listed).0 < Self::GONE_MS
    }

    fn age(&self, now: Millis) -> Option<u64> {
        self.read.map(|read| now.since(read).0)
    }

    fn view(&self, now: Millis, state: &ServerState, reachable: bool) -> Option<ServerView> {
        let age = self.age(now).filter(|age| *age < Self::GONE_MS)?;
        let reported = self.loaded.as_ref()?;
        let fresh = age < Self::FRESH_MS && reachable;
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
            reach: if fresh { ServerReach::Fresh } else { ServerReach::Late },
            loaded,
            loading,
        })
    }

    /// Forgets an order whose effect shows.
    fn settle(&mut self, now: Millis) {
        let Some(loaded) = &self.loaded else { return };
        if self.progress.as_ref().is_some_and(|progress| progress.is_done(now, loaded)) {
            self.progress = None;
        }
    }
}

impl PoolPlacement {
    /// How long a need must last for each rank before the VM of that rank acts.
    const RANK_DELAY_MS: u64 = 20_000;
    /// The time without a need after which the lease is given up.
    const IDLE_MS: u64 = 20_000;
    /// The time between two reads of a pool's load reports while something is to be ordered.
    const BUSY_READ_MS: u64 = 1_000;
    /// The same at rest, for the VM that ranks first.
    const FIRST_READ_MS: u64 = 3_000;
    /// The same for the other VMs that may order.
    const OTHER_READ_MS: u64 = 10_000;
    /// The VMs that may order in a pool.
    pub const CANDIDATES: usize = 3;

    /// Returns the placement of a pool of which nothing is known.
    #[must_use]
    pub fn new(own: PeerName, pool: PoolId) -> Self {
        Self {
            lease: PlacementLease::new(own, pool.clone()),
            pool,
            demand: DemandTracker::default(),
            budget: WeightBudget::default(),
            plan: PlacementPlan::default(),
            drains: DrainProgress::default(),
            servers: BTreeMap::new(),
            fence: None,
            needed_since: None,
            busy_at: Millis(0),
            rank: usize::MAX,
            reads_at: None,
        }
    }

    /// Takes in a load report.
    pub fn loaded(&mut self, now: Millis, server: &ServerId, report: &LoadReport) {
        let Some(entry) = self.servers.get_mut(server) else { return };
        entry.read = Some(now);
        entry.loaded = report.versions.as_ref().map(|ids| ids.iter().cloned().collect());
        entry.settle(now);
    }

    /// Returns whether this VM has something to read in the `placement` stream for.
    #[must_use]
    pub fn wants_log(&self, now: Millis) -> bool {
        self.needed_since.is_some() || self.lease.fence(now).is_some()
    }

    /// Returns whether the load reports of the pool are to be read now.
    #[must_use]
    pub fn reads_due(&self, now: Millis) -> bool {
        let interval = match self.rank {
            _ if self.wants_log(now) => Self::BUSY_READ_MS,
            0 => Self::FIRST_READ_MS,
            rank if rank < Self::CANDIDATES => Self::OTHER_READ_MS,
            _ => return false,
        };
        self.reads_at.is_none_or(|at| now.since(at).0 >= interval)
    }

    /// Notes that the load reports of the pool are being read.
    pub fn note_reads(&mut self, now: Millis) {
        self.reads_at = Some(now);
    }

    /// Moves the placement on and returns what is to be done.
    pub fn step(
        &mut self,
        now: Millis,
        scene: &PoolScene<'_>,
        table: &LeaseTable,
        orders: &mut u64,
    ) -> Vec<PlacementAction> {
        self.rank = scene.rank;
        self.track_servers(now, scene);
        self.demand.advance(now);
        let view = self.view(now, scene);
        self.make_plan(&view);
        self.note_need(now, &view);
        let mut actions = Vec::new();
        let wish = self.wish(now, scene.rank);
        actions.extend(self.lease.step(now, table, wish).map(PlacementAction::Append));
        let right = self.lease.right(now, table, scene.entry().fence_rule);
        self.begin(right.map(|right| right.fence));
        if let Some(right) = right {
            self.order(now, scene, &view, right, orders, &mut actions);
        }
        actions
    }

    fn track_servers(&mut self, now: Millis, scene: &PoolScene<'_>) {
        let listed: BTreeSet<&ServerId> = scene.servers.iter().map(|server| &server.id).collect();
        self.servers.retain(|id, _| listed.contains(id));
        for id in listed {
            self.servers
                .entry(id.clone())
                .or_insert_with(|| ServerPlacement { listed: now, ..ServerPlacement::default() });
        }
    }

    fn view(&self, now: Millis, scene: &PoolScene<'_>) -> PlacementView {
        let entry = scene.entry();
        let servers = scene.servers.iter().filter_map(|server| {
            let reachable = scene.data_centres.contains(&server.data_centre);
            self.servers[&server.id].view(now, server, reachable)
        });
        let pool_versions = scene.document.versions().filter(|(_, v)| v.pool == self.pool);
        PlacementView {
            slots: entry.slots,
            memory: entry.memory_bytes,
            versions: pool_versions.map(|(id, v)| self.need(scene, id, v)).collect(),
            servers: servers.collect(),
        }
    }

    fn need(
        &self,
        scene: &PoolScene<'_>,
        id: VersionId,
        entry: &VersionEntry,
    ) -> (VersionId, VersionNeed) {
        const STABLE_COPIES: usize = 2;
        let model = &scene.document.models[&id.model];
        let rollout = model.rollout.as_ref().filter(|plan| plan.to == id.version);
        let share = rollout.and_then(|plan| plan.stages.get(plan.stage)).map(|stage| stage.share);
        let least = if model.stable == id.version { STABLE_COPIES } else { 1 };
        let need = VersionNeed {
            state: scene.state(&id),
            memory: entry.memory_bytes,
            share: share.unwrap_or_default(),
            least,
            demand: self.demand.get(&id),
        };
        (id, need)
    }

    fn make_plan(&mut self, view: &PlacementView) {
        let plan = PlacementPlan::of(view);
        if plan.unplaced != self.plan.unplaced && !plan.unplaced.is_empty() {
            tracing::warn!(pool = %self.pool, versions = ?plan.unplaced, "no room to place");
        }
        self.plan = plan;
    }

    fn note_need(&mut self, now: Millis, view: &PlacementView) {
        let unread = self.servers.values().any(|server| server.is_unread(now));
        let differs = view.servers.iter().any(|server| {
            server.reach == ServerReach::Fresh && server.loaded != self.plan.desired[&server.id]
        });
        let pending = self.servers.values().any(|server| server.progress.is_some());
        if !unread && (differs || pending) {
            self.needed_since = self.needed_since.or(Some(now));
            self.busy_at = now;
        } else {
            self.needed_since = None;
        }
    }

    fn wish(&self, now: Millis, rank: usize) -> LeaseWish {
        let delay = Self::RANK_DELAY_MS.saturating_mul(rank as u64);
        let due = self.needed_since.is_some_and(|since| now.since(since).0 >= delay);
        if due && rank < Self::CANDIDATES {
            LeaseWish::Hold
        } else if now.since(self.busy_at).0 < Self::IDLE_MS {
            LeaseWish::Keep
        } else {
            LeaseWish::Release
        }
    }

    /// Forgets what was ordered with another fencing number.
    fn begin(&mut self, fence: Option<Fence>) {
        if self.fence == fence {
            return;
        }
        self.fence = fence;
        self.drains = DrainProgress::default();
        for server in self.servers.values_mut() {
            server.progress = None;
            server.fencing = None;
            server.fenced = None;
        }
    }

    /// Takes in an engine's answer.
    pub fn ordered(&mut self, now: Millis, order: OrderId, result: &Result<(), OrderError>) {
        if let (Err(OrderError::OldFence), Some(fence)) = (result, self.fence) {
            self.lease.refused(now, fence);
        }
        if let Err(OrderError::Busy { retry_after }) = result {
            self.budget.refused(now, *retry_after);
        }
        for server in self.servers.values_mut() {
            server.answered(now, order, result);
        }
    }

    /// Describes the placement.
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
    const LOST_PAUSE_MS: u64 = 2_000;
    const REFUSED_PAUSE_MS: u64 = 10_000;

    fn answered(&mut self, now: Millis, order: OrderId, result: &Result<(), OrderError>) {
        if self.fencing.is_some_and(|(id, _)| id == order) && result.is_ok() {
            self.fenced = self.fenced.or(Some(now));
        }
        let Some(progress) = self.progress.as_mut().filter(|progress| progress.id == order) else {
            return;
        };
        let pause = match result {
            Ok(()) => None,
            Err(OrderError::Expired) => Some(Millis(0)),
            Err(OrderError::Lost { .. }) => Some(Millis(Self::LOST_PAUSE_MS)),
            Err(OrderError::Busy { retry_after }) => Some(*retry_after),
            Err(OrderError::Refused { .. } | OrderError::OldFence) => {
                Some(Millis(Self::REFUSED_PAUSE_MS))
            }
        };
        progress.state = match pause {
            None => OrderState::Accepted,
            Some(pause) => OrderState::Unconfirmed { again: now + pause },
        };
        if pause.is_none() {
            self.settle(now);
        }
    }
}
