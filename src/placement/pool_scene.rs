use super::*;

/// What the placement of one pool looks at, and what it decides.
pub struct PoolScene<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// The configuration in force.
    pub document: &'a ConfigurationDocument,
    /// The live servers of the pool, sorted.
    pub servers: Vec<&'a ServerState>,
    /// The requests of this VM that run, by version and server.
    pub runs: &'a BTreeMap<ServerVersion, u32>,
    /// The other entry VMs on the membership list.
    pub peers: &'a [VmId],
    /// Those of them that were heard of late.
    pub in_reach: &'a BTreeSet<VmId>,
    /// The data centres with an entry VM in reach, with this VM's own; empty if none lists any.
    pub data_centres: &'a BTreeSet<DataCentreId>,
    /// The versions that take no new work.
    pub withdrawn: &'a BTreeSet<VersionId>,
    /// How this VM ranks among those that may order in the pool; zero is first.
    pub rank: usize,
}

impl PoolScene<'_> {
    /// Returns the entry of the pool.
    #[must_use]
    pub fn entry(&self) -> &PoolEntry {
        &self.document.pools[self.pool]
    }

    /// Returns whether a version takes new work.
    #[must_use]
    pub fn state(&self, id: &VersionId) -> VersionState {
        if self.withdrawn.contains(id) { VersionState::Withdrawn } else { VersionState::Live }
    }

    /// Returns a server of the pool.
    #[must_use]
    pub fn server(&self, id: &ServerId) -> Option<&ServerState> {
        self.servers.iter().copied().find(|server| server.id == *id)
    }

    /// Returns whether a server's report says that nothing runs or waits on it.
    #[must_use]
    pub fn is_idle(&self, id: &ServerId) -> bool {
        let load = self.server(id).and_then(|server| server.load.as_ref());
        load.is_some_and(|load| load.running + load.waiting == 0)
    }
}

/// Something that the placement of a pool wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementAction {
    /// Append a record to the `placement` stream.
    Append(LeaseRecord),
    /// Send an order.
    Order(EngineOrder),
    /// Send a message to entry VMs.
    Notify(Vec<VmId>, PlacementMessage),
}
