//! Ending requests: refusals, answers that are broken off, and timeouts.

use super::*;

impl Gateway {
    /// `Retry-After` when the pool has no usable server.
    pub(super) const NO_SERVER_RETRY_MS: u64 = 300;

    pub(super) fn on_caller_gone(&mut self, now: Millis, request: RequestNumber) {
        self.start_wait.remove(request);
        let Some(state) = self.requests.get(&request) else { return };
        tracing::info!(
            request = request.0,
            waited_ms = now.since(state.received).0,
            "caller closed the connection"
        );
        self.record_disconnect_latency(now, request);
        self.learn_unfinished(now, request);
        self.release_open_run(request);
        self.finish(now, request);
    }

    /// Ends the requests that reached their deadline.
    pub(super) fn end_expired(&mut self, now: Millis) {
        while let Some((at, request)) = self.ends.first().copied() {
            if at > now {
                return;
            }
            let Some(state) = self.requests.get(&request) else {
                self.ends.pop_first();
                continue;
            };
            let refusal = Self::timeout_refusal(state);
            self.learn_unfinished(now, request);
            self.give_up(now, request, refusal, "the request reached its deadline");
        }
    }

    /// Ends the requests that are left when the process ends: refuses them with what is known about
    /// their runs, or breaks their answers off.
    pub(super) fn end_open_requests(&mut self, now: Millis) {
        let open: Vec<RequestNumber> = self.requests.keys().copied().collect();
        for request in open {
            let Some(state) = self.requests.get(&request) else { continue };
            let message = "This entry VM ended before the request did.";
            let refusal = Self::final_refusal(state, RefusalCode::Unavailable, message);
            self.give_up(now, request, refusal, "the process ends");
        }
    }

    /// Ends a request without a complete answer: refuses it, or breaks the answer off if a part has
    /// been delivered. `reason` is logged in the second case.
    pub(super) fn give_up(
        &mut self,
        now: Millis,
        request: RequestNumber,
        refusal: Refusal,
        reason: &'static str,
    ) {
        if self.requests.get(&request).is_some_and(|state| state.is_delivered) {
            self.break_off(now, request, reason);
        } else {
            self.refuse(now, request, refusal);
        }
    }

    /// Breaks off an answer that has been delivered in part.
    pub(super) fn break_off(&mut self, now: Millis, request: RequestNumber, reason: &'static str) {
        tracing::info!(request = request.0, reason, "answer broken off");
        self.release_open_run(request);
        self.emit(GatewayCommand::AbortResponse { request });
        self.finish(now, request);
    }

    /// Delivers the complete answer of a run that has ended, unless its status states that the
    /// request has not run. The caller would then send an at-most-once request again.
    pub(super) fn deliver_whole(
        &mut self,
        now: Millis,
        request: RequestNumber,
        run: &RunRecord,
        status: u16,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        if !state.route.kind.may_repeat() && !Self::is_status_true(state, status) {
            tracing::warn!(
                request = request.0,
                attempt = run.attempt.0,
                server = %run.server,
                status,
                "withheld an answer whose status states that the request has not run"
            );
            let refusal = Self::failure_refusal(state);
            self.refuse(now, request, refusal);
            return;
        }
        self.emit(GatewayCommand::Deliver { request, attempt: run.attempt });
        self.finish(now, request);
    }

    /// Returns whether what a status states about the run of a request is true.
    fn is_status_true(state: &RoutedRequest, status: u16) -> bool {
        RunState::stated_by(status).is_none_or(|stated| stated == state.run_state())
    }

    /// Ends a request with a refusal.
    pub(super) fn refuse(&mut self, now: Millis, request: RequestNumber, refusal: Refusal) {
        let Some(state) = self.requests.get(&request) else { return };
        let refusal = Self::true_refusal(state, refusal);
        // A retry is pointless before a server of the pool accepts requests again.
        let backoff = self.pool_backoff(now, &state.pool);
        let after = refusal.retry_after;
        let spread = after.filter(|_| backoff.is_none());
        let after = spread.map(|after| self.spread_return(request, after)).or(after);
        let refusal = Refusal { retry_after: after, ..refusal };
        let Some(state) = self.requests.get(&request) else { return };
        let longer = backoff.filter(|backoff| refusal.retry_after < Some(*backoff));
        let refusal = match longer.filter(|_| refusal.retry_after.is_some()) {
            Some(backoff) => refusal.with_retry_after(backoff),
            None => refusal,
        };
        tracing::info!(
            request = request.0,
            caller_id = %state.arrival.caller_id,
            route = %state.route.name,
            code = refusal.code.as_str(),
            run = refusal.run.as_str(),
            reason = %refusal.message,
            waited_ms = now.since(state.received).0,
            "refused"
        );
        self.release_open_run(request);
        self.emit(GatewayCommand::Refuse { request, refusal });
        self.finish(now, request);
    }

    /// Removes the run under way, if any, from its server's outstanding load. The task of the run
    /// ends with the exchange.
    pub(super) fn release_open_run(&mut self, request: RequestNumber) {
        let Some(state) = self.requests.get(&request) else { return };
        let Some(run) = state.open_run() else { return };
        if let Some(server) = self.servers.get_mut(&run.server) {
            server.release(run);
        }
    }

    pub(super) fn finish(&mut self, now: Millis, request: RequestNumber) {
        if let Some(state) = self.requests.remove(&request) {
            // A request that was answered completely has no crashes left to report to other VMs.
            let subject = CrashSubject::request(state.arrival.fingerprint);
            self.crashes.tracker.publish(subject);
            self.sessions.ended(now, Self::session_hash(&state));
            self.ends.remove(&(state.ends, request));
            self.end_permit_wait(&state.pool, request);
        }
    }

    pub(super) fn timeout_refusal(state: &RoutedRequest) -> Refusal {
        let message = "There was no answer before the deadline.";
        Self::final_refusal(state, RefusalCode::Timeout, message)
    }

    pub(super) fn failure_refusal(state: &RoutedRequest) -> Refusal {
        let message = "The backend servers gave no answer that can be passed on.";
        Self::final_refusal(state, RefusalCode::BadGateway, message)
    }

    pub(super) fn no_server_refusal(state: &RoutedRequest) -> Refusal {
        let message = "The pool has no backend server that can be used now; ask again.";
        Self::final_refusal(state, RefusalCode::Unavailable, message)
    }

    /// Returns a refusal that says "not run" only if no server can have run the request. Otherwise
    /// it carries the actual run state and invites no retry.
    pub(super) fn final_refusal(
        state: &RoutedRequest,
        code: RefusalCode,
        message: &str,
    ) -> Refusal {
        let run = state.run_state();
        if run == RunState::NotRun {
            let retry = Millis(Self::NO_SERVER_RETRY_MS);
            return Refusal::not_run(RefusalCode::Unavailable, message).with_retry_after(retry);
        }
        Self::true_refusal(state, Refusal::not_run(code, message))
    }

    /// Returns the refusal with what is known about the run. If a server may have run the request,
    /// its status states nothing about that, and it invites no retry.
    fn true_refusal(state: &RoutedRequest, refusal: Refusal) -> Refusal {
        let run = state.run_state();
        if run == RunState::NotRun {
            return refusal;
        }
        let is_true = Self::is_status_true(state, refusal.code.status());
        let code = if is_true { refusal.code } else { RefusalCode::BadGateway };
        Refusal { code, retry_after: None, run, ..refusal }
    }
}
