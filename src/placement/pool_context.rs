use super::*;

/// The state of the cluster from which the placement of one pool is computed.
pub struct PoolContext<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// The configuration in force.
    pub document: &'a ConfigurationDocument,
    /// The live servers of the pool, sorted by id.
    pub servers: Vec<&'a ServerState>,
    /// The number of requests that this VM runs on each version on each server.
    pub runs: &'a BTreeMap<ServerVersion, u32>,
    /// The other entry VMs on the membership list.
    pub peers: &'a [VmId],
    /// Those of the other entry VMs that are in reach.
    pub in_reach: &'a BTreeSet<VmId>,
    /// The data centres in reach: this VM's own, those with an entry VM in reach, and those without
    /// entry VMs.
    pub data_centres: &'a BTreeSet<DataCentreId>,
    /// The versions that are withdrawn.
    pub withdrawn: &'a BTreeSet<VersionId>,
    /// The rank of this VM among those that may acquire the lease of the pool, from zero; the
    /// maximum value if it may not.
    pub rank: usize,
}

impl PoolContext<'_> {
    /// Returns the configuration of the pool.
    #[must_use]
    pub fn entry(&self) -> &PoolEntry {
        &self.document.pools[self.pool]
    }

    /// Returns whether a version is live or withdrawn.
    #[must_use]
    pub fn state(&self, id: &VersionId) -> VersionState {
        if self.withdrawn.contains(id) { VersionState::Withdrawn } else { VersionState::Live }
    }

    /// Returns a live server of the pool by its id.
    #[must_use]
    pub fn server(&self, id: &ServerId) -> Option<&ServerState> {
        self.servers.iter().copied().find(|server| server.id == *id)
    }

    /// Returns whether the last load report of a server shows that no request runs or waits on it.
    #[must_use]
    pub fn is_idle(&self, id: &ServerId) -> bool {
        let load = self.server(id).and_then(|server| server.load.as_ref());
        load.is_some_and(|load| load.running + load.waiting == 0)
    }
}

/// An action that the placement of a pool asks its caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementAction {
    /// Appends a record to the `placement` stream.
    Append(LeaseRecord),
    /// Sends an order to an engine.
    Order(EngineOrder),
    /// Sends a message to some entry VMs.
    Notify(Vec<VmId>, PlacementMessage),
}
