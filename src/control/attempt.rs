use super::*;

impl Control {
    /// The most attempts that a request makes for one step of its plan.
    const MAX_ATTEMPTS: usize = 3;
    /// The base of the exponential delay before a retry.
    const FIRST_PAUSE_MS: u64 = 50;

    pub(super) fn on_attempt(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
        report: AttemptReport,
    ) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        let Some(entry) = state.attempt_mut(attempt) else { return };
        if entry.outcome.is_some() {
            return;
        }
        match report {
            AttemptReport::Writing => entry.progress = entry.progress.max(AttemptProgress::Written),
            AttemptReport::Head => {
                entry.progress = entry.progress.max(AttemptProgress::Running);
                entry.head = Some(now);
                self.on_head(now, request, attempt);
            }
            AttemptReport::Progress { output_tokens } => {
                entry.output_tokens = output_tokens;
                self.on_progress(now, request, attempt);
            }
            AttemptReport::Ended(outcome) => self.on_ended(now, request, attempt, &outcome),
        }
    }

    /// Moves a running attempt to the long size class once its output exceeds that of short work.
    fn on_progress(&mut self, now: Millis, request: RequestNumber, attempt: AttemptId) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        let prompt = state.profile.prompt_tokens;
        let Some(entry) = state.attempt_mut(attempt) else { return };
        let class = SizeClass::of(prompt, entry.output_tokens);
        if entry.class == SizeClass::Short && class == SizeClass::Long {
            entry.class = class;
            let server = entry.server.clone();
            state.profile.class = class;
            self.servers.reclassed(now, &server, SizeClass::Short, class);
        }
    }

    fn on_ended(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
        outcome: &AttemptOutcome,
    ) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        let Some(entry) = state.attempt_mut(attempt) else { return };
        entry.outcome = Some(outcome.clone());
        let fault = match *outcome {
            AttemptOutcome::Whole { usage, .. } => {
                entry.progress = AttemptProgress::Whole;
                entry.output_tokens = usage.output;
                None
            }
            AttemptOutcome::Failed { fault, output_tokens } => {
                match fault {
                    AttemptFault::Declined => entry.progress = AttemptProgress::Declined,
                    AttemptFault::Unreachable => entry.progress = AttemptProgress::Opening,
                    _ => {}
                }
                entry.output_tokens = output_tokens;
                Some(fault)
            }
        };
        let entry = entry.clone();
        let pool = state.plan.steps[entry.step].pool.clone();
        self.update_suspicion(now, request, attempt);
        self.record_attempt_end(now, request, &pool, &entry, fault);
        match fault {
            None => self.on_whole(now, request, &entry),
            Some(fault) => self.on_fault(now, request, attempt, fault),
        }
        self.dispatch(now, &pool);
    }

    /// Updates server health, the pace statistics, the fair queue and the version's error evidence
    /// at the end of an attempt.
    fn record_attempt_end(
        &mut self,
        now: Millis,
        request: RequestNumber,
        pool: &PoolId,
        entry: &AttemptState,
        fault: Option<AttemptFault>,
    ) {
        match fault {
            Some(AttemptFault::Cancelled) => {
                self.servers.cancelled(now, &entry.server, entry.class);
            }
            fault => self.servers.ended(now, &entry.server, entry.class, fault),
        }
        self.observe_token_gap(now, request, entry);
        self.correct_slot_time(now, request, pool, entry);
        let version_failed = match fault {
            None => Some(false),
            Some(
                AttemptFault::ServerError
                | AttemptFault::Malformed
                | AttemptFault::Truncated
                | AttemptFault::TooLong,
            ) => Some(true),
            Some(_) => None,
        };
        if let (Some(failed), WorkTarget::Version(version)) = (version_failed, &entry.target) {
            let servers = self.servers.pool_size(pool);
            self.policy.ended(version, &entry.server, servers, failed);
            self.apply_verdicts(now);
        }
    }

    /// Compares the time per output token of a whole stream with the pool's usual time, to detect
    /// slow servers.
    fn observe_token_gap(&mut self, now: Millis, request: RequestNumber, entry: &AttemptState) {
        const MIN_TOKENS: u64 = 8;
        let (Some(head), Some(AttemptOutcome::Whole { .. })) = (entry.head, &entry.outcome) else {
            return;
        };
        let Some(state) = self.requests.get(&request) else { return };
        let is_stream = state.profile.mode == AnswerMode::Stream;
        if !is_stream || entry.output_tokens.0 < MIN_TOKENS {
            return;
        }
        let pool = state.plan.steps[entry.step].pool.clone();
        let gap = now.since(head).0.max(1) as f64 / entry.output_tokens.0 as f64;
        let ratio = self.load.pool(&pool).pace.observe_token_gap(&entry.target, gap);
        self.servers.observe_latency_ratio(now, &entry.server, ratio);
    }

    /// Handles a whole answer: it is held until it has been rated, or it completes the request. The
    /// late answer of an attempt that lost to a hedge is dropped.
    fn on_whole(&mut self, now: Millis, request: RequestNumber, entry: &AttemptState) {
        let Some(document) = self.configuration.document().cloned() else { return };
        let Some(state) = self.requests.get(&request) else { return };
        if state.phase == RequestPhase::Answered
            || state.released.is_some_and(|released| released != entry.id)
        {
            self.finish(request);
            return;
        }
        let is_good_status = match entry.outcome {
            Some(AttemptOutcome::Whole { status, .. }) => status < 400,
            _ => false,
        };
        let is_rated = state.plan.steps[entry.step].accept_score.is_some() && is_good_status;
        if is_rated && state.released.is_none() {
            self.settle_hedges(request, entry.id);
            self.hold_for_rating(now, &document, request, entry.id);
            return;
        }
        if is_good_status {
            self.sample_rating(now, &document, request, entry.id);
        }
        self.complete(request, entry.id);
    }

    /// Completes a request with a whole answer, and releases the answer unless the caller is
    /// receiving it already.
    fn complete(&mut self, request: RequestNumber, attempt: AttemptId) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        if state.released.is_none() {
            state.held = Some(attempt);
            self.release_held(request);
            return;
        }
        state.phase = RequestPhase::Answered;
        self.finish(request);
    }

    /// Retries after a failed attempt if that is allowed, or refuses the request. Does nothing
    /// while another attempt of the request is running.
    fn on_fault(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
        fault: AttemptFault,
    ) {
        let Some(document) = self.configuration.document().cloned() else { return };
        let Some(state) = self.requests.get(&request) else { return };
        if state.phase == RequestPhase::Answered {
            self.finish(request);
            return;
        }
        let is_superseded = state.released != Some(attempt) && state.released.is_some();
        if state.phase != RequestPhase::Running || state.is_running() || is_superseded {
            return;
        }
        let run = state.run_state();
        if Self::may_retry(&document, state, attempt) && self.spend_retry(request, fault) {
            tracing::info!(request = %self.request_id(request), %attempt, %fault, "attempt failed; retrying");
            self.schedule_retry(now, &document, request, fault);
            return;
        }
        let message = format!("The backend server failed ({fault}).");
        let refusal = Refusal::not_run(RefusalCode::BadGateway, message).with_run(run);
        self.refuse(now, request, refusal);
    }

    /// Returns whether a failed attempt may be retried: it did not run or may run twice, no part of
    /// its answer has reached the caller, and its step has attempts left.
    fn may_retry(
        document: &ConfigurationDocument,
        state: &RequestState,
        attempt: AttemptId,
    ) -> bool {
        let Some(entry) = state.attempt(attempt) else { return false };
        let repeatable = Self::repeat_rule(document, &entry.target) == RepeatRule::Repeatable;
        let streams = state.profile.mode == AnswerMode::Stream;
        let has_reached_caller = streams && entry.head.is_some() && state.released == Some(attempt);
        let safe =
            entry.progress.run_state() == RunState::NotRun || (repeatable && !has_reached_caller);
        let tried = state.attempts.iter().filter(|other| other.step == entry.step).count();
        safe && tried < Self::MAX_ATTEMPTS && !state.is_running()
    }

    /// Spends one retry of the pool's budget and returns whether there was one. Faults that came
    /// before the server accepted the request are not charged.
    fn spend_retry(&mut self, request: RequestNumber, fault: AttemptFault) -> bool {
        if matches!(fault, AttemptFault::Unreachable | AttemptFault::Declined) {
            return true;
        }
        let Some(state) = self.requests.get(&request) else { return false };
        let pool = state.plan.steps[state.step].pool.clone();
        self.load.pool(&pool).retries.try_spend()
    }

    /// Schedules a retry: at once if the server was unreachable, else after an exponential delay
    /// that varies with the request number.
    fn schedule_retry(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
        fault: AttemptFault,
    ) {
        if fault == AttemptFault::Unreachable {
            self.requeue(now, document, request);
            return;
        }
        let Some(state) = self.requests.get_mut(&request) else { return };
        state.phase = RequestPhase::AwaitingRetry;
        let base = Self::FIRST_PAUSE_MS << state.attempts.len().min(5);
        let spread = xxh3_64(&request.0.to_le_bytes()) % base;
        let pause = Millis(base / 2 + spread / 2);
        self.load.timers.set(now + pause, request, TimerKind::Retry);
    }

    pub(super) fn on_retry_due(&mut self, now: Millis, request: RequestNumber) {
        let Some(document) = self.configuration.document().cloned() else { return };
        let is_waiting = self
            .requests
            .get(&request)
            .is_some_and(|state| state.phase == RequestPhase::AwaitingRetry);
        if is_waiting {
            self.requeue(now, &document, request);
        }
    }

    /// Puts a request back into the queue of its current step's pool.
    pub(super) fn requeue(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
    ) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        state.phase = RequestPhase::Queued;
        state.released = None;
        let pool = state.plan.steps[state.step].pool.clone();
        let mut entry = Self::queue_entry(document, request, state);
        entry.queued = now;
        self.queues.entry(pool.clone()).or_default().push_retry(entry);
        self.dispatch(now, &pool);
    }

    /// Refuses a request and cancels its running attempts. If a whole answer is held, the caller
    /// gets that answer instead.
    pub(super) fn refuse(&mut self, _now: Millis, request: RequestNumber, refusal: Refusal) {
        if self.requests.get(&request).is_some_and(|state| state.held.is_some()) {
            self.release_held(request);
            return;
        }
        let refusal = self.with_earlier_run(request, refusal);
        let id = self.request_id(request);
        tracing::info!(
            request = %id,
            code = refusal.code.as_str(),
            run = refusal.run.as_str(),
            reason = %refusal.message,
            "request refused"
        );
        self.emit(Command::Refuse { request, refusal });
        self.cancel_attempts(request);
    }

    /// Drops a request whose caller has closed the connection. A running request that holds an
    /// idempotency key continues, as a repeat of it may ask for the answer.
    pub(super) fn on_caller_gone(&mut self, _now: Millis, request: RequestNumber) {
        self.session_waits.remove(request);
        self.claims.forwards.remove(&request);
        self.remove_gated(request);
        let running = self.requests.get(&request).is_some_and(RequestState::is_running);
        if running && self.claims.table.key_of(request).is_some() {
            return;
        }
        self.unqueue(request);
        self.cancel_attempts(request);
    }

    fn cancel_attempts(&mut self, request: RequestNumber) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        state.phase = RequestPhase::Answered;
        let running: Vec<AttemptId> = state
            .attempts
            .iter()
            .filter(|attempt| attempt.outcome.is_none())
            .map(|attempt| attempt.id)
            .collect();
        if running.is_empty() {
            self.finish(request);
        }
        for attempt in running {
            self.emit(Command::Cancel { request, attempt });
        }
    }

    /// Removes a request once none of its attempts is running, and settles its usage, its bill and
    /// its idempotency key.
    pub(super) fn finish(&mut self, request: RequestNumber) {
        let running = self.requests.get(&request).is_some_and(RequestState::is_running);
        if running {
            return;
        }
        let Some(state) = self.requests.remove(&request) else { return };
        self.settle_usage(&state);
        self.close_bill(&state);
        self.end_idempotency_key(request, state.run_state());
    }

    /// Replaces the tokens charged at admission with those used, and records the output length for
    /// later estimates.
    fn settle_usage(&mut self, state: &RequestState) {
        let profile = &state.profile;
        let request = state.arrival.request;
        self.load.timers.clear(profile.deadline, request, TimerKind::Deadline);
        let used: u64 = state
            .attempts
            .iter()
            .filter(|entry| entry.progress.run_state() != RunState::NotRun)
            .map(|entry| profile.prompt_tokens.0 + entry.output_tokens.0)
            .sum();
        self.load.limits.ended(&profile.team, used as f64 - Self::charged_tokens(state));
        let answered = state.released.and_then(|attempt| state.attempt(attempt));
        let Some(answered) = answered.filter(|entry| entry.progress == AttemptProgress::Whole)
        else {
            return;
        };
        if matches!(answered.target, WorkTarget::Version(_)) {
            let (team, prompt) = (&profile.team, profile.prompt_tokens);
            self.load.outputs.observe(team, state.selector(), prompt, answered.output_tokens);
        }
    }

    /// Corrects the fair queue by the difference between the actual and the expected slot time.
    fn correct_slot_time(
        &mut self,
        now: Millis,
        request: RequestNumber,
        pool: &PoolId,
        entry: &AttemptState,
    ) {
        let Some(document) = self.configuration.document() else { return };
        let Some(state) = self.requests.get(&request) else { return };
        let real = now.since(entry.started).0 as f64;
        let charged = Self::queue_entry(document, request, state);
        let difference = SlotTime(real - charged.cost.0);
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.correct(&charged.team, &charged.subscriber, charged.weight, difference);
        }
    }
}
