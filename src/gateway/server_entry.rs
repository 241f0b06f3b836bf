use super::*;

/// The entry that a backend server registers in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The id of the server.
    pub id: ServerId,
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The version of its software.
    pub software: SmolStr,
    /// The number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: MemberState,
    /// The start time of its process by its wall clock, if it says. A restarted process has lost
    /// the state and requests of the earlier one.
    pub born: Option<Millis>,
    /// The remaining time of its warm-up, during which it is slow.
    pub cold: Millis,
}

/// A change in the list of backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerChange {
    /// A server registered or updated its entry.
    Said(Box<ServerEntry>),
    /// A server's entry was removed.
    Removed(ServerId),
    /// An entry cannot be parsed as a server.
    Unreadable {
        /// The key of the entry.
        key: SmolStr,
        /// The parse error.
        cause: SmolStr,
    },
}
