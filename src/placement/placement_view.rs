use super::*;

/// The input of a placement plan.
#[derive(Clone, Debug, Default)]
pub struct PlacementView {
    /// The number of requests that one server runs at the same time.
    pub slots: u32,
    /// The memory of one server; zero means that memory is no limit.
    pub memory: ByteSize,
    /// The versions of the pool in the configuration.
    pub versions: BTreeMap<VersionId, VersionNeed>,
    /// The live servers of the pool whose loaded versions are known, sorted by id.
    pub servers: Vec<ServerView>,
}

/// The requirements of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VersionNeed {
    /// Whether it is live or withdrawn.
    pub state: VersionState,
    /// The memory that it needs on a server.
    pub memory: ByteSize,
    /// The share of the servers that should have it at its roll-out stage.
    pub share: Share,
    /// The minimum number of copies, limited by the number of servers.
    pub min_copies: usize,
    /// The smoothed number of requests that run or wait at the same time.
    pub demand: f64,
}

impl VersionNeed {
    /// Returns whether the version takes new requests.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.state == VersionState::Live
    }
}

/// The known state of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// The id of the server.
    pub id: ServerId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether orders can be sent to it.
    pub availability: ServerAvailability,
    /// The versions that are loaded and not being unloaded by a pending order.
    pub loaded: BTreeSet<VersionId>,
    /// The versions that a pending order asks for and that are not loaded yet.
    pub loading: BTreeSet<VersionId>,
}

/// Whether orders can be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAvailability {
    /// The load report is recent and the data centre is in reach.
    Available,
    /// The load report is old or the data centre out of reach; no orders are sent.
    Unavailable,
}

impl ServerView {
    /// Returns whether the server has a version or is loading it.
    #[must_use]
    pub fn has_or_loads(&self, version: &VersionId) -> bool {
        self.loaded.contains(version) || self.loading.contains(version)
    }
}
