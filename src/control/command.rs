use super::*;

/// An action that the control core requests from the driver.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start an attempt of a request.
    Start(AttemptStart),
    /// Send a held attempt's answer to the caller.
    Release {
        /// The request on this VM.
        request: RequestNumber,
        /// The attempt within the request.
        attempt: AttemptId,
    },
    /// Cancel an attempt and drop its answer.
    Cancel {
        /// The request on this VM.
        request: RequestNumber,
        /// The attempt within the request.
        attempt: AttemptId,
    },
    /// Give the caller its final answer: a refusal, or the end of a broken stream.
    Refuse {
        /// The request on this VM.
        request: RequestNumber,
        /// The code, message and run state that the caller gets.
        refusal: Refusal,
    },
    /// Answer a request for the list of models.
    ListModels {
        /// The request on this VM.
        request: RequestNumber,
        /// The models and versions that the team may use.
        models: Vec<SmolStr>,
    },
    /// Answer with a ticket for one request that must not run twice.
    IssueTicket {
        /// The request on this VM.
        request: RequestNumber,
        /// The text to send as the `Idempotency-Key` of that request.
        ticket: SmolStr,
    },
    /// Answer with the stored answer of an earlier request that had the same key.
    Replay {
        /// The request on this VM.
        request: RequestNumber,
        /// The earlier request.
        first: RequestNumber,
        /// The refusal to send if the stored answer has been dropped.
        otherwise: Refusal,
    },
    /// Forward the request to another entry VM, which answers it.
    Forward {
        /// The request on this VM.
        request: RequestNumber,
        /// The address of that VM's listener for peers.
        address: SocketAddr,
        /// The refusal to send if that VM cannot be reached.
        otherwise: Refusal,
    },
    /// Append records to a stream of the log.
    Append {
        /// The append, which [`Event::Appended`] repeats.
        append: AppendId,
        /// The stream of the log.
        stream: StreamId,
        /// The records, appended together and in order.
        records: Vec<Bytes>,
    },
    /// Read a stream of the log.
    ReadLog {
        /// The stream of the log.
        stream: StreamId,
        /// The offset of the first record to return.
        from: Offset,
        /// How long the log may wait for a record if it has none at `from`.
        wait: Millis,
    },
    /// Read the membership list.
    ReadMembers,
    /// Read a backend server's load report.
    ReadLoadReport {
        /// The backend server.
        server: ServerId,
        /// The address to connect to.
        address: SocketAddr,
    },
    /// Send an order to an engine, unless the order has expired before it is sent.
    Order(EngineOrder),
    /// Have a held or finished answer rated.
    Rate {
        /// The request on this VM.
        request: RequestNumber,
        /// The attempt within the request.
        attempt: AttemptId,
        /// The version that answered.
        version: VersionId,
    },
    /// Send a message to another entry VM, without waiting for an answer.
    Send {
        /// The entry VM to send to.
        to: VmId,
        /// The address to connect to.
        address: SocketAddr,
        /// What to send.
        message: PeerMessage,
    },
    /// Answer an operator's call.
    AnswerOperator {
        /// The call, as given in [`Event::OperatorCall`].
        call: CallId,
        /// What the operator gets.
        answer: OperatorAnswer,
    },
    /// Log a routing decision, which `explain` reads.
    LogRoute(RouteDecision),
    /// End the process: no request, bill or claim is under way any more.
    Stop,
}

/// What the driver needs to start an attempt.
#[derive(Clone, Debug)]
pub struct AttemptStart {
    /// The request on this VM.
    pub request: RequestNumber,
    /// The attempt within the request.
    pub attempt: AttemptId,
    /// The version or service to run.
    pub target: WorkTarget,
    /// The backend server.
    pub server: ServerId,
    /// The address to connect to.
    pub address: SocketAddr,
    /// The time without progress after which the attempt fails as [`AttemptFault::Silent`].
    pub progress_timeout: Millis,
    /// Whether the answer goes to the caller as it arrives.
    pub release: ReleaseMode,
    /// Whether the call may run more than once.
    pub repeat: RepeatRule,
    /// The priority sent to the engine; lower values run first.
    pub priority: u8,
    /// The session token sent to the caller; none without a session.
    pub session: Option<SmolStr>,
    /// Why the session that the caller named was not continued, sent to the caller; none if it was.
    pub session_moved: Option<SessionEnd>,
}

/// Whether an attempt's answer goes to the caller as it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseMode {
    /// It goes to the caller as it arrives.
    Immediate,
    /// It is held until [`Command::Release`].
    Hold,
}

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// It may run more than once, so it can be retried and hedged.
    Repeatable,
    /// It must not run twice: it gets its own connection, and no layer below the core retries it.
    AtMostOnce,
}
