//! Sending requests once more, within the budget.

use super::*;

impl Gateway {
    /// The part of the permitted share of second sends that is used; the rest is for requests that
    /// a bound counts in another window than this VM.
    const RESEND_PART: f64 = 0.85;

    pub(super) fn try_again(&mut self, now: Millis, request: RequestNumber, reason: &'static str) {
        let Err(refusal) = self.send_again(now, request, reason) else { return };
        if self.requests.get(&request).is_some_and(|state| state.is_delivered) {
            self.break_off(now, request, "the stream broke and cannot be resumed");
        } else {
            self.refuse(now, request, refusal);
        }
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
        self.send(now, request, reason).map_err(|_| refusal)
    }

    pub(super) fn take_resend(&mut self, now: Millis, pool: &PoolId) -> bool {
        let window = self.bounds.resend_window_ms;
        let share = self.bounds.resend_share.get() * Self::RESEND_PART;
        self.budgets.entry(pool.clone()).or_default().take(now, window, share)
    }

    /// Sends calls elsewhere whose server has not answered within the objective. They are late
    /// already; a server that is cut off or hangs would keep them until nobody waits any more.
    pub(super) fn leave_silent(&mut self, now: Millis) {
        while let Some((at, request)) = self.patiences.first().copied() {
            if at > now {
                return;
            }
            self.patiences.pop_first();
            self.leave_silent_run(now, request);
        }
    }

    pub(super) fn leave_silent_run(&mut self, now: Millis, request: RequestNumber) {
        let Some(state) = self.requests.get(&request) else { return };
        let Some(run) = state.open_run().cloned() else { return };
        let mut left = state.clone();
        if let Some(run) = left.run_mut(run.attempt) {
            run.stage = RunStage::Over;
        }
        let is_only =
            self.find_place(now, &left).is_none_or(|(place, _)| place.server == run.server);
        if is_only || !left.may_send_again() || !self.take_resend(now, &left.pool) {
            return;
        }
        self.drop_open_run(request);
        if let Some(server) = self.servers.get_mut(&run.server) {
            server.missed(now);
        }
        self.requests.insert(request, left);
        let attempt = run.attempt;
        self.emit(GatewayCommand::Cancel { request, attempt });
        if let Err(refusal) = self.send(now, request, "the server is silent") {
            self.refuse(now, request, refusal);
        }
    }
}
