use super::*;

/// The state of placement at an entry VM, over all pools.
#[derive(Debug)]
pub struct PlacementState {
    own: PeerName,
    /// The leases according to the records read from the log.
    pub(crate) table: LeaseTable,
    /// The placement in each pool of engines.
    pub(crate) pools: BTreeMap<PoolId, PoolPlacement>,
    /// The versions on which no requests may be started on some servers.
    pub(crate) drains: DrainTable,
    /// The servers whose load reports this VM reads for placement only.
    pub(crate) reads: BTreeSet<ServerId>,
    /// The time of the next call of [`PoolPlacement::update`] for each pool.
    pub(crate) update_at: Millis,
    /// The time of the next demand report.
    pub(crate) report_at: Millis,
    /// The earliest time of the next read of the log; none while a read is pending.
    pub(crate) read_at: Option<Millis>,
    /// Whether the last read returned no records, so that the next one may wait for new ones.
    pub(crate) caught_up: bool,
    /// The number of orders sent so far, from which their ids are made.
    pub(crate) orders: u64,
}

impl PlacementState {
    /// Returns the state of a VM that has just started.
    #[must_use]
    pub fn new(own: PeerName) -> Self {
        Self {
            table: LeaseTable::new(own.clone()),
            own,
            pools: BTreeMap::new(),
            drains: DrainTable::default(),
            reads: BTreeSet::new(),
            update_at: Millis(0),
            report_at: Millis(0),
            read_at: Some(Millis(0)),
            caught_up: false,
            orders: 0,
        }
    }

    /// Returns the stream that holds the lease records.
    ///
    /// # Panics
    ///
    /// Never: the name is valid.
    #[must_use]
    pub fn stream() -> StreamId {
        "placement".parse().expect("the stream name is valid")
    }

    /// Adds the pools of engines in a configuration that are new, and removes those not in it.
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

    /// Updates the pools from a server's load report.
    pub fn on_load_report(&mut self, now: Millis, server: &ServerId, report: &LoadReport) {
        for pool in self.pools.values_mut() {
            pool.on_load_report(now, server, report);
        }
    }

    /// Applies records of the `placement` stream.
    pub fn apply_page(&mut self, now: Millis, page: &LogPage) {
        self.table.skip_to(page.oldest);
        for record in &page.records {
            let Some(folded) = self.table.fold(now, record) else { continue };
            if let Some(pool) = self.pools.get_mut(&folded.record.pool) {
                pool.lease.on_record(now, &folded);
            }
        }
    }

    /// Handles an engine's answer to an order.
    pub fn on_order_answer(
        &mut self,
        now: Millis,
        order: OrderId,
        result: &Result<(), OrderError>,
    ) {
        for pool in self.pools.values_mut() {
            pool.on_order_answer(now, order, result);
        }
    }

    /// Returns the placement in each pool, for operators.
    #[must_use]
    pub fn status(&self, now: Millis) -> Vec<PlacementStatus> {
        self.pools.values().map(|pool| pool.status(now, &self.table)).collect()
    }

    /// Returns whether requests may be started on a version on a server: it is not being drained
    /// there, and it is loaded, provided that the server reports which versions are.
    #[must_use]
    pub fn may_start(&self, now: Millis, server: &ServerState, version: &VersionId) -> bool {
        let reported = server.load.as_ref().and_then(|load| load.versions.as_ref());
        let loaded = reported.is_none_or(|versions| versions.contains(version));
        loaded && !self.drains.is_draining(now, &server.id, version)
    }
}
