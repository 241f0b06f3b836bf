use super::*;

/// The platform's list of VMs, which lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipList {
    /// The entry VMs.
    pub entry_vms: Vec<VmMember>,
    /// The backend servers.
    pub backend_servers: Vec<ServerMember>,
}

/// An entry VM on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmMember {
    /// The VM.
    pub id: VmId,
    /// The address of its listener for peers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it is leaving.
    pub state: MemberState,
}

/// A backend server on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerMember {
    /// The server.
    pub id: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its pool.
    pub pool: PoolId,
    /// Whether it is leaving.
    pub state: MemberState,
}

/// Whether a VM or server is leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It takes new work.
    #[default]
    Live,
    /// It takes no new work.
    Leaving,
}

/// A backend server's load report, which lags.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The requests that run.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
    /// The share of the cache that is free.
    pub kv_free: f64,
    /// The time of the report by the server's clock.
    pub as_of_ms: Millis,
    /// The versions that are loaded, if the server says so.
    #[serde(default)]
    pub versions: Option<Vec<VersionId>>,
    /// Whether the server is leaving.
    #[serde(default)]
    pub leaving: bool,
}
