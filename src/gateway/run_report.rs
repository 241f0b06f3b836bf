use super::*;

/// A report on the progress of a run at a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum RunReport {
    /// The first event of a stream has arrived. It is held until the core delivers or cancels the
    /// run.
    Began {
        /// The head of the answer.
        head: AnswerHead,
    },
    /// No complete new event of a stream that has begun has arrived within the stall time. The run
    /// delivers nothing more until the core lets it continue.
    Stalled {
        /// The last complete event that was delivered to the caller.
        last_event: Option<u64>,
    },
    /// The run is over.
    Ended(RunOutcome),
}

/// The values from the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The server's load, if it reported one.
    pub load: Option<LoadSample>,
    /// The model's confidence in its answer, from 0 to 100, if it reported one.
    pub confidence: Option<u8>,
}

/// The outcome of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum RunOutcome {
    /// The complete answer has arrived. Unless it is a stream, it is held until the core delivers
    /// or cancels the run.
    Whole {
        /// The head of the answer.
        head: AnswerHead,
    },
    /// The server certainly did not run the request.
    NotRun {
        /// The cause.
        cause: NotRunCause,
        /// The server's load, if it answered and reported one.
        load: Option<LoadSample>,
    },
    /// The answer is missing or incomplete; the server may have run the request.
    Broken {
        /// The fault.
        fault: AttemptFault,
        /// The last complete event that was delivered to the caller.
        last_event: Option<u64>,
    },
}

/// Why a server did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunCause {
    /// No connection could be opened.
    Unreachable,
    /// The server rejected the connection because it has too many.
    Crowded,
    /// The server is at capacity or leaving.
    Full,
    /// Another server answered at the address.
    Misdirected,
    /// The server rejected the request as invalid.
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
