use super::*;

/// A message between entry VMs about placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementMessage {
    /// The sender's demand in a pool, for the VMs that may acquire the pool's lease.
    Demand {
        /// The pool.
        pool: PoolId,
        /// The demand for each version.
        busy: Vec<VersionBusy>,
    },
    /// Tells that the holder of the lease is about to unload versions. The receiver must not start
    /// requests on them and reports how many of its own still run.
    Drain {
        /// The pool.
        pool: PoolId,
        /// The fencing number of the holder.
        fence: Fence,
        /// The versions to drain, with their servers.
        drains: Vec<ServerVersion>,
    },
    /// Reports the requests that still run on the versions that the holder drains.
    Runs {
        /// The pool.
        pool: PoolId,
        /// The fencing number of the holder that sent the notice.
        fence: Fence,
        /// The sender's running requests on each drained version.
        runs: Vec<VersionRuns>,
    },
}

/// The demand for a version at one entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionBusy {
    /// The version.
    pub version: VersionId,
    /// The number of requests that run or wait.
    pub busy: u32,
}

/// A version on one backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerVersion {
    /// The server.
    pub server: ServerId,
    /// The version.
    pub version: VersionId,
}

/// The number of requests that one entry VM runs on a version on one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRuns {
    /// The version and the server.
    pub place: ServerVersion,
    /// The number of requests; zero if it is drained at the sender.
    pub runs: u32,
}
