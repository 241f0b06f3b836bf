use super::*;

/// Something that the gateway's core learns.
#[derive(Clone, Debug)]
pub enum GatewayEvent {
    /// Time has passed.
    Tick,
    /// A caller's request has been read.
    Arrived(Box<RoutedArrival>),
    /// The caller of a request closed its connection.
    CallerGone {
        /// The request.
        request: RequestNumber,
    },
    /// A run of a request reports how far it is.
    Run {
        /// The request.
        request: RequestNumber,
        /// The attempt within the request.
        attempt: AttemptId,
        /// What happened.
        report: RunReport,
    },
    /// A read of the store returned.
    Read {
        /// The stream.
        stream: StoreStream,
        /// The records, or why there are none.
        answer: FeedAnswer,
    },
    /// An append to the store returned.
    Appended {
        /// The record.
        record: StoreRecord,
        /// The stream's end, or why that is not known.
        result: Result<Offset, StoreError>,
    },
    /// Another entry VM asks for what this one has read from the store.
    Polled {
        /// The call to answer.
        call: CallId,
        /// The question.
        poll: Box<RelayPoll>,
    },
    /// Another entry VM was asked.
    PeerAnswered {
        /// The VM, if its name is known.
        peer: Option<VmId>,
        /// What it was asked for.
        purpose: PollPurpose,
        /// The answer; none if there was none in time.
        answer: Option<Box<RelayAnswer>>,
    },
    /// A backend server has said something of itself in the head of an answer.
    ServerHinted {
        /// The server.
        start: ServerStart,
        /// What it said.
        hint: ServerHint,
    },
    /// A backend server was probed.
    Probed {
        /// The server.
        server: ServerId,
        /// What came of it.
        result: ProbeResult,
    },
    /// The process was told to end after its work.
    Shutdown,
}
