use super::*;

/// An input of the gateway's core.
#[derive(Clone, Debug)]
pub enum GatewayEvent {
    /// Only time has passed.
    Tick,
    /// The head and body of a caller's request have been read.
    Arrived(Box<RoutedArrival>),
    /// The caller closed its connection before its request was answered.
    CallerGone {
        /// The request.
        request: RequestNumber,
    },
    /// A run of a request reports progress or its end.
    Run {
        /// The request.
        request: RequestNumber,
        /// The attempt within the request.
        attempt: AttemptId,
        /// The report.
        report: RunReport,
    },
    /// A read of the store returned.
    Read {
        /// The stream.
        stream: StoreStream,
        /// The records, or the error.
        answer: FeedAnswer,
    },
    /// An append to the store returned.
    Appended {
        /// The record.
        record: StoreRecord,
        /// The offset after the appended record, or the error.
        result: Result<Offset, StoreError>,
    },
    /// Another entry VM polls this one for what it has read from the store.
    Polled {
        /// The call to answer.
        call: CallId,
        /// The poll.
        poll: Box<RelayPoll>,
    },
    /// A poll of another entry VM was answered or timed out.
    PeerAnswered {
        /// The VM; none if only its address is known.
        peer: Option<VmId>,
        /// The purpose of the poll.
        purpose: PollPurpose,
        /// The answer; none after a timeout.
        answer: Option<Box<RelayAnswer>>,
    },
    /// A backend server sent a hint about itself in the head of an answer.
    ServerHinted {
        /// The server and its start time.
        start: ServerStart,
        /// When the request was sent that it answered.
        sent: Millis,
        /// The hint.
        hint: ServerHint,
    },
    /// A connection attempt to a backend server returned.
    Probed {
        /// The server.
        server: ServerId,
        /// The result.
        result: ProbeResult,
    },
    /// The process was told to shut down gracefully.
    Shutdown,
}
