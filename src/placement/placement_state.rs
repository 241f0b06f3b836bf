use super::*;

/// What an entry VM knows of placement, over all pools.
#[derive(Debug)]
pub struct PlacementState {
    own: PeerName,
    /// The leases as the log has them.
    pub(crate) table: LeaseTable,
    /// The pools of engines.
    pub(crate) pools: BTreeMap<PoolId, PoolPlacement>,
    /// The versions that must not be started on some servers.
    pub(crate) drains: DrainTable,
    /// The servers whose reports this VM reads for placement only.
    pub(crate) reads: BTreeSet<ServerId>,
    /// The time of the next step.
    pub(crate) step_at: Millis,
    /// The time of the next demand report.
    pub(crate) report_at: Millis,
    /// The time of the next read of the log; none while one is under way.
    pub(crate) read_at: Option<Millis>,
    /// Whether the last read returned all that there was.
    pub(crate) caught_up: bool,
    /// The orders so far.
    pub(crate) orders: u64,
}

impl PlacementState {
    /// Returns the state of a VM that knows nothing yet.
    #[must_use]
    pub fn new(own: PeerName) -> Self {
        Self {
            table: LeaseTable::new(own.clone()),
            own,
            pools: BTreeMap::new(),
            drains: DrainTable::default(),
            reads: BTreeSet::new(),
            step_at: Millis(0),
            report_at: Millis(0),
            read_at: Some(Millis(0)),
            caught_up: false,
            orders: 0,
        }
    }

    /// Returns the name of the stream of lease records.
    ///
    /// # Panics
    ///
    /// Never: the name is valid.
    #[must_use]
    pub fn stream() -> StreamId {
        "placement".parse().expect("the stream name is valid")
    }

    /// Keeps just the pools of engines of a document.
    pub fn configure(&mut self, document: &ConfigurationDocument) {
        let is_engine =
            |id: &PoolId| document.pools.get(id).is_some_and(|pool| pool.kind == PoolKind::Engine);
        self.pools.retain(|id, _| is_engine(id));
        for id in document.pools.keys().filter(|id| is_engine(id)) {
            self.pools
                .entry(id.clone())
                .or_insert_with(|| PoolPlacement::new(self.own.clone(), id.clone()));
        }
    }

    /// Takes in a load report.
    pub fn loaded(&mut self, now: Millis, server: &ServerId, report: &LoadReport) {
        for pool in self.pools.values_mut() {
            pool.loaded(now, server, report);
        }
    }

    /// Takes in the records of the `placement` stream.
    pub fn read(&mut self, now: Millis, page: &LogPage) {
        self.table.skip_to(page.oldest);
        for record in &page.records {
            let Some(folded) = self.table.fold(now, record) else { continue };
            if let Some(pool) = self.pools.get_mut(&folded.record.pool) {
                pool.lease.folded(now, &folded);
            }
        }
    }

    /// Takes in an engine's answer.
    pub fn ordered(&mut self, now: Millis, order: OrderId, result: &Result<(), OrderError>) {
        for pool in self.pools.values_mut() {
            pool.ordered(now, order, result);
        }
    }

    /// Describes the placement in each pool.
    #[must_use]
    pub fn status(&self, now: Millis) -> Vec<PlacementStatus> {
        self.pools.values().map(|pool| pool.status(now, &self.table)).collect()
    }

    /// Returns whether a version may be started on a server: it is not being drained there, and
    /// it is loaded if the server says what is.
    #[must_use]
    pub fn may_start(&self, now: Millis, server: &ServerState, version: &VersionId) -> bool {
        let reported = server.load.as_ref().and_then(|load| load.versions.as_ref());
        let loaded = reported.is_none_or(|versions| versions.contains(version));
        loaded && !self.drains.drains(now, &server.id, version)
    }
}
