use super::*;

/// Something that the control core learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A caller's request has been read.
    Arrived(Arrival),
    /// The caller of a request closed its connection.
    CallerGone {
        /// The request.
        request: RequestNumber,
    },
    /// An attempt reports how far it is.
    Attempt {
        /// The request.
        request: RequestNumber,
        /// The attempt within the request.
        attempt: AttemptId,
        /// What happened.
        report: AttemptReport,
    },
    /// A read of a log stream returned.
    Read {
        /// The stream.
        stream: StreamId,
        /// The records, or why there are none.
        result: Result<LogPage, PlatformError>,
    },
    /// An append to the log returned.
    Appended {
        /// The append.
        append: AppendId,
        /// The offset of its first record, or why that is not known.
        result: Result<Offset, PlatformError>,
    },
    /// The membership list was read.
    Listed(Result<MembershipList, PlatformError>),
    /// A backend server's load report was read.
    Loaded {
        /// The server.
        server: ServerId,
        /// The report, or why there is none.
        result: Result<LoadReport, PlatformError>,
    },
    /// The rating service rated an answer.
    Rated {
        /// The request.
        request: RequestNumber,
        /// The attempt whose answer was rated.
        attempt: AttemptId,
        /// The score between 0 and 1, or why there is none.
        result: Result<Share, PlatformError>,
    },
    /// An operator asks for something.
    Operator {
        /// The call to answer.
        call: CallId,
        /// What is asked.
        request: OperatorRequest,
    },
    /// An engine answered an order.
    Ordered {
        /// The order.
        order: OrderId,
        /// Whether the engine took it.
        result: Result<(), OrderError>,
    },
    /// A message of another entry VM has arrived and been authenticated.
    FromPeer {
        /// The sender.
        from: PeerName,
        /// The message.
        message: PeerMessage,
    },
    /// A message to another entry VM could certainly not be delivered.
    Unsent {
        /// The receiver.
        to: VmId,
    },
    /// The exchange that had been passed on to another entry VM is over.
    Forwarded {
        /// The request.
        request: RequestNumber,
    },
    /// The wall clock's time; it may step.
    WallClock {
        /// The time since 1970.
        unix: Millis,
    },
    /// The process was told to end after its work.
    Shutdown,
}

/// A caller's request as the control core sees it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub request: RequestNumber,
    /// The SHA-256 of the bearer key.
    pub key: Option<SmolStr>,
    /// What is to run.
    pub target: ArrivalTarget,
    /// Whether the answer is streamed.
    pub mode: AnswerMode,
    /// The size of the prompt.
    pub prompt_tokens: Tokens,
    /// The most that may be generated.
    pub max_tokens: Tokens,
    /// A hash of the start of the prompt, equal for requests that share a cached prefix.
    pub prefix: u64,
    /// A hash of the method, path and body, equal for a resend of the same request.
    pub fingerprint: u64,
    /// The session token or id that the caller sent.
    pub session: Option<SmolStr>,
    /// The idempotency key that the caller sent.
    pub idempotency_key: Option<SmolStr>,
    /// How long the caller waits; the team's default if none.
    pub deadline: Option<Millis>,
    /// Where the request comes from.
    pub hop: ArrivalHop,
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ArrivalHop {
    /// Its caller.
    #[default]
    Caller,
    /// Another entry VM, which passed it on; it is not passed on again.
    Peer,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArrivalTarget {
    /// A model, `model@version` or `auto`.
    Model(SmolStr),
    /// A plain service.
    Service(SmolStr),
    /// The list of models that the team may use.
    ModelList,
    /// A ticket for a request that may not be repeated.
    Ticket,
}

/// Whether an answer is streamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AnswerMode {
    /// One body.
    Whole,
    /// Server-sent events.
    Stream,
}

/// How far an attempt is.
#[derive(Clone, Debug)]
pub enum AttemptReport {
    /// The first byte is about to be written to the backend server.
    Writing,
    /// The head of the answer has arrived.
    Head,
    /// Tokens have arrived since the last report.
    Progress {
        /// The tokens of the attempt so far.
        output_tokens: Tokens,
    },
    /// The attempt is over.
    Ended(AttemptOutcome),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The whole answer has arrived.
    Whole {
        /// The status of the answer.
        status: u16,
        /// The tokens that it took.
        usage: TokenUsage,
    },
    /// The answer is missing or broken.
    Failed {
        /// What went wrong.
        fault: AttemptFault,
        /// The tokens that had arrived.
        output_tokens: Tokens,
    },
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptFault {
    /// No connection could be opened; nothing was written.
    Unreachable,
    /// The server answered that it did not take the request.
    Declined,
    /// The connection broke.
    Closed,
    /// The connection made no progress within the pool's bound.
    Silent,
    /// The answer ended early.
    Truncated,
    /// The answer is not what the protocol asks for.
    Malformed,
    /// The answer is larger than the limit.
    TooLong,
    /// The server answered with a status of 500 or more.
    ServerError,
    /// The attempt was cancelled.
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
            Self::ServerError => "server-error",
            Self::Cancelled => "cancelled",
        })
    }
}

/// The tokens that an answer took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// The tokens of the prompt.
    pub prompt: Tokens,
    /// The tokens generated.
    pub output: Tokens,
}
