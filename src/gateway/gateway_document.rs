use super::*;

/// The configuration of routes that operators have published.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayDocument {
    /// The revision, which only rises.
    pub revision: Revision,
    /// The routes.
    pub routes: RouteTable,
    /// The teams by their keys; empty if no request needs a key.
    pub keys: BTreeMap<SmolStr, KeyHolder>,
    /// The largest body of a request.
    pub body_limit: ByteSize,
    /// The largest head of a request.
    pub head_limit: ByteSize,
}

/// The team that holds a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHolder {
    /// The team.
    pub team: TeamId,
    /// The team's rank, which goes before that of a route.
    pub rank: Option<u8>,
}
