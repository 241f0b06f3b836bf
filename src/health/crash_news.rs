use super::*;

/// What one entry VM tells another about requests under which servers have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// The events, oldest first.
    pub notices: Vec<CrashNotice>,
    /// The number of the last of them at the VM that tells.
    pub last: u64,
}

/// One event about a request under which servers have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashNotice {
    /// A server ended while it ran the request.
    Ended {
        /// The request.
        fingerprint: RequestFingerprint,
        /// The server.
        server: ServerId,
        /// The run, unique over all entry VMs.
        run: u64,
        /// How long ago the run started.
        started: Millis,
        /// How long ago it broke.
        ended: Millis,
    },
    /// The request was answered whole.
    Answered {
        /// The request.
        fingerprint: RequestFingerprint,
        /// How long ago.
        since: Millis,
    },
}
