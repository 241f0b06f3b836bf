use super::*;

/// What entry VMs tell each other about placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementMessage {
    /// The sender's demand in a pool, for the VMs that may order there.
    Demand {
        /// The pool.
        pool: PoolId,
        /// The demand for each version.
        busy: Vec<VersionBusy>,
    },
    /// The holder is about to unload versions: start nothing there and say what still runs.
    Drain {
        /// The pool.
        pool: PoolId,
        /// The holder's fencing number.
        fence: Fence,
        /// What is drained.
        drains: Vec<ServerVersion>,
    },
    /// What still runs where the holder drains.
    Runs {
        /// The pool.
        pool: PoolId,
        /// The fencing number of the holder that asked.
        fence: Fence,
        /// The requests of the sender.
        runs: Vec<VersionRuns>,
    },
}

/// The demand for a version at one entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionBusy {
    /// The version.
    pub version: VersionId,
    /// The requests that run or wait.
    pub busy: u32,
}

/// A version on a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerVersion {
    /// The server.
    pub server: ServerId,
    /// The version.
    pub version: VersionId,
}

/// The requests that run on a version of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRuns {
    /// The version and its server.
    pub place: ServerVersion,
    /// The requests.
    pub runs: u32,
}
