use super::*;

/// A configuration of routes and keys that operators published.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayDocument {
    /// The revision; a configuration replaces only those with a lower one.
    pub revision: Revision,
    /// The routes.
    pub routes: RouteTable,
    /// The teams by API key; if it is empty, no request needs a key.
    pub keys: BTreeMap<SmolStr, KeyHolder>,
    /// The maximum size of a request's body.
    pub body_limit: ByteSize,
    /// The maximum size of a request's head.
    pub head_limit: ByteSize,
}

/// The holder of an API key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHolder {
    /// The team.
    pub team: TeamId,
    /// The rank of the team's requests, which overrides that of the route; 0 is the most urgent.
    pub rank: Option<u8>,
}
