use super::*;

/// Something that the gateway's core wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayCommand {
    /// Send a request to a backend server.
    Start(Box<RunOrder>),
    /// Give a run's answer to the caller.
    Deliver {
        /// The request.
        request: RequestNumber,
        /// The run.
        attempt: AttemptId,
    },
    /// End a run and drop what it has answered.
    Cancel {
        /// The request.
        request: RequestNumber,
        /// The run.
        attempt: AttemptId,
    },
    /// Let a run go on that has stalled.
    Continue {
        /// The request.
        request: RequestNumber,
        /// The run.
        attempt: AttemptId,
    },
    /// Give a caller its final answer.
    Refuse {
        /// The request.
        request: RequestNumber,
        /// The answer.
        refusal: Refusal,
    },
    /// Break off an answer of which the caller has a part.
    BreakOff {
        /// The request.
        request: RequestNumber,
    },
    /// Read the store.
    Read(FeedRead),
    /// Append to the store.
    Append {
        /// The record.
        record: StoreRecord,
        /// The end that the stream has to have.
        at: Option<Offset>,
    },
    /// Ask another entry VM for what it has read from the store.
    AskPeer {
        /// The VM, if its name is known.
        peer: Option<VmId>,
        /// The address of its listener for other entry VMs.
        address: SocketAddr,
        /// The question.
        poll: Box<RelayPoll>,
    },
    /// Answer another entry VM.
    AnswerPeer {
        /// The call to answer.
        call: CallId,
        /// The answer.
        answer: Box<RelayAnswer>,
    },
    /// Try to connect to a backend server, to learn whether it has ended.
    Probe {
        /// The server.
        server: ServerId,
        /// Its address.
        address: SocketAddr,
    },
    /// Close the callers' connections on which no request is under way.
    HangUpIdle,
    /// End the process.
    Stop,
}
