use super::*;

/// How often a request of a route may run, and the form of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request must run at most once.
    Once,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another server can resume the stream after the last event that arrived.
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

/// The weight of a pool in a route's traffic split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolWeight {
    /// The pool.
    pub pool: PoolId,
    /// Its weight relative to the other pools of the route.
    pub weight: f64,
}

/// A route that operators published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// The name, used in logs.
    pub name: SmolStr,
    /// The host name of the requests, in lower case and without a port.
    pub host: SmolStr,
    /// The prefix of the paths; begins and ends with a slash.
    pub prefix: SmolStr,
    /// How often a request may run.
    pub kind: RouteKind,
    /// The maximum duration of a request.
    pub timeout: Millis,
    /// The time within which an answer, or its first event, is on time.
    pub objective: Millis,
    /// The longest pause between two events of a stream that callers accept; none if operators set
    /// none.
    pub pause: Option<Millis>,
    /// The maximum number of runs of one request, not counting those that were never sent.
    pub attempt_limit: u32,
    /// The rank of its requests; 0 is the most urgent.
    pub rank: u8,
    /// Whether requests are accepted without an API key.
    pub keyless: bool,
    /// The pools that serve the route.
    pub pools: Vec<PoolWeight>,
    /// The models that may answer, smallest first; empty if callers name the model.
    pub models: Vec<ModelId>,
}
