use super::*;

/// How far a run of a request at a backend server is.
#[derive(Clone, Debug, PartialEq)]
pub enum RunReport {
    /// The first event of a stream has arrived; it waits to be delivered.
    Began {
        /// The head of the answer.
        head: AnswerHead,
    },
    /// No whole new event of a stream that has begun has come for too long. The run passes nothing
    /// on until it hears whether it is to go on.
    Stalled {
        /// The last whole event that was passed on.
        last_event: Option<u64>,
    },
    /// The run is over.
    Ended(RunOutcome),
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The status.
    pub status: u16,
    /// The server's load.
    pub load: Option<LoadSample>,
    /// The model's own opinion of its answer, from 0 to 100.
    pub confidence: Option<u8>,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunOutcome {
    /// The whole answer has arrived. Unless it is a stream, it waits to be delivered.
    Whole {
        /// The head of the answer.
        head: AnswerHead,
    },
    /// The server certainly has not run the request.
    NotRun {
        /// Why.
        cause: NotRunCause,
        /// The server's load, if it answered.
        load: Option<LoadSample>,
    },
    /// The answer is missing or broken; the request may have run.
    Broken {
        /// What went wrong.
        fault: AttemptFault,
        /// The last whole event that was passed on.
        last_event: Option<u64>,
    },
}

/// Why a server has not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunCause {
    /// No connection could be opened.
    Unreachable,
    /// The server takes no more connections.
    Crowded,
    /// The server is full, or leaving.
    Full,
    /// Another server has the address.
    Misdirected,
    /// The server takes the request for wrong.
    Rejected,
}

impl Display for NotRunCause {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Unreachable => "unreachable",
            Self::Crowded => "crowded",
            Self::Full => "full",
            Self::Misdirected => "misdirected",
            Self::Rejected => "rejected",
        })
    }
}
