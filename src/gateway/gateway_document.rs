use super::*;

/// A configuration of routes and keys that operators published.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayDocument {
    /// The revision; a configuration replaces only those with a lower one.
    pub revision: Revision,
    /// The routes.
    pub routes: RouteTable,
    /// The callers that it admits.
    pub keys: TeamKeys,
    /// The maximum size of a request's body.
    pub body_limit: ByteSize,
    /// The maximum size of a request's head.
    pub head_limit: ByteSize,
    /// The pools whose servers bear only a few requests for a while after their start. Left out if
    /// there is none, so that VMs of an earlier build understand the rest.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub cold_starts: BTreeMap<PoolId, ColdStart>,
}
