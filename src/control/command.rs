use super::*;

/// Something that the control core wants done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start an attempt of a request.
    Start(AttemptStart),
    /// Send a held attempt's answer to the caller.
    Release {
        /// The request.
        request: RequestNumber,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Cancel an attempt and drop its answer.
    Cancel {
        /// The request.
        request: RequestNumber,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Give the caller its final answer: a refusal, or the end of a broken stream.
    Refuse {
        /// The request.
        request: RequestNumber,
        /// The refusal.
        refusal: Refusal,
    },
    /// Answer a request for the list of models.
    ListModels {
        /// The request.
        request: RequestNumber,
        /// The models and versions that the team may use.
        models: Vec<SmolStr>,
    },
    /// Answer with a ticket.
    IssueTicket {
        /// The request.
        request: RequestNumber,
        /// The ticket.
        ticket: SmolStr,
    },
    /// Answer with the kept answer of an earlier request.
    Replay {
        /// The request.
        request: RequestNumber,
        /// The earlier request.
        first: RequestNumber,
        /// The answer if that one is no longer kept.
        otherwise: Refusal,
    },
    /// Have another entry VM answer the request.
    Forward {
        /// The request.
        request: RequestNumber,
        /// The address of that VM's listener for peers.
        address: SocketAddr,
        /// The answer if that VM cannot be asked.
        otherwise: Refusal,
    },
    /// Append records to a stream of the log.
    Append {
        /// The append, repeated in its answer.
        append: AppendId,
        /// The stream.
        stream: StreamId,
        /// The records.
        records: Vec<Bytes>,
    },
    /// Read a stream of the log.
    Read {
        /// The stream.
        stream: StreamId,
        /// The first offset wanted.
        from: Offset,
        /// How long to wait for a record.
        wait: Millis,
    },
    /// Read the membership list.
    ListMembers,
    /// Read a backend server's load report.
    ReadLoad {
        /// The server.
        server: ServerId,
        /// Its address.
        address: SocketAddr,
    },
    /// Send an order to an engine, unless it has expired by then.
    Order(EngineOrder),
    /// Have a held or finished answer rated.
    Rate {
        /// The request.
        request: RequestNumber,
        /// The attempt.
        attempt: AttemptId,
        /// The version that answered.
        version: VersionId,
    },
    /// Send a message to another entry VM, without waiting for an answer.
    Send {
        /// The receiver.
        to: VmId,
        /// Its address.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Answer an operator's call.
    AnswerOperator {
        /// The call.
        call: CallId,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Log a routing decision.
    LogRoute(RouteDecision),
    /// The process may end: nothing is under way any more.
    Stop,
}

/// An attempt to start.
#[derive(Clone, Debug)]
pub struct AttemptStart {
    /// The request.
    pub request: RequestNumber,
    /// The attempt within the request.
    pub attempt: AttemptId,
    /// The version or service to run.
    pub target: WorkTarget,
    /// The backend server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// The longest time without progress.
    pub progress_timeout: Millis,
    /// Whether the answer goes to the caller at once.
    pub release: ReleaseRule,
    /// Whether the call may be repeated.
    pub repeat: RepeatRule,
    /// The priority for the engine; lower runs first.
    pub priority: u8,
    /// The session token for the caller to keep, if there is a session.
    pub session: Option<SmolStr>,
    /// Why the session that the caller named did not go on, for the caller.
    pub session_moved: Option<SessionEnd>,
}

/// Whether an attempt's answer goes to the caller at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseRule {
    /// It does.
    AtOnce,
    /// It is held until [`Command::Release`].
    Hold,
}

/// Whether a call may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// It may run more than once.
    Repeatable,
    /// It runs at most once: on a connection of its own, with no retry below the core.
    Once,
}
