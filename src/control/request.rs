use super::*;

/// The version or service that a request runs on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WorkTarget {
    /// A version of a model.
    Version(VersionId),
    /// A service that is no model.
    Service(ServiceId),
}

impl Display for WorkTarget {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(version) => version.fmt(formatter),
            Self::Service(service) => service.fmt(formatter),
        }
    }
}

/// What is known about whether a request has run on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// It has certainly not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// A backend server has run it, at least in part.
    Ran,
}

impl RunState {
    /// Returns the run state that an HTTP status states by itself: callers take these statuses to
    /// mean that the request has not run and never will.
    #[must_use]
    pub const fn stated_by(status: u16) -> Option<Self> {
        match status {
            408 | 421 | 429 | 503 => Some(Self::NotRun),
            _ => None,
        }
    }

    /// Returns the value of the `Guavapass-Run` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// The progress of an attempt on its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptProgress {
    /// No byte has been written.
    Opening,
    /// Bytes may have been written.
    Written,
    /// The server has begun to answer.
    Running,
    /// The server answered that it did not accept the request.
    Declined,
    /// The whole answer has arrived.
    Whole,
}

impl AttemptProgress {
    /// Returns whether the server may have run the request, given the attempt's progress.
    #[must_use]
    pub const fn run_state(self) -> RunState {
        match self {
            Self::Opening | Self::Declined => RunState::NotRun,
            Self::Written => RunState::Unknown,
            Self::Running | Self::Whole => RunState::Ran,
        }
    }
}

/// An attempt of a request on one backend server.
#[derive(Clone, Debug)]
pub struct AttemptState {
    /// The attempt within the request, counted from 1.
    pub id: AttemptId,
    /// The version or service that it runs.
    pub target: WorkTarget,
    /// The index of the plan's step that it belongs to.
    pub step: usize,
    /// The size class that it occupies a slot as.
    pub class: SizeClass,
    /// Whether its answer goes to the caller as it arrives.
    pub release: ReleaseMode,
    /// The backend server that runs it.
    pub server: ServerId,
    /// When it started.
    pub started: Millis,
    /// When the head of the answer arrived; none before.
    pub head: Option<Millis>,
    /// Its progress on the server.
    pub progress: AttemptProgress,
    /// How it ended; none while it is running.
    pub outcome: Option<AttemptOutcome>,
    /// The tokens that it has generated so far.
    pub output_tokens: Tokens,
}

/// The phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// It waits in the queue of its pool.
    Queued,
    /// At least one attempt is running.
    Running,
    /// A whole answer is held until it has been rated.
    Rating,
    /// It waits for the delay before a retry to pass.
    AwaitingRetry,
    /// The caller has its final answer; a cancelled attempt may still be ending.
    Answered,
}

/// A request that this entry VM works on.
#[derive(Clone, Debug)]
pub struct RequestState {
    /// The request as it arrived.
    pub arrival: Arrival,
    /// Its team, size and deadline, which routing decides by.
    pub profile: RequestProfile,
    /// The versions or the service that it may run on, in order.
    pub plan: RoutePlan,
    /// The version that its session keeps; none without a session.
    pub session: Option<SessionChoice>,
    /// The index of the plan's current step.
    pub step: usize,
    /// Its current phase.
    pub phase: RequestPhase,
    /// Its attempts so far, in order.
    pub attempts: Vec<AttemptState>,
    /// The attempt whose answer the caller gets or got; none before one is chosen.
    pub released: Option<AttemptId>,
    /// The attempt whose whole answer is held because it is being rated or was rated poor; the
    /// caller gets it if no better one follows.
    pub held: Option<AttemptId>,
}

impl RequestState {
    /// Returns what is known about whether the request has run.
    #[must_use]
    pub fn run_state(&self) -> RunState {
        let runs = self.attempts.iter().map(|attempt| attempt.progress.run_state());
        runs.max().unwrap_or(RunState::NotRun)
    }

    /// Returns the target of the plan's current step.
    #[must_use]
    pub fn target(&self) -> &WorkTarget {
        &self.plan.steps[self.step].target
    }

    /// Returns the model or service as the caller named it; empty for other requests.
    #[must_use]
    pub fn selector(&self) -> &str {
        match &self.arrival.target {
            ArrivalTarget::Model(name) | ArrivalTarget::Service(name) => name,
            ArrivalTarget::ModelList | ArrivalTarget::Ticket => "",
        }
    }

    /// Returns the attempt with an id.
    #[must_use]
    pub fn attempt(&self, id: AttemptId) -> Option<&AttemptState> {
        self.attempts.iter().find(|attempt| attempt.id == id)
    }

    /// Returns the attempt with an id, for changes.
    pub fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut AttemptState> {
        self.attempts.iter_mut().find(|attempt| attempt.id == id)
    }

    /// Returns whether any attempt is running.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome.is_none())
    }
}
