use super::*;

/// An order to send a request to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct RunOrder {
    /// The request.
    pub request: RequestNumber,
    /// The attempt within the request.
    pub attempt: AttemptId,
    /// The server.
    pub server: ServerId,
    /// When it started, by its own clock.
    pub born: Option<Millis>,
    /// Its address.
    pub address: SocketAddr,
    /// Whether the request may run at most once.
    pub repeat: RepeatRule,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// The time without a whole new event after which a stream that has begun counts as stalled.
    pub stall: Option<Millis>,
    /// The time that the server has.
    pub time_left: Millis,
    /// The model that is to answer, where the router chooses it.
    pub model: Option<ModelId>,
    /// The rank of the request in the engine's queue.
    pub rank: Option<u8>,
    /// The team that the request belongs to.
    pub team: Option<TeamId>,
    /// The last event that the caller has; the server goes on after it.
    pub after_event: Option<u64>,
}
