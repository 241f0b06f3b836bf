use super::*;

/// An order to an inference engine. It states the desired result, so it is idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The id, by which the answer is matched to the order.
    pub id: OrderId,
    /// The backend server on which the engine runs.
    pub server: ServerId,
    /// The address of the server.
    pub address: SocketAddr,
    /// The fencing number of the sender's lease.
    pub fence: Fence,
    /// When the order may no longer be sent, because another VM may hold the lease by then.
    pub expires: Millis,
    /// The desired result.
    pub kind: OrderKind,
}

/// The desired result of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum OrderKind {
    /// The engine refuses orders with lower fencing numbers from now on; nothing is loaded or
    /// unloaded.
    Fence,
    /// Exactly these versions are loaded.
    Desired {
        /// The versions to have loaded; all others are unloaded.
        versions: BTreeSet<VersionId>,
    },
}
