use super::*;

/// The configuration of routes that operators have published.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayDocument {
    /// The revision, which only rises.
    pub revision: Revision,
    /// The routes.
    pub routes: RouteTable,
    /// The pools of backend servers.
    pub pools: BTreeMap<PoolId, PoolShape>,
    /// The teams by their keys; empty if no request needs a key.
    pub keys: BTreeMap<SmolStr, KeyHolder>,
    /// The largest body of a request.
    pub body_limit: ByteSize,
    /// The largest head of a request.
    pub head_limit: ByteSize,
}

/// What is published of a pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolShape {
    /// The connections that one server takes from all callers.
    pub connection_limit: u32,
    /// The shape of the pool's engines; none for a plain service.
    pub engine: Option<EngineShape>,
}

/// What is published of model engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineShape {
    /// The requests that an engine runs at the same time.
    pub slots: u32,
    /// The tokens that fit into an engine's KV cache.
    pub cache_tokens: Tokens,
}

/// The team that holds a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHolder {
    /// The team.
    pub team: TeamId,
    /// The team's rank, which goes before that of a route.
    pub rank: Option<u8>,
}
