use super::*;

/// The platform's membership list, which lags behind the actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipList {
    /// The entry VMs on the list.
    pub entry_vms: Vec<VmMember>,
    /// The backend servers on the list.
    pub backend_servers: Vec<ServerMember>,
}

/// An entry VM on the membership list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmMember {
    /// The id of the VM.
    pub id: VmId,
    /// The address of its listener for peers.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Whether it takes new work or is shutting down.
    pub state: MemberState,
}

/// A backend server on the membership list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerMember {
    /// The id of the server.
    pub id: ServerId,
    /// The address that takes requests.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentreId,
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// Whether it takes new work or is shutting down.
    pub state: MemberState,
}

/// Whether a VM or server takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member takes new work.
    #[default]
    Live,
    /// The member is shutting down: it finishes its work and takes no more.
    Leaving,
}

/// A backend server's load report, which lags behind the actual load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The free share of the KV cache, from 0 to 1.
    pub kv_free: f64,
    /// The time of the report by the server's clock.
    pub as_of_ms: Millis,
    /// The loaded versions; none if the server does not report them.
    #[serde(default)]
    pub versions: Option<Vec<VersionId>>,
    /// Whether the server is shutting down and takes no new requests; false if absent.
    #[serde(default)]
    pub leaving: bool,
}
