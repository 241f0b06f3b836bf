use super::*;

/// An input of the control core.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; periodic work and timers are due.
    Tick,
    /// A caller's request has been read.
    Arrived(Arrival),
    /// The caller of a request closed its connection.
    CallerGone {
        /// The request on this VM.
        request: RequestNumber,
    },
    /// An attempt reports how far it is.
    Attempt {
        /// The request on this VM.
        request: RequestNumber,
        /// The attempt within the request.
        attempt: AttemptId,
        /// What has happened to the attempt.
        report: AttemptReport,
    },
    /// A read of a log stream returned.
    LogRead {
        /// The stream of the log.
        stream: StreamId,
        /// The records, or why the read failed.
        result: Result<LogPage, PlatformError>,
    },
    /// An append to the log returned.
    Appended {
        /// The append, as given in [`Command::Append`].
        append: AppendId,
        /// The offset of its first record, or why the append failed or its result is unknown.
        result: Result<Offset, PlatformError>,
    },
    /// The membership list was read.
    MembersRead(Result<MembershipList, PlatformError>),
    /// A backend server's load report was read.
    LoadReportRead {
        /// The backend server.
        server: ServerId,
        /// The report, or why the read failed.
        result: Result<LoadReport, PlatformError>,
    },
    /// The rating service rated an answer.
    Rated {
        /// The request on this VM.
        request: RequestNumber,
        /// The attempt within the request whose answer was rated.
        attempt: AttemptId,
        /// The score from 0 to 1, or why the rating failed.
        result: Result<Share, PlatformError>,
    },
    /// An operator's call has arrived.
    OperatorCall {
        /// The call, which [`Command::AnswerOperator`] repeats.
        call: CallId,
        /// What the operator asks for.
        request: OperatorRequest,
    },
    /// An engine answered an order.
    OrderAnswered {
        /// The order, as given in [`Command::Order`].
        order: OrderId,
        /// Whether the engine accepted the order.
        result: Result<(), OrderError>,
    },
    /// A message from another entry VM has arrived and been authenticated.
    FromPeer {
        /// The sender and its incarnation.
        from: PeerName,
        /// What was sent.
        message: PeerMessage,
    },
    /// A message to another entry VM was certainly not delivered.
    SendFailed {
        /// The entry VM that it was sent to.
        to: VmId,
    },
    /// Another entry VM has answered a request that was forwarded to it, or the forwarding failed.
    Forwarded {
        /// The request on this VM.
        request: RequestNumber,
    },
    /// A reading of the wall clock, which may jump.
    WallClock {
        /// The time since 1970.
        unix: Millis,
    },
    /// The process has been told to shut down.
    Shutdown,
}

/// A caller's request as the control core sees it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request on this VM.
    pub request: RequestNumber,
    /// The SHA-256 of the bearer key; none if the caller sent no key.
    pub key: Option<SmolStr>,
    /// What the caller asks for.
    pub target: ArrivalTarget,
    /// Whether the answer is streamed to the caller.
    pub mode: AnswerMode,
    /// The size of the prompt.
    pub prompt_tokens: Tokens,
    /// The most tokens that may be generated; 0 if the caller gave no limit.
    pub max_tokens: Tokens,
    /// A hash of the start of the prompt, equal for requests that can share a cached prefix; 0 if
    /// unknown.
    pub prefix: u64,
    /// A hash of method, path and body, equal when a caller sends the same request again.
    pub fingerprint: u64,
    /// The session token or id that the caller sent; none without a session.
    pub session: Option<SmolStr>,
    /// The idempotency key that the caller sent; none if it sent none.
    pub idempotency_key: Option<SmolStr>,
    /// How long the caller waits for its answer; the team's default if none.
    pub deadline: Option<Millis>,
    /// Whether the request came from its caller or was forwarded.
    pub source: ArrivalSource,
}

/// Where a request was received from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ArrivalSource {
    /// The caller itself.
    #[default]
    Caller,
    /// Another entry VM that forwarded the request; it is not forwarded again.
    Peer,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArrivalTarget {
    /// A model: a model's name, `model@version` or `auto`.
    Model(SmolStr),
    /// A service that is no model.
    Service(SmolStr),
    /// The list of models that the team may use.
    ModelList,
    /// A ticket to use as the idempotency key of a later request.
    Ticket,
}

/// Whether an answer is streamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AnswerMode {
    /// The answer is one body.
    Whole,
    /// The answer is a stream of server-sent events.
    Stream,
}

/// A report of an attempt's progress.
#[derive(Clone, Debug)]
pub enum AttemptReport {
    /// The first byte is about to be written to the backend server; from here on the request may
    /// run.
    Writing,
    /// The head of the answer has arrived.
    Head,
    /// Tokens have arrived since the last report.
    Progress {
        /// The tokens that the attempt has generated so far.
        output_tokens: Tokens,
    },
    /// The attempt has ended.
    Ended(AttemptOutcome),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The whole answer has arrived.
    Whole {
        /// The HTTP status of the answer.
        status: u16,
        /// The tokens that the server reported.
        usage: TokenUsage,
    },
    /// The answer is missing or incomplete.
    Failed {
        /// Why the attempt failed.
        fault: AttemptFault,
        /// The tokens that had been generated until then.
        output_tokens: Tokens,
    },
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptFault {
    /// No connection could be opened; nothing was written.
    Unreachable,
    /// The server answered that it did not accept the request.
    Declined,
    /// The connection closed before the answer ended.
    Closed,
    /// There was no progress within the pool's `progress_timeout_ms`.
    Silent,
    /// The answer ended before it was complete.
    Truncated,
    /// The answer violates the protocol.
    Malformed,
    /// The answer exceeds the size limit.
    TooLong,
    /// This VM has no memory left to hold the answer.
    OutOfMemory,
    /// The server answered with a status of 500 or more.
    ServerError,
    /// The attempt was cancelled by this VM.
    Cancelled,
}

impl Display for AttemptFault {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Unreachable => "unreachable",
            Self::Declined => "declined",
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::Truncated => "truncated",
            Self::Malformed => "malformed",
            Self::TooLong => "too-long",
            Self::OutOfMemory => "out-of-memory",
            Self::ServerError => "server-error",
            Self::Cancelled => "cancelled",
        })
    }
}

/// The tokens that an answer used, as the server reported them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// The tokens of the prompt; 0 if not reported.
    pub prompt: Tokens,
    /// The tokens generated.
    pub output: Tokens,
}
