use super::*;

impl Control {
    /// Returns whether a step's target may be hedged: short, repeatable work in a pool of at least
    /// two servers, under a preset that allows hedges.
    pub(super) fn may_hedge(
        &self,
        document: &ConfigurationDocument,
        state: &RequestState,
        step: &PlanStep,
    ) -> bool {
        const MIN_SERVERS: usize = 2;
        state.profile.class == SizeClass::Short
            && Self::repeat_rule(document, &step.target) == RepeatRule::Repeatable
            && document.preset_in_force().hedge_share > Share::ZERO
            && self.servers.pool_size(&step.pool) >= MIN_SERVERS
    }

    /// Sets the timer that fires when an attempt's first byte is overdue.
    pub(super) fn set_overdue_timer(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
        entry: &AttemptState,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        let step = &state.plan.steps[entry.step];
        let expected = Self::expected_head(document, state, &entry.target);
        let key = Self::pace_key(state, entry);
        let pool = step.pool.clone();
        let overdue = self.load.pool(&pool).pace.overdue_after(&key, expected);
        self.load.timers.set(now + overdue, request, TimerKind::Overdue(entry.id));
    }

    /// Returns the time in which the head of an answer is expected.
    fn expected_head(
        document: &ConfigurationDocument,
        state: &RequestState,
        target: &WorkTarget,
    ) -> Millis {
        match target {
            WorkTarget::Version(id) => {
                document.version(id).map_or(Millis(0), |entry| match state.profile.mode {
                    AnswerMode::Stream => entry.first_token_ms,
                    AnswerMode::Whole => state.profile.expected_run(entry),
                })
            }
            WorkTarget::Service(id) => {
                document.services.get(id).map_or(Millis(0), |entry| entry.expected_ms)
            }
        }
    }

    /// Returns the key under which the usual first-byte times of such attempts are kept.
    pub(super) fn pace_key(state: &RequestState, entry: &AttemptState) -> LatencyKey {
        LatencyKey { target: entry.target.clone(), class: entry.class, mode: state.profile.mode }
    }

    /// Handles an overdue first byte: counts it against the server, and starts a hedge if the
    /// budget allows it. The budget is refunded if no server has room.
    pub(super) fn on_overdue(&mut self, now: Millis, request: RequestNumber, attempt: AttemptId) {
        let Some(document) = self.configuration.document().cloned() else { return };
        let Some(state) = self.requests.get(&request) else { return };
        let Some(entry) = state.attempt(attempt).cloned() else { return };
        if entry.head.is_some() || entry.outcome.is_some() {
            return;
        }
        let step = state.plan.steps[entry.step].clone();
        let key = Self::pace_key(state, &entry);
        let may_start_hedge = entry.release == ReleaseMode::Hold
            && state.phase == RequestPhase::Running
            && state.attempts.iter().filter(|other| other.outcome.is_none()).count() == 1
            && self.may_hedge(&document, state, &step);
        let ratio = self.load.pool(&step.pool).pace.overdue_ratio(&key, now.since(entry.started));
        self.servers.observe_latency_ratio(now, &entry.server, ratio);
        if may_start_hedge
            && self.load.pool(&step.pool).hedges.try_spend()
            && !self.start_hedge(now, request)
        {
            self.load.pool(&step.pool).hedges.deposit(Share::ONE);
        }
    }

    /// Handles the first byte of an answer: records the time it took, and cancels the request's
    /// other attempts.
    pub(super) fn on_head(&mut self, now: Millis, request: RequestNumber, attempt: AttemptId) {
        let Some(state) = self.requests.get(&request) else { return };
        let Some(entry) = state.attempt(attempt).cloned() else { return };
        let pool = state.plan.steps[entry.step].pool.clone();
        let key = Self::pace_key(state, &entry);
        let took = now.since(entry.started);
        let ratio = self.load.pool(&pool).pace.observe_first_byte(&key, took);
        self.servers.observe_latency_ratio(now, &entry.server, ratio);
        self.settle_hedges(request, attempt);
    }

    /// Makes an attempt the winner: cancels the other attempts, and releases its answer unless that
    /// has to be rated first.
    pub(super) fn settle_hedges(&mut self, request: RequestNumber, winner: AttemptId) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        let Some(entry) = state.attempt(winner).cloned() else { return };
        let is_answered = state.phase == RequestPhase::Answered;
        if state.released.is_some_and(|released| released != winner) || is_answered {
            return;
        }
        let losers: Vec<AttemptId> = state
            .attempts
            .iter()
            .filter(|other| other.id != winner && other.outcome.is_none())
            .map(|other| other.id)
            .collect();
        let is_last = state.plan.steps[entry.step].accept_score.is_none();
        let release_now = is_last && state.released.is_none();
        if release_now {
            state.released = Some(winner);
        }
        for attempt in losers {
            self.emit(Command::Cancel { request, attempt });
        }
        if release_now {
            self.emit(Command::Release { request, attempt: winner });
        }
    }

    /// Handles the timers that are due.
    pub(super) fn fire_timers(&mut self, now: Millis) {
        while let Some((request, kind)) = self.load.timers.pop_due(now) {
            match kind {
                TimerKind::Overdue(attempt) => self.on_overdue(now, request, attempt),
                TimerKind::Retry => self.on_retry_due(now, request),
                TimerKind::Rating(attempt) => self.on_rating_overdue(now, request, attempt),
                TimerKind::Deadline => self.on_deadline(now, request),
            }
        }
    }

    /// Refuses a request at its deadline if its answer has not begun. A request that must not run
    /// twice is left running, so that its outcome becomes known.
    fn on_deadline(&mut self, now: Millis, request: RequestNumber) {
        let Some(document) = self.configuration.document().cloned() else { return };
        let Some(state) = self.requests.get(&request) else { return };
        let repeatable = Self::repeat_rule(&document, state.target()) == RepeatRule::Repeatable;
        let is_answered = state.phase == RequestPhase::Answered;
        let has_head = state.attempts.iter().any(|entry| {
            entry.head.is_some()
                && entry.outcome.is_none()
                && entry.release == ReleaseMode::Immediate
                || state.released == Some(entry.id) && entry.head.is_some()
        });
        if is_answered || has_head || !repeatable {
            return;
        }
        self.unqueue(request);
        let Some(state) = self.requests.get(&request) else { return };
        let refusal = Self::deadline_refusal(request, state);
        self.refuse(now, request, refusal);
    }
}
