use super::*;

/// The crash of a server during one run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerCrash {
    /// The server that crashed.
    pub server: ServerId,
    /// The identifier of the run, unique across all entry VMs.
    pub run: u64,
    /// When the run started.
    pub started: Millis,
    /// When the run was broken by the crash.
    pub ended: Millis,
}

impl ServerCrash {
    /// The allowed error of times that VMs exchange. A server needs longer to restart.
    const TIME_ERROR_MS: u64 = 250;

    /// Returns whether another run was broken by the same crash. A crash ends an incarnation of a
    /// server and all of its runs, so that two runs at a server which overlap in time were
    /// broken by the same crash, whenever the VMs noticed it. A run is broken once; its times differ
    /// if the messages about it were delayed.
    #[must_use]
    pub fn is_same_crash(&self, other: &Self) -> bool {
        let error = Millis(Self::TIME_ERROR_MS);
        let is_overlapping =
            self.started <= other.ended + error && other.started <= self.ended + error;
        self.server == other.server && (self.run == other.run || is_overlapping)
    }
}
