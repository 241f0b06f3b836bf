use super::*;

/// The crash events that one entry VM reports to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The events, oldest first.
    pub notices: Vec<CrashReport>,
    /// The sequence number of the last event, as counted by the sending VM.
    pub last: u64,
}

/// One event about a subject that was present when a server crashed. Times are sent as ages, as
/// the VMs' clocks are not synchronized.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashReport {
    /// A server crashed during a run with the subject.
    Ended {
        /// The subject.
        subject: CrashSubject,
        /// The server that crashed.
        server: ServerId,
        /// The identifier of the run, unique across all entry VMs.
        run: u64,
        /// The time since the run started.
        started: Millis,
        /// The time since the run was broken by the crash.
        ended: Millis,
    },
    /// A run with the subject was completely answered.
    Answered {
        /// The subject.
        subject: CrashSubject,
        /// The time since that run started.
        started: Millis,
    },
}
