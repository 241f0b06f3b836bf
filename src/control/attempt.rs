use super::*;

impl Control {
    const MAX_ATTEMPTS: usize = 3;

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
            }
            AttemptReport::Progress { output_tokens } => entry.output_tokens = output_tokens,
            AttemptReport::Ended(outcome) => self.on_ended(now, request, attempt, &outcome),
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
        let class = state.profile.class;
        let Some(entry) = state.attempt_mut(attempt) else { return };
        entry.outcome = Some(outcome.clone());
        let server = entry.server.clone();
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
        self.note_attempt_end(now, request, attempt);
        let blame = fault.filter(|fault| *fault != AttemptFault::Cancelled);
        self.servers.ended(now, &server, class, blame);
        match fault {
            None => self.finish(request),
            Some(fault) => self.on_fault(now, request, attempt, fault),
        }
        self.dispatch_all(now);
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
        if Self::may_retry(&document, state, attempt) {
            tracing::info!(request = %self.request_id(request), %attempt, %fault, "retry");
            self.requeue(now, &document, request);
            return;
        }
        let run = state.run();
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
        let Some(entry) = state.attempts.iter().find(|entry| entry.id == attempt) else {
            return false;
        };
        let repeatable = Self::repeat_rule(document, &entry.target) == RepeatRule::Repeatable;
        let streams = state.profile.mode == AnswerMode::Stream;
        let sent_on = streams && entry.head.is_some();
        let safe = entry.run.run() == RunState::NotRun || (repeatable && !sent_on);
        safe && state.attempts.len() < Self::MAX_ATTEMPTS && !state.is_running()
    }

    fn requeue(&mut self, now: Millis, document: &ConfigurationDocument, request: RequestNumber) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        state.phase = RequestPhase::Queued;
        let pool = state.plan.steps[state.step].pool.clone();
        let entry = Self::queue_entry(document, request, state);
        self.queues.entry(pool.clone()).or_default().push_front(entry);
        self.dispatch(now, &pool);
    }

    /// Gives the caller its final answer and cancels what still runs.
    pub(super) fn refuse(&mut self, _now: Millis, request: RequestNumber, refusal: Refusal) {
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
    fn finish(&mut self, request: RequestNumber) {
        let running = self.requests.get(&request).is_some_and(RequestState::is_running);
        if !running {
            let Some(state) = self.requests.remove(&request) else { return };
            self.close_bill(&state);
            self.end_once(request, state.run());
        }
    }
}
