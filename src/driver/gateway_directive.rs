use super::*;

/// What the exchange with a caller of a route is to do.
#[derive(Clone, Debug)]
pub enum GatewayDirective {
    /// Send the request to a backend server.
    Start(Box<RunOrder>),
    /// Give a run's answer to the caller.
    Deliver(AttemptId),
    /// Let a run go on that has stalled.
    Continue(AttemptId),
    /// End a run and drop what it has answered.
    Cancel(AttemptId),
    /// Give the caller its final answer.
    Refuse(Refusal),
    /// Break off an answer of which the caller has a part.
    BreakOff,
}

/// Where the control thread puts directives for one request.
pub type GatewayMailbox = tokio::sync::mpsc::UnboundedSender<GatewayDirective>;
