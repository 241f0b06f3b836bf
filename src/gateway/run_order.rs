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
    /// When the server's process started, by the server's clock; none if it does not say.
    pub born: Option<Millis>,
    /// The server's address.
    pub address: SocketAddr,
    /// Whether the request may run at most once.
    pub repeat: RepeatRule,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// The time without a complete new event after which a stream that has begun counts as stalled;
    /// none if it never does.
    pub stall: Option<Millis>,
    /// The time left until the request's deadline.
    pub time_left: Millis,
    /// The model that answers, if the router chose it.
    pub model: Option<ModelId>,
    /// The rank of the request in the engine's queue, 0 first; none for a plain service.
    pub rank: Option<u8>,
    /// The team that the request belongs to; none if the route accepts requests without a key.
    pub team: Option<TeamId>,
    /// The last event delivered to the caller; the server resumes the stream after it.
    pub after_event: Option<u64>,
    /// When the order was given, by the core's clock.
    pub sent: Millis,
    /// Whether the server has a request limit, or could not be reached before, as far as this VM
    /// knows, so that an answer that states nothing matters too.
    pub is_limited: bool,
}
