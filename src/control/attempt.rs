use super::*;

impl Control {
    const MAX_ATTEMPTS: usize = 3;
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
            AttemptReport::Writing => entry.run = entry.run.max(AttemptRun::Written),
            AttemptReport::Head => {
                entry.run = entry.run.max(AttemptRun::Running);
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

    /// Counts an attempt as long once it has outgrown short work.
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
                entry.run = AttemptRun::Whole;
                entry.output_tokens = usage.output;
                None
            }
            AttemptOutcome::Failed { fault, output_tokens } => {
                match fault {
                    AttemptFault::Declined => entry.run = AttemptRun::Declined,
                    AttemptFault::Unreachable => entry.run = AttemptRun::Opening,
                    _ => {}
                }
                entry.output_tokens = output_tokens;
                Some(fault)
            }
        };
        let entry = entry.clone();
        let pool = state.plan.steps[entry.step].pool.clone();
        self.note_attempt_end(now, request, attempt);
        self.note_end(now, request, &pool, &entry, fault);
        match fault {
            None => self.on_whole(now, request, &entry),
            Some(fault) => self.on_fault(now, request, attempt, fault),
        }
        self.dispatch(now, &pool);
    }

    /// Enters the end of an attempt into the books.
    fn note_end(
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
        self.note_pace(now, request, entry);
        self.correct_slot_time(now, request, pool, entry);
        let by_version = match fault {
            None => Some(false),
            Some(
                AttemptFault::ServerError
                | AttemptFault::Malformed
                | AttemptFault::Truncated
                | AttemptFault::TooLong,
            ) => Some(true),
            Some(_) => None,
        };
        if let (Some(failed), WorkTarget::Version(version)) = (by_version, &entry.target) {
            let servers = self.servers.pool_size(pool);
            self.policy.ended(version, &entry.server, servers, failed);
            self.apply_verdicts(now);
        }
    }

    /// Compares an attempt's rate of generation with the pool's.
    fn note_pace(&mut self, now: Millis, request: RequestNumber, entry: &AttemptState) {
        const LEAST_TOKENS: u64 = 8;
        let (Some(head), Some(AttemptOutcome::Whole { .. })) = (entry.head, &entry.outcome) else {
            return;
        };
        let Some(state) = self.requests.get(&request) else { return };
        let is_stream = state.profile.mode == AnswerMode::Stream;
        if !is_stream || entry.output_tokens.0 < LEAST_TOKENS {
            return;
        }
        let pool = state.plan.steps[entry.step].pool.clone();
        let gap = now.since(head).0.max(1) as f64 / entry.output_tokens.0 as f64;
        let ratio = self.load.pool(&pool).pace.observe_gap(&entry.target, gap);
        self.servers.observe_pace(now, &entry.server, ratio);
    }

    /// Goes on with a whole answer: it is held for its rating, or the request is over.
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
            self.settle_race(request, entry.id);
            self.hold_for_rating(now, &document, request, entry.id);
            return;
        }
        if is_good_status {
            self.sample_rating(now, &document, request, entry.id);
        }
        self.conclude(request, entry.id);
    }

    /// Releases a whole answer if that has not been done, and ends the request.
    fn conclude(&mut self, request: RequestNumber, attempt: AttemptId) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        if state.released.is_none() {
            state.held = Some(attempt);
            self.release_held(request);
            return;
        }
        state.phase = RequestPhase::Answered;
        self.finish(request);
    }

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
        let is_beside = state.released != Some(attempt) && state.released.is_some();
        if state.phase != RequestPhase::Running || state.is_running() || is_beside {
            return;
        }
        let run = state.run();
        if Self::may_retry(&document, state, attempt) && self.take_retry(request, fault) {
            tracing::info!(request = %self.request_id(request), %attempt, %fault, "retry");
            self.pause(now, &document, request, fault);
            return;
        }
        let message = format!("The backend server failed ({fault}).");
        let refusal = Refusal::not_run(RefusalCode::BadGateway, message).with_run(run);
        self.refuse(now, request, refusal);
    }

    /// Returns whether another attempt may follow a failed one.
    fn may_retry(
        document: &ConfigurationDocument,
        state: &RequestState,
        attempt: AttemptId,
    ) -> bool {
        let Some(entry) = state.attempt(attempt) else { return false };
        let repeatable = Self::repeat_rule(document, &entry.target) == RepeatRule::Repeatable;
        let streams = state.profile.mode == AnswerMode::Stream;
        let sent_on = streams && entry.head.is_some() && state.released == Some(attempt);
        let safe = entry.run.run() == RunState::NotRun || (repeatable && !sent_on);
        let tried = state.attempts.iter().filter(|other| other.step == entry.step).count();
        safe && tried < Self::MAX_ATTEMPTS && !state.is_running()
    }

    /// Takes a retry from the pool's budget. A fault before the request was taken costs nothing.
    fn take_retry(&mut self, request: RequestNumber, fault: AttemptFault) -> bool {
        if matches!(fault, AttemptFault::Unreachable | AttemptFault::Declined) {
            return true;
        }
        let Some(state) = self.requests.get(&request) else { return false };
        let pool = state.plan.steps[state.step].pool.clone();
        self.load.pool(&pool).retries.take()
    }

    /// Lets a request wait before another attempt, longer each time.
    fn pause(
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
        state.phase = RequestPhase::Pausing;
        let base = Self::FIRST_PAUSE_MS << state.attempts.len().min(5);
        let spread = xxh3_64(&request.0.to_le_bytes()) % base;
        let pause = Millis(base / 2 + spread / 2);
        self.load.timers.set(now + pause, request, TimerKind::Requeue);
    }

    pub(super) fn on_pause_over(&mut self, now: Millis, request: RequestNumber) {
        let Some(document) = self.configuration.document().cloned() else { return };
        let pauses =
            self.requests.get(&request).is_some_and(|state| state.phase == RequestPhase::Pausing);
        if pauses {
            self.requeue(now, &document, request);
        }
    }

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
        self.queues.entry(pool.clone()).or_default().push_again(entry);
        self.dispatch(now, &pool);
    }

    /// Gives the caller its final answer and cancels what still runs. A whole answer that is held
    /// is better than a refusal.
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
            "refused"
        );
        self.emit(Command::Refuse { request, refusal });
        self.cancel_attempts(request);
    }

    pub(super) fn on_caller_gone(&mut self, _now: Millis, request: RequestNumber) {
        self.session_waits.remove(request);
        self.claims.forwards.remove(&request);
        self.forget_gated(request);
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

    /// Forgets a request once none of its attempts is under way.
    pub(super) fn finish(&mut self, request: RequestNumber) {
        let running = self.requests.get(&request).is_some_and(RequestState::is_running);
        if running {
            return;
        }
        let Some(state) = self.requests.remove(&request) else { return };
        self.settle_use(&state);
        self.close_bill(&state);
        self.end_once(request, state.run());
    }

    /// Corrects what the team was charged, now that the request is over.
    fn settle_use(&mut self, state: &RequestState) {
        let profile = &state.profile;
        let request = state.arrival.request;
        self.load.timers.clear(profile.deadline, request, TimerKind::Deadline);
        let used: u64 = state
            .attempts
            .iter()
            .filter(|entry| entry.run.run() != RunState::NotRun)
            .map(|entry| profile.prompt_tokens.0 + entry.output_tokens.0)
            .sum();
        self.load.limits.ended(&profile.team, used as f64 - Self::charged_tokens(state));
        let answered = state.released.and_then(|attempt| state.attempt(attempt));
        let Some(answered) = answered.filter(|entry| entry.run == AttemptRun::Whole) else {
            return;
        };
        if matches!(answered.target, WorkTarget::Version(_)) {
            let (team, prompt) = (&profile.team, profile.prompt_tokens);
            self.load.outputs.observe(team, state.selector(), prompt, answered.output_tokens);
        }
    }

    /// Corrects the fair queue by the difference between the real and the expected slot time.
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
