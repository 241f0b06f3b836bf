use super::*;

/// What a backend server has said of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The version of its software.
    pub software: SmolStr,
    /// The requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: MemberState,
    /// Its start, by its wall clock; a later one knows nothing of an earlier one.
    pub born: Option<Millis>,
    /// How much longer it is slow after its start.
    pub cold: Millis,
}

/// A change in the list of backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerChange {
    /// A server has said something of itself.
    Said(Box<ServerEntry>),
    /// A server's entry has been removed.
    Removed(ServerId),
    /// An entry names no server that can be used.
    Unreadable {
        /// The key of the entry.
        key: SmolStr,
        /// What is wrong with it.
        cause: SmolStr,
    },
}
