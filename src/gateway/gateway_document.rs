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
}
