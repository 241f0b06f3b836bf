use super::*;

/// An order to an engine. It states what is wanted, so it may be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The order, repeated in its answer.
    pub id: OrderId,
    /// The server of the engine.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// The fencing number of the lease.
    pub fence: Fence,
    /// When the order may no longer be sent, because the lease may have passed on.
    pub expires: Millis,
    /// What is wanted.
    pub kind: OrderKind,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum OrderKind {
    /// Nothing but that the engine refuses older fencing numbers from now on.
    Fence,
    /// That just these versions are loaded.
    Desired {
        /// The versions.
        versions: BTreeSet<VersionId>,
    },
}
