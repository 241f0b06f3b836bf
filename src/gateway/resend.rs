//! Retries of requests, within the retry budget.

use super::*;

impl Gateway {
    pub(super) fn retry_or_end(
        &mut self,
        now: Millis,
        request: RequestNumber,
        reason: &'static str,
    ) {
        let Err(refusal) = self.retry(now, request, reason) else { return };
        self.give_up(now, request, refusal, "the answer is incomplete and cannot be resumed");
    }

    /// Retries a request if its route, the budget and the time left permit it. Otherwise returns
    /// the refusal to answer it with.
    pub(super) fn retry(
        &mut self,
        now: Millis,
        request: RequestNumber,
        reason: &'static str,
    ) -> Result<(), Refusal> {
        let Some(state) = self.requests.get(&request) else { return Ok(()) };
        let refusal = Self::failure_refusal(state);
        if !state.may_retry() {
            return if self.wait_for_reachable(now, request) { Ok(()) } else { Err(refusal) };
        }
        let pool = state.pool.clone();
        if state.owes_retry() && !self.spend_retry(now, &state.clone(), RetryPurpose::Failure) {
            return Err(refusal);
        }
        self.count_request(now, &pool);
        // A refusal that says "not run" has the more accurate `Retry-After`.
        self.send(now, request, reason)
            .map_err(|error| if error.run == RunState::NotRun { error } else { refusal })
    }

    /// Moves idempotent requests whose server has not answered in time to another server. They are
    /// late already; a server that is cut off or hangs would hold them until the caller's deadline.
    pub(super) fn retry_unresponsive(&mut self, now: Millis) {
        while let Some((at, request)) = self.response_deadlines.first().copied() {
            if at > now {
                return;
            }
            self.response_deadlines.pop_first();
            self.move_run(now, request, "the server does not respond");
        }
    }

    /// Resumes a stalled stream at another server, or lets the same run continue if there is no
    /// other.
    pub(super) fn on_stalled(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
        last_event: Option<u64>,
    ) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        if state.open_run().is_none_or(|run| run.attempt != attempt) {
            return;
        }
        state.last_event = state.last_event.max(last_event);
        let is_left = self.move_run(now, request, "the stream has stalled");
        tracing::info!(
            request = request.0,
            attempt = attempt.0,
            last_event,
            is_left,
            "stream stalled"
        );
        if !is_left {
            self.emit(GatewayCommand::Continue { request, attempt });
        }
    }

    /// Cancels a run whose server does not respond and sends the request to another server. Returns
    /// false, and leaves the run alone, if there is no other server or no retry is permitted.
    fn move_run(&mut self, now: Millis, request: RequestNumber, reason: &'static str) -> bool {
        let Some(state) = self.requests.get(&request) else { return false };
        let Some(run) = state.open_run().cloned() else { return false };
        let mut moved = state.clone();
        if let Some(run) = moved.run_mut(run.attempt) {
            run.stage = RunStage::Over;
        }
        let is_only =
            self.find_server(now, &moved).is_none_or(|(place, _)| place.server == run.server);
        if is_only || !moved.may_retry() || !self.spend_retry(now, &moved, RetryPurpose::Failure) {
            return false;
        }
        self.release_open_run(request);
        if let Some(server) = self.servers.get_mut(&run.server) {
            server.mark_down(now);
        }
        self.requests.insert(request, moved);
        let attempt = run.attempt;
        self.emit(GatewayCommand::Cancel { request, attempt });
        if let Err(refusal) = self.send(now, request, reason) {
            let reason = "no server can resume the stalled stream";
            self.give_up(now, request, refusal, reason);
        }
        true
    }
}
