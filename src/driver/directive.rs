use super::*;

/// An instruction from the control thread to the task that serves a request.
#[derive(Clone, Debug)]
pub enum Directive {
    /// Start an attempt.
    Start(Box<AttemptStart>),
    /// Send the buffered answer of an attempt to the caller.
    Release(AttemptId),
    /// Cancel an attempt and discard its answer.
    Cancel(AttemptId),
    /// Answer the caller with a refusal.
    Refuse(Refusal),
    /// Answer with the list of models that the team may use.
    ListModels(Vec<SmolStr>),
    /// Answer with a newly issued ticket.
    Ticket(SmolStr),
    /// Answer with the stored answer of an earlier request that had the same idempotency key.
    Replay {
        /// The earlier request.
        first: RequestNumber,
        /// The refusal to send if that answer is no longer stored.
        otherwise: Refusal,
    },
    /// Forward the request to another entry VM and return its answer.
    Forward {
        /// The address of that VM's listener for peers.
        address: SocketAddr,
        /// The refusal to send if that VM cannot be reached.
        otherwise: Refusal,
    },
}

/// The channel through which the control thread sends directives for one request.
pub type RequestMailbox = tokio::sync::mpsc::UnboundedSender<Directive>;
