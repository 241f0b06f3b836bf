use super::*;

/// What a request's traffic task is to do.
#[derive(Clone, Debug)]
pub enum Directive {
    /// Start an attempt.
    Start(Box<AttemptStart>),
    /// Send a held attempt's answer to the caller.
    Release(AttemptId),
    /// Cancel an attempt and drop its answer.
    Cancel(AttemptId),
    /// Give the caller its final answer.
    Refuse(Refusal),
    /// Answer with the models that the team may use.
    ListModels(Vec<SmolStr>),
    /// Answer with a ticket.
    Ticket(SmolStr),
    /// Answer with the kept answer of an earlier request.
    Replay {
        /// The earlier request.
        first: RequestNumber,
        /// The answer if that one is no longer kept.
        otherwise: Refusal,
    },
    /// Have another entry VM answer.
    Forward {
        /// The address of that VM's listener for peers.
        address: SocketAddr,
        /// The answer if that VM cannot be asked.
        otherwise: Refusal,
    },
}

/// Where the control thread puts directives for one request.
pub type RequestMailbox = tokio::sync::mpsc::UnboundedSender<Directive>;
