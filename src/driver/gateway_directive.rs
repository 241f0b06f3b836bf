use super::*;

/// An instruction from the gateway's control thread to the exchange with one caller.
#[derive(Clone, Debug)]
pub enum GatewayDirective {
    /// Start a run: send the request to a backend server.
    Start(Box<RunOrder>),
    /// Send the answer of a run to the caller.
    Deliver(AttemptId),
    /// Let a stalled run continue.
    Continue(AttemptId),
    /// Cancel a run and discard the part of its answer that has not been passed on.
    Cancel(AttemptId),
    /// Answer the caller with a refusal.
    Refuse(Refusal),
    /// Abort the connection of a caller that has received a part of the answer.
    AbortResponse,
}

/// The channel through which the control thread sends directives for one request.
pub type GatewayMailbox = tokio::sync::mpsc::UnboundedSender<GatewayDirective>;
