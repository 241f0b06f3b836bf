use super::*;

/// A version or service that a request runs on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WorkTarget {
    /// A version of a model.
    Version(VersionId),
    /// A plain service.
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

/// What is known about whether a request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No byte of it reached a backend server.
    NotRun,
    /// It may have run.
    Unknown,
    /// A backend server has run it, at least in part.
    Ran,
}

impl RunState {
    /// Returns the state as the `Guavapass-Run` header has it.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// How far an attempt got at its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptRun {
    /// No byte has been written.
    Opening,
    /// Bytes may have been written.
    Written,
    /// The server has begun to answer.
    Running,
    /// The server said that it did not take the request.
    Declined,
    /// The whole answer has arrived.
    Whole,
}

impl AttemptRun {
    /// Returns what the attempt tells about the request's run.
    #[must_use]
    pub const fn run(self) -> RunState {
        match self {
            Self::Opening | Self::Declined => RunState::NotRun,
            Self::Written => RunState::Unknown,
            Self::Running | Self::Whole => RunState::Ran,
        }
    }
}

/// One try of a request at one backend server.
#[derive(Clone, Debug)]
pub struct AttemptState {
    /// The attempt within the request.
    pub id: AttemptId,
    /// The version or service that it runs.
    pub target: WorkTarget,
    /// The step of the plan that it belongs to.
    pub step: usize,
    /// The size that it counts as on the server.
    pub class: SizeClass,
    /// Whether its answer goes to the caller at once.
    pub release: ReleaseRule,
    /// The backend server.
    pub server: ServerId,
    /// When it started.
    pub started: Millis,
    /// When the head of the answer arrived.
    pub head: Option<Millis>,
    /// How far it got.
    pub run: AttemptRun,
    /// How it ended, if it has.
    pub outcome: Option<AttemptOutcome>,
    /// The tokens generated so far.
    pub output_tokens: Tokens,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// It waits in the queue of its pool.
    Queued,
    /// At least one attempt is under way.
    Running,
    /// A whole answer is held until it has been rated.
    Rating,
    /// It waits for a pause before another attempt to end.
    Pausing,
    /// The caller has its final answer, and an attempt may still be ending.
    Answered,
}

/// A request that this entry VM works on.
#[derive(Clone, Debug)]
pub struct RequestState {
    /// The request as it arrived.
    pub arrival: Arrival,
    /// What routing knows of it.
    pub profile: RequestProfile,
    /// What it may run on, in order.
    pub plan: RoutePlan,
    /// What holds for its session, if it names one.
    pub session: Option<SessionChoice>,
    /// The index of the plan's step in use.
    pub step: usize,
    /// Where it stands.
    pub phase: RequestPhase,
    /// Its attempts so far, in order.
    pub attempts: Vec<AttemptState>,
    /// The attempt whose answer the caller gets or got.
    pub released: Option<AttemptId>,
    /// A whole answer that was poor or is being rated, for want of a better one.
    pub held: Option<AttemptId>,
}

impl RequestState {
    /// Returns what is known about whether the request has run.
    #[must_use]
    pub fn run(&self) -> RunState {
        let runs = self.attempts.iter().map(|attempt| attempt.run.run());
        runs.max().unwrap_or(RunState::NotRun)
    }

    /// Returns the step of the plan in use.
    #[must_use]
    pub fn target(&self) -> &WorkTarget {
        &self.plan.steps[self.step].target
    }

    /// Returns the model or service as the caller named it.
    #[must_use]
    pub fn selector(&self) -> &str {
        match &self.arrival.target {
            ArrivalTarget::Model(name) | ArrivalTarget::Service(name) => name,
            ArrivalTarget::ModelList | ArrivalTarget::Ticket => "",
        }
    }

    /// Returns an attempt.
    #[must_use]
    pub fn attempt(&self, id: AttemptId) -> Option<&AttemptState> {
        self.attempts.iter().find(|attempt| attempt.id == id)
    }

    /// Returns an attempt to be changed.
    pub fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut AttemptState> {
        self.attempts.iter_mut().find(|attempt| attempt.id == id)
    }

    /// Returns whether an attempt is under way.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome.is_none())
    }
}
