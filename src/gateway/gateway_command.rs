use super::*;

/// An action that the gateway's core asks the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayCommand {
    /// Send a request to a backend server.
    Start(Box<RunOrder>),
    /// Deliver a run's answer to the caller.
    Deliver {
        /// The request.
        request: RequestNumber,
        /// The run.
        attempt: AttemptId,
    },
    /// Cancel a run and discard its answer.
    Cancel {
        /// The request.
        request: RequestNumber,
        /// The run.
        attempt: AttemptId,
    },
    /// Let a stalled run continue.
    Continue {
        /// The request.
        request: RequestNumber,
        /// The run.
        attempt: AttemptId,
    },
    /// Send a refusal to the caller.
    Refuse {
        /// The request.
        request: RequestNumber,
        /// The refusal.
        refusal: Refusal,
    },
    /// Break off an answer that has been delivered in part.
    AbortResponse {
        /// The request.
        request: RequestNumber,
    },
    /// Read the store.
    Read(FeedRead),
    /// Append to the store.
    Append {
        /// The record.
        record: StoreRecord,
        /// The end that the stream must have for the append to succeed; none to append in any case.
        at: Option<Offset>,
    },
    /// Poll another entry VM for what it has read from the store.
    AskPeer {
        /// The VM; none if only its address is known.
        peer: Option<VmId>,
        /// The address of its listener for other entry VMs.
        address: SocketAddr,
        /// The poll.
        poll: Box<RelayPoll>,
    },
    /// Answer the poll of another entry VM.
    AnswerPeer {
        /// The call to answer.
        call: CallId,
        /// The answer.
        answer: Box<RelayAnswer>,
    },
    /// Try to connect to a backend server, to learn whether its process still listens.
    Probe {
        /// The server.
        server: ServerId,
        /// Its address.
        address: SocketAddr,
    },
    /// Close the callers' idle connections.
    CloseIdleConnections,
    /// End the process. Repeated while requests may still be read.
    Stop,
}
