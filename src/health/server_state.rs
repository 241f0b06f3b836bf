use super::*;

/// A backend server as this entry VM sees it.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// The server.
    pub id: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its pool.
    pub pool: PoolId,
    /// Whether it takes new work.
    pub member: MemberState,
    /// The short requests of this entry VM that run on it.
    pub short: u32,
    /// The long requests of this entry VM that run on it.
    pub long: u32,
    /// The last load report.
    pub load: Option<LoadReport>,
    /// What went wrong last, if nothing has gone right since.
    pub trouble: Option<ServerTrouble>,
}

impl ServerState {
    /// Returns the requests of this entry VM that run on the server.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.short + self.long
    }
}

/// A server's last trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerTrouble {
    /// What went wrong.
    pub fault: AttemptFault,
    /// How often in a row.
    pub times: u32,
    /// When the server may be tried again.
    pub until: Millis,
}
