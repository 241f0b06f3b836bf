use super::*;

/// The state of a request that has not been answered completely.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// The request as it arrived.
    pub arrival: RoutedArrival,
    /// Its route.
    pub route: Arc<RouteEntry>,
    /// The pool that serves it.
    pub pool: PoolId,
    /// The team that it belongs to.
    pub team: Option<TeamId>,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// When it arrived.
    pub received: Millis,
    /// Its deadline, at which it is refused or broken off.
    pub ends: Millis,
    /// The model that the router chose; none if callers name the model.
    pub model: Option<ModelId>,
    /// Its runs, oldest first.
    pub runs: Vec<RunRecord>,
    /// The number of runs before it last waited for a free slot or the end of a backoff. Servers of
    /// those runs may be tried again.
    pub first_run_since_wait: usize,
    /// Whether a part of an answer has been delivered.
    pub is_delivered: bool,
    /// The last event of the stream that was delivered to the caller.
    pub last_event: Option<u64>,
}

/// The state of one run of a request at a server.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// The attempt number within the request, from 1.
    pub attempt: AttemptId,
    /// The server.
    pub server: ServerId,
    /// The side of the pool's roll-out that the server's version was on; none if the pool has no
    /// roll-out.
    pub side: Option<VersionSide>,
    /// When it started.
    pub started: Millis,
    /// Whether it is the trial request of its server's half-open circuit.
    pub is_half_open: bool,
    /// Whether the server was still warming up.
    pub is_cold: bool,
    /// The estimated time to its first event.
    pub expected: Millis,
    /// The estimated prompt tokens that the server has to process because they are not cached.
    pub unread: f64,
    /// The estimated time to process those tokens, in milliseconds.
    pub work_ms: f64,
    /// How far the run has progressed.
    pub stage: RunStage,
    /// The model that answers, if the router chose it.
    pub model: Option<ModelId>,
    /// Whether its answer was discarded in favour of a larger model's.
    pub is_discarded: bool,
}

/// The progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStage {
    /// Nothing of the answer has arrived.
    Waiting,
    /// The first event has arrived.
    Begun,
    /// The run is over, and the server may have run the request.
    Over,
    /// The run is over, and the server received the request but certainly did not run it.
    NotRun,
    /// The run ended before anything was sent.
    Unsent,
}

impl RunStage {
    /// Returns whether the run is over.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Over | Self::NotRun | Self::Unsent)
    }
}

impl RoutedRequest {
    /// The number of consecutive runs that could not be sent after which a request is refused. When
    /// a quarter of a large pool is down, more than three tries in a row may hit servers that are
    /// down.
    const MAX_UNSENT_RUNS: usize = 10;

    /// Returns the run of an attempt.
    pub fn run_mut(&mut self, attempt: AttemptId) -> Option<&mut RunRecord> {
        self.runs.iter_mut().find(|run| run.attempt == attempt)
    }

    /// Returns the servers of the runs since the request last waited. Runs whose answer was
    /// discarded for a larger model are left out, as their servers did not fail.
    #[must_use]
    pub fn tried(&self) -> Vec<ServerId> {
        let failed =
            self.runs.iter().skip(self.first_run_since_wait).filter(|run| !run.is_discarded);
        failed.map(|run| run.server.clone()).collect()
    }

    /// Returns whether the router chose a larger model than the smallest.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.model.is_some() && self.model.as_ref() != self.route.models.first()
    }

    /// Returns the parts of the prompt with ids that differ between models, as each model has its
    /// own cache.
    #[must_use]
    pub fn cached_parts(&self) -> Vec<PromptPart> {
        let model = self.model.as_ref().map_or(0, |model| xxh3_64(model.as_str().as_bytes()));
        let of_model = |part: &PromptPart| PromptPart { id: part.id ^ model, ..*part };
        self.arrival.parts.iter().map(of_model).collect()
    }

    /// Returns the ids of the prompt's shared parts for log lines: the first few, and the number of
    /// the others.
    #[must_use]
    pub fn shared_part_names(&self) -> String {
        const LOGGED_PARTS: usize = 8;
        let shared = self.arrival.shared_parts();
        let named: Vec<String> =
            shared.iter().take(LOGGED_PARTS).map(|part| format!("{:x}", part.id)).collect();
        let others = shared.len() - named.len();
        let list = named.join(",");
        if others == 0 { list } else { format!("{list} and {others} more") }
    }

    /// Returns the run under way, if any.
    #[must_use]
    pub fn open_run(&self) -> Option<&RunRecord> {
        self.runs.iter().find(|run| !run.stage.is_over())
    }

    /// Returns whether a server may have run the request.
    #[must_use]
    pub fn run_state(&self) -> RunState {
        let may_have_run =
            |run: &RunRecord| !matches!(run.stage, RunStage::NotRun | RunStage::Unsent);
        if self.runs.iter().any(may_have_run) { RunState::Unknown } else { RunState::NotRun }
    }

    /// Returns whether the route's limits permit a retry.
    #[must_use]
    pub fn may_retry(&self) -> bool {
        self.may_be_sent() && self.unsent_runs(self.first_run_since_wait) < Self::MAX_UNSENT_RUNS
    }

    /// Returns whether a retry is permitted but for the runs that could not be sent.
    #[must_use]
    pub fn has_searched_in_vain(&self) -> bool {
        self.may_be_sent() && !self.may_retry()
    }

    /// Returns how often so many runs in a row could not be sent that the request had to wait.
    #[must_use]
    pub fn searches(&self) -> u32 {
        (self.unsent_runs(0) / Self::MAX_UNSENT_RUNS).saturating_sub(1) as u32
    }

    /// Returns whether a retry has to be spent from the budget, which counts what reaches servers.
    /// A run that could not be sent leaves what was spent for it to the next one.
    #[must_use]
    pub fn owes_retry(&self) -> bool {
        self.runs.last().is_some_and(|run| run.stage != RunStage::Unsent)
    }

    fn may_be_sent(&self) -> bool {
        let sent = self.runs.len() - self.unsent_runs(0);
        let repeats = self.run_state() == RunState::NotRun || self.route.kind.may_repeat();
        repeats && sent < self.route.attempt_limit as usize
    }

    /// Returns the number of runs from `first` on that could not be sent.
    fn unsent_runs(&self, first: usize) -> usize {
        let runs = self.runs.iter().skip(first);
        runs.filter(|run| run.stage == RunStage::Unsent).count()
    }
}
