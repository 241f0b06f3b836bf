use super::*;

/// What a placement plan is made from.
#[derive(Clone, Debug, Default)]
pub struct PlacementView {
    /// The requests that one server runs at the same time.
    pub slots: u32,
    /// The memory of one server; zero if it is not to be counted.
    pub memory: ByteSize,
    /// The versions of the pool in the configuration.
    pub versions: BTreeMap<VersionId, VersionNeed>,
    /// The live servers of the pool, sorted.
    pub servers: Vec<ServerView>,
}

/// What is needed of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VersionNeed {
    /// Whether it takes new work.
    pub state: VersionState,
    /// The memory that it takes on a server.
    pub memory: ByteSize,
    /// The share of the servers that its roll-out stage asks for.
    pub share: Share,
    /// The least copies, as far as there are servers.
    pub least: usize,
    /// The requests that run or wait at the same time.
    pub demand: f64,
}

impl VersionNeed {
    /// Returns whether the version takes new work.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.state == VersionState::Live
    }
}

/// What is known of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// The server.
    pub id: ServerId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it can be ordered.
    pub reach: ServerReach,
    /// The versions that are loaded and not ordered away.
    pub loaded: BTreeSet<VersionId>,
    /// The versions that are ordered and not loaded yet.
    pub loading: BTreeSet<VersionId>,
}

/// Whether a server can be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerReach {
    /// Its report is fresh, and its data centre in reach.
    Fresh,
    /// Its report is late; it gets no orders.
    Late,
}

impl ServerView {
    /// Returns whether the server has or will have a version.
    #[must_use]
    pub fn has(&self, version: &VersionId) -> bool {
        self.loaded.contains(version) || self.loading.contains(version)
    }
}
