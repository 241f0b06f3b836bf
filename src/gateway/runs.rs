//! Handles the reports of runs: first events, stalls and ends.

use super::*;

impl Gateway {
    pub(super) fn on_run(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
        report: RunReport,
    ) {
        match report {
            RunReport::Began { head } => self.on_began(now, request, attempt, head),
            RunReport::Stalled { last_event } => {
                self.on_stalled(now, request, attempt, last_event);
            }
            RunReport::Ended(outcome) => self.on_ended(now, request, attempt, &outcome),
        }
    }

    pub(super) fn on_began(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
        head: AnswerHead,
    ) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        let Some(run) = state.run_mut(attempt) else { return };
        if run.stage != RunStage::Waiting {
            return;
        }
        run.stage = RunStage::Begun;
        run.began = Some(now);
        let run = run.clone();
        let pool = state.pool.clone();
        let took = now.since(run.started);
        self.record_reached(now, &run.server);
        tracing::info!(
            request = request.0,
            attempt = attempt.0,
            took_ms = took.0,
            expected_ms = run.forecast.map_or(run.expected, |known| known.median_first()).0,
            confidence = head.confidence,
            "first event"
        );
        let mut had_empty_backlog = false;
        if let Some(server) = self.servers.get_mut(&run.server) {
            had_empty_backlog = server.backlog_ms <= run.work_ms;
            server.finish_prompt(run.work_ms);
            if run.is_half_open {
                server.close_circuit();
            }
            if let Some(load) = head.load {
                server.record_load(now, load);
            }
        }
        if had_empty_backlog {
            let key = (pool.clone(), run.model.clone());
            let pace = self.latency_models.entry(key).or_insert_with(PoolLatencyModel::engine);
            let beside = run.forecast.map_or(0.0, |known| known.beside);
            pace.learn_prompt(run.unread, beside, took.0 as f64);
        }
        self.learn_first(&pool, &run, took);
        self.count_first_event(&pool, &run, took);
        self.record_latency(request, &run, LatencyMeasure::First, took, true);
        if self.escalate(now, request, attempt, head.confidence) {
            return;
        }
        if let Some(state) = self.requests.get_mut(&request) {
            state.is_delivered = true;
        }
        self.emit(GatewayCommand::Deliver { request, attempt });
    }

    pub(super) fn on_ended(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
        outcome: &RunOutcome,
    ) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        let Some(run) = state.run_mut(attempt) else { return };
        if run.stage.is_over() {
            return;
        }
        let ended_run = run.clone();
        run.stage = match outcome {
            RunOutcome::NotRun {
                cause: NotRunCause::Unreachable | NotRunCause::Crowded, ..
            } => RunStage::Unsent,
            RunOutcome::NotRun { .. } => RunStage::NotRun,
            RunOutcome::Whole { .. } | RunOutcome::Broken { .. } => RunStage::Over,
        };
        if let RunOutcome::Broken { last_event, .. } = outcome {
            state.last_event = state.last_event.max(*last_event);
        }
        tracing::info!(
            request = request.0,
            fingerprint = %state.arrival.fingerprint,
            parts = %state.shared_part_names(),
            attempt = attempt.0,
            server = %ended_run.server,
            took_ms = now.since(ended_run.started).0,
            outcome = ?outcome,
            "run ended"
        );
        self.record_outcome(now, request, &ended_run, outcome);
        self.follow_up(now, request, attempt, &ended_run, outcome);
    }

    /// Records the outcome of a run: the server's state, the latency model, crashes, answer times
    /// and the evidence for roll-outs.
    pub(super) fn record_outcome(
        &mut self,
        now: Millis,
        request: RequestNumber,
        run: &RunRecord,
        outcome: &RunOutcome,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        let (pool, is_stream) = (state.pool.clone(), state.route.kind.is_stream());
        if matches!(outcome, RunOutcome::Whole { .. }) {
            self.record_reached(now, &run.server);
        }
        if let Some(server) = self.servers.get_mut(&run.server) {
            server.release(run);
            match outcome {
                RunOutcome::Whole { head } => {
                    server.record_answer(head.status >= 500);
                    if run.is_half_open && head.status < 500 {
                        server.close_circuit();
                    }
                    if let Some(load) = head.load
                        && !is_stream
                    {
                        server.record_load(now, load);
                    }
                }
                RunOutcome::NotRun { cause: NotRunCause::Unreachable, .. }
                | RunOutcome::Broken { fault: AttemptFault::Silent, .. } => server.mark_down(now),
                RunOutcome::NotRun { cause: NotRunCause::Crowded, .. } => server.mark_crowded(now),
                RunOutcome::NotRun { cause: NotRunCause::Misdirected, .. } => {
                    server.mark_misdirected(now);
                }
                RunOutcome::NotRun { load, .. } => {
                    if let Some(load) = load {
                        server.record_load(now, *load);
                    }
                }
                // It says nothing about the server.
                RunOutcome::Broken { fault: AttemptFault::OutOfMemory, .. } => {}
                RunOutcome::Broken { .. } => server.record_answer(true),
            }
        }
        self.record_contact(now, run, outcome);
        if let RunOutcome::NotRun { cause: NotRunCause::Unreachable, .. }
        | RunOutcome::Broken { fault: AttemptFault::Silent, .. } = outcome
        {
            self.record_silent_run(now, run);
        }
        if let RunOutcome::Whole { head } = outcome
            && !is_stream
            && let Some(load) = head.load
        {
            let took = now.since(run.started).0 as f64;
            let key = (pool.clone(), None);
            let pace = self.latency_models.entry(key).or_insert_with(PoolLatencyModel::service);
            pace.learn_call(took, load.slots);
        }
        match outcome {
            RunOutcome::Whole { head } if head.status < 500 => {
                if head.status < 300 {
                    self.learn_end(now, &pool, run);
                    self.record_sound_run(now, request, run);
                }
                self.record_latency(
                    request,
                    run,
                    LatencyMeasure::Whole,
                    now.since(run.started),
                    true,
                );
            }
            RunOutcome::Broken {
                fault: AttemptFault::Closed | AttemptFault::Truncated, ..
            } if self.record_broken_run(now, request, run) => {
                // The run counts once its server has been probed.
                return;
            }
            _ => {}
        }
        self.count_outcome(&pool, run, outcome);
    }

    /// Delivers the answer of a run that ended, retries the request, or refuses it.
    pub(super) fn follow_up(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
        run: &RunRecord,
        outcome: &RunOutcome,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        match outcome {
            RunOutcome::Whole { .. } if run.stage == RunStage::Begun => self.finish(now, request),
            RunOutcome::Whole { head } => {
                // The rest of a stream that was delivered in part is no whole answer.
                let is_failure = head.status >= 500 || state.is_delivered;
                let may_repeat = state.route.kind.may_repeat();
                let reason = "the server answered with an error";
                if is_failure && may_repeat && self.retry(now, request, reason).is_ok() {
                    self.emit(GatewayCommand::Cancel { request, attempt });
                    return;
                }
                if self.requests.get(&request).is_some_and(|state| state.is_delivered) {
                    self.break_off(
                        now,
                        request,
                        "the server answered the resumed stream with an error",
                    );
                    return;
                }
                self.deliver_whole(now, request, run, head.status);
            }
            RunOutcome::NotRun { cause: NotRunCause::Crowded, .. } => self.on_crowded(now, request),
            RunOutcome::NotRun { .. } => self.retry_or_end(now, request, "not run by the server"),
            RunOutcome::Broken { .. } if self.waits_after_crash(request) => {}
            RunOutcome::Broken { .. } => self.retry_or_end(now, request, "incomplete answer"),
        }
    }
}
