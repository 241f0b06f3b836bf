use super::*;

/// How often the requests of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Once,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another server may go on after the last event that arrived.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run again after it may have run.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A pool's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolWeight {
    /// The pool.
    pub pool: PoolId,
    /// Its part, relative to the other pools of the route.
    pub weight: f64,
}

/// A route that operators have published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// The name, for logs.
    pub name: SmolStr,
    /// The host that callers name, in lower case.
    pub host: SmolStr,
    /// The start of the paths; begins and ends with a slash.
    pub prefix: SmolStr,
    /// How often a request may run.
    pub kind: RouteKind,
    /// The longest time that a request is kept waiting.
    pub timeout: Millis,
    /// The time within which an answer, or its first event, is on time.
    pub objective: Millis,
    /// The longest pause between two events of a stream that callers accept, if operators say.
    pub pause: Option<Millis>,
    /// The servers to which one request may be sent.
    pub attempt_limit: u32,
    /// The rank; 0 goes first.
    pub rank: u8,
    /// Whether requests need no key.
    pub keyless: bool,
    /// The pools that serve the route.
    pub pools: Vec<PoolWeight>,
    /// The models that may answer, smallest first; empty if callers name the model.
    pub models: Vec<ModelId>,
}
