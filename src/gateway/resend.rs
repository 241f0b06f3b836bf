//! Sending requests once more, within the budget.

use super::*;

impl Gateway {
    /// The part of the permitted share of second sends that is used; the rest is for requests that
    /// a bound counts in another window than this VM.
    const RESEND_PART: f64 = 0.85;

    pub(super) fn try_again(&mut self, now: Millis, request: RequestNumber, reason: &'static str) {
        let Err(refusal) = self.send_again(now, request, reason) else { return };
        self.give_up(now, request, refusal, "the stream broke and cannot be resumed");
    }

    /// Sends a request once more, if its route, the budget and the time left permit it.
    pub(super) fn send_again(
        &mut self,
        now: Millis,
        request: RequestNumber,
        reason: &'static str,
    ) -> Result<(), Refusal> {
        let Some(state) = self.requests.get(&request) else { return Ok(()) };
        if !state.may_send_again() {
            return Err(Self::failure_refusal(state));
        }
        let is_unsent = state.runs.iter().all(|run| run.stage == RunStage::Unsent);
        let refusal = Self::failure_refusal(state);
        let pool = state.pool.clone();
        if !is_unsent && !self.take_resend(now, &pool) {
            tracing::info!(request = request.0, "not sent again: the budget is used up");
            return Err(refusal);
        }
        // A refusal that says "not run" knows better when the caller may come back.
        self.send(now, request, reason)
            .map_err(|error| if error.run == RunState::NotRun { error } else { refusal })
    }

    pub(super) fn take_resend(&mut self, now: Millis, pool: &PoolId) -> bool {
        let window = self.bounds.resend_window_ms;
        let share = self.bounds.resend_share.get() * Self::RESEND_PART;
        let reserve = ResendBudget::reserve(self.bounds.resend_extra, self.known_vms());
        self.budgets.entry(pool.clone()).or_default().take(now, window, share, reserve)
    }

    /// Sends calls elsewhere whose server has not answered within the objective. They are late
    /// already; a server that is cut off or hangs would keep them until nobody waits any more.
    pub(super) fn leave_silent(&mut self, now: Millis) {
        while let Some((at, request)) = self.patiences.first().copied() {
            if at > now {
                return;
            }
            self.patiences.pop_first();
            self.leave_run(now, request, "the server is silent");
        }
    }

    /// Lets another server go on with a stream that has stalled, or the same one if there is none.
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
        let is_left = self.leave_run(now, request, "the stream has stalled");
        tracing::info!(request = request.0, attempt = attempt.0, last_event, is_left, "stalled");
        if !is_left {
            self.emit(GatewayCommand::Continue { request, attempt });
        }
    }

    /// Sends a request elsewhere whose server gives no answer; returns whether it does.
    fn leave_run(&mut self, now: Millis, request: RequestNumber, reason: &'static str) -> bool {
        let Some(state) = self.requests.get(&request) else { return false };
        let Some(run) = state.open_run().cloned() else { return false };
        let mut left = state.clone();
        if let Some(run) = left.run_mut(run.attempt) {
            run.stage = RunStage::Over;
        }
        let is_only =
            self.find_place(now, &left).is_none_or(|(place, _)| place.server == run.server);
        if is_only || !left.may_send_again() || !self.take_resend(now, &left.pool) {
            return false;
        }
        self.drop_open_run(request);
        if let Some(server) = self.servers.get_mut(&run.server) {
            server.missed(now);
        }
        self.requests.insert(request, left);
        let attempt = run.attempt;
        self.emit(GatewayCommand::Cancel { request, attempt });
        if let Err(refusal) = self.send(now, request, reason) {
            let reason = "no server can go on with a stream that has stalled";
            self.give_up(now, request, refusal, reason);
        }
        true
    }
}
