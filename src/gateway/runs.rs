//! Sending requests to backend servers, and what follows from how their runs end.

use super::*;

impl Gateway {
    /// The multiple of the expected time after which a server counts as silent.
    const PATIENCE: u64 = 4;
    /// The time below which a server cannot answer any more.
    const LEAST_TIME_MS: u64 = 20;
    /// The part of the permitted share of second sends that is used; the rest is for requests that
    /// a bound counts in another window than this VM.
    const RESEND_PART: f64 = 0.85;
    /// The time after which a caller may come back when a pool has no server to offer.
    const NO_SERVER_MS: u64 = 300;

    /// Sends a request to the server that is expected to answer it first.
    pub(super) fn send(
        &mut self,
        now: Millis,
        request: RequestNumber,
        reason: &'static str,
    ) -> Result<(), Refusal> {
        let Some(state) = self.requests.get(&request) else { return Ok(()) };
        if state.ends.since(now).0 < Self::LEAST_TIME_MS {
            return Err(Self::timeout_refusal(state));
        }
        let Some((place, side)) = self.find_place(now, state) else {
            return Err(Self::no_server_refusal(state));
        };
        self.start(now, request, place, side, reason);
        Ok(())
    }

    /// Returns the server that is expected to answer a request first, and the side of a roll-out
    /// that it is on.
    fn find_place(
        &self,
        now: Millis,
        state: &RoutedRequest,
    ) -> Option<(Place, Option<VersionSide>)> {
        let (side, software) = self.software_rule(now, state);
        let tried = state.tried();
        let pace = self.pace(state);
        let parts = state.cached_parts();
        let wish = PlaceWish {
            pool: &state.pool,
            software: &software,
            tried: &tried,
            data_centre: &self.identity.data_centre,
            parts: &parts,
            pace,
            tie: xxh3_64(&state.arrival.request.0.to_le_bytes()),
        };
        choose_place(now, &self.servers, &wish).map(|place| (place, side))
    }

    fn start(
        &mut self,
        now: Millis,
        request: RequestNumber,
        place: Place,
        side: Option<VersionSide>,
        reason: &'static str,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        let pace = self.pace(state);
        let Some(state) = self.requests.get_mut(&request) else { return };
        let attempt = AttemptId(state.runs.len() as u64 + 1);
        tracing::info!(
            request = request.0,
            caller_id = %state.arrival.caller_id,
            attempt = attempt.0,
            route = %state.route.name,
            pool = %state.pool,
            server = %place.server,
            software = %place.software,
            model = state.model.as_ref().map(ModelId::as_str),
            unread_tokens = place.unread,
            expected_ms = place.expected.0,
            left_ms = state.ends.since(now).0,
            reason,
            "sent"
        );
        let work_ms = place.unread * pace.token_ms;
        if let Some(server) = self.servers.get_mut(&place.server) {
            server.started(now, work_ms, &state.cached_parts());
        }
        let is_engine = !state.arrival.parts.is_empty();
        let repeat = match state.route.kind {
            RouteKind::Once => RepeatRule::Once,
            RouteKind::Idempotent | RouteKind::Stream { .. } => RepeatRule::Repeatable,
        };
        let order = RunOrder {
            request,
            attempt,
            server: place.server.clone(),
            address: place.address,
            repeat,
            is_stream: state.route.kind.is_stream(),
            time_left: state.ends.since(now),
            model: state.model.clone(),
            rank: is_engine.then(|| Self::engine_rank(state)),
            team: state.team.clone(),
            after_event: state.last_event,
        };
        state.runs.push(RunTrack {
            attempt,
            server: place.server,
            side,
            started: now,
            expected: place.expected,
            unread: place.unread,
            work_ms,
            stage: RunStage::Waiting,
            model: state.model.clone(),
            is_dropped: false,
        });
        if state.route.kind == RouteKind::Idempotent {
            let patience = state.route.objective.max(Millis(place.expected.0 * Self::PATIENCE));
            self.patiences.insert((now + patience, request));
        }
        self.emit(GatewayCommand::Start(Box::new(order)));
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

    fn leave_silent_run(&mut self, now: Millis, request: RequestNumber) {
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

    /// Returns the rank of a request in an engine's queue. Short work goes first: a larger model
    /// takes many times as long to read a prompt, and what waits behind it would be late too.
    fn engine_rank(state: &RoutedRequest) -> u8 {
        /// Behind all ranks of routes and teams.
        const LARGE_MODEL_RANK: u8 = 5;
        if state.is_large() { LARGE_MODEL_RANK + state.rank } else { state.rank }
    }

    fn pace(&self, state: &RoutedRequest) -> PoolPace {
        let is_engine = !state.arrival.parts.is_empty();
        let unknown = if is_engine { PoolPace::engine() } else { PoolPace::service() };
        let key = (state.pool.clone(), state.model.clone());
        self.paces.get(&key).copied().unwrap_or(unknown)
    }

    pub(super) fn on_run(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
        report: RunReport,
    ) {
        match report {
            RunReport::Began { head } => self.on_began(now, request, attempt, head),
            RunReport::Ended(outcome) => self.on_ended(now, request, attempt, &outcome),
        }
    }

    fn on_began(
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
        let run = run.clone();
        let pool = state.pool.clone();
        let took = now.since(run.started);
        tracing::info!(
            request = request.0,
            attempt = attempt.0,
            took_ms = took.0,
            expected_ms = run.expected.0,
            confidence = head.confidence,
            "first event"
        );
        let mut alone = false;
        if let Some(server) = self.servers.get_mut(&run.server) {
            alone = server.backlog_ms <= run.work_ms;
            server.prompt_read(run.work_ms);
            if let Some(load) = head.load {
                server.told_load(now, load);
            }
        }
        if alone {
            let key = (pool.clone(), run.model.clone());
            let pace = self.paces.entry(key).or_insert_with(PoolPace::engine);
            pace.learn_prompt(run.unread, took.0 as f64);
        }
        self.note_pace(&pool, &run, took);
        if let Some(state) = self.requests.get(&request).filter(|state| state.is_large()) {
            let objective = state.route.objective;
            self.pressures.entry(pool).or_default().note(took, objective);
        }
        if self.escalate(now, request, attempt, head.confidence) {
            return;
        }
        if let Some(state) = self.requests.get_mut(&request) {
            state.is_delivered = true;
        }
        self.emit(GatewayCommand::Deliver { request, attempt });
    }

    /// Drops an answer that is doubted and sends the request to the largest model, if the answer of
    /// that one would be worth more.
    fn escalate(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
        confidence: Option<u8>,
    ) -> bool {
        let Some(state) = self.requests.get(&request) else { return false };
        let Some(confidence) = confidence else { return false };
        let largest = state.route.models.last();
        let is_last = state.model.as_ref() == largest;
        if is_last || state.is_delivered || !state.may_send_again() {
            return false;
        }
        let mut larger = state.clone();
        larger.model = largest.cloned();
        let Some(run) = larger.run_mut(attempt) else { return false };
        run.stage = RunStage::Over;
        run.is_dropped = true;
        let run = run.clone();
        let Some((place, side)) = self.find_place(now, &larger) else { return false };
        let due = state.received + state.route.objective;
        let is_on_time = now + place.expected < due;
        let prompt: u64 = state.arrival.parts.iter().map(|part| part.tokens.0).sum();
        let unread_part = place.unread / prompt.max(1) as f64;
        let pressure = self.pressure(now, &state.pool);
        let prognosis = AnswerPrognosis { confidence, is_on_time, pressure, unread_part };
        if !prognosis.is_worth_more() || !self.take_resend(now, &larger.pool) {
            return false;
        }
        self.drop_open_run(request);
        self.emit(GatewayCommand::Cancel { request, attempt });
        self.note_good(&larger.pool.clone(), &run);
        self.requests.insert(request, larger);
        self.start(now, request, place, side, "the smaller model doubts its answer");
        true
    }

    /// Returns how long larger models keep callers of a pool waiting.
    fn pressure(&self, now: Millis, pool: &PoolId) -> f64 {
        let awaited = self.requests.values().filter(|state| state.pool == *pool);
        let awaited = awaited.filter(|state| state.is_large()).filter_map(|state| {
            let run = state.open_run().filter(|run| run.stage == RunStage::Waiting)?;
            Some(EnginePressure::part(now.since(run.started), state.route.objective))
        });
        let (count, sum) = awaited.fold((0, 0.0), |(count, sum), part| (count + 1, sum + part));
        let known = self.pressures.get(pool).copied().unwrap_or_default();
        known.level(sum / f64::from(count.max(1)))
    }

    fn take_resend(&mut self, now: Millis, pool: &PoolId) -> bool {
        let window = self.bounds.resend_window_ms;
        let share = self.bounds.resend_share.get() * Self::RESEND_PART;
        self.budgets.entry(pool.clone()).or_default().take(now, window, share)
    }

    fn on_ended(
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
        let before = run.clone();
        run.stage = match outcome {
            RunOutcome::NotRun { cause: NotRunCause::Unreachable, .. } => RunStage::Unsent,
            RunOutcome::NotRun { .. } => RunStage::NotRun,
            RunOutcome::Whole { .. } | RunOutcome::Broken { .. } => RunStage::Over,
        };
        if let RunOutcome::Broken { last_event, .. } = outcome {
            state.last_event = state.last_event.max(*last_event);
        }
        tracing::info!(
            request = request.0,
            attempt = attempt.0,
            server = %before.server,
            took_ms = now.since(before.started).0,
            outcome = ?outcome,
            "run ended"
        );
        self.note_end(now, request, &before, outcome);
        self.follow_up(now, request, attempt, &before, outcome);
    }

    /// Enters the end of a run into the books.
    fn note_end(
        &mut self,
        now: Millis,
        request: RequestNumber,
        run: &RunTrack,
        outcome: &RunOutcome,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        let (pool, is_stream) = (state.pool.clone(), state.route.kind.is_stream());
        if let Some(server) = self.servers.get_mut(&run.server) {
            server.ended();
            if run.stage == RunStage::Waiting {
                server.prompt_read(run.work_ms);
            }
            match outcome {
                RunOutcome::Whole { head } => {
                    server.answered(head.status >= 500);
                    if let Some(load) = head.load
                        && !is_stream
                    {
                        server.told_load(now, load);
                    }
                }
                RunOutcome::NotRun { cause: NotRunCause::Unreachable, .. }
                | RunOutcome::Broken { fault: AttemptFault::Silent, .. } => server.missed(now),
                RunOutcome::NotRun { load, .. } => {
                    if let Some(load) = load {
                        server.told_load(now, *load);
                    }
                }
                RunOutcome::Broken { .. } => server.answered(true),
            }
        }
        if let RunOutcome::Whole { head } = outcome
            && !is_stream
            && let Some(load) = head.load
        {
            let took = now.since(run.started).0 as f64;
            let key = (pool.clone(), None);
            let pace = self.paces.entry(key).or_insert_with(PoolPace::service);
            pace.learn_call(took, load.slots);
        }
        self.note_evidence(&pool, run, outcome);
    }

    /// Delivers the answer of a run, sends its request once more, or refuses it.
    fn follow_up(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
        run: &RunTrack,
        outcome: &RunOutcome,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        match outcome {
            RunOutcome::Whole { .. } if run.stage == RunStage::Begun => self.finish(request),
            RunOutcome::Whole { head } => {
                let is_failure = head.status >= 500;
                if is_failure && state.route.kind.may_repeat() && !state.is_delivered {
                    if self.send_again(now, request, "the server answered a failure").is_ok() {
                        self.emit(GatewayCommand::Cancel { request, attempt });
                        return;
                    }
                }
                if self.requests.get(&request).is_some_and(|state| state.is_delivered) {
                    self.break_off(request, "a resumed stream failed");
                    return;
                }
                self.emit(GatewayCommand::Deliver { request, attempt });
                self.finish(request);
            }
            RunOutcome::NotRun { .. } => self.try_again(now, request, "the server did not run it"),
            RunOutcome::Broken { .. } => self.try_again(now, request, "the answer broke"),
        }
    }

    fn try_again(&mut self, now: Millis, request: RequestNumber, reason: &'static str) {
        let Err(refusal) = self.send_again(now, request, reason) else { return };
        if self.requests.get(&request).is_some_and(|state| state.is_delivered) {
            self.break_off(request, "the stream broke and cannot be resumed");
        } else {
            self.refuse(now, request, refusal);
        }
    }

    /// Sends a request once more, if its route, the budget and the time left permit it.
    fn send_again(
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

    pub(super) fn on_caller_gone(&mut self, now: Millis, request: RequestNumber) {
        let Some(state) = self.requests.get(&request) else { return };
        tracing::info!(
            request = request.0,
            waited_ms = now.since(state.received).0,
            "the caller has gone"
        );
        self.drop_open_run(request);
        self.finish(request);
    }

    /// Ends the requests whose time is over.
    pub(super) fn end_overdue(&mut self, now: Millis) {
        while let Some((at, request)) = self.ends.first().copied() {
            if at > now {
                return;
            }
            let Some(state) = self.requests.get(&request) else {
                self.ends.pop_first();
                continue;
            };
            if state.is_delivered {
                self.break_off(request, "the time of the route is over");
            } else {
                let refusal = Self::timeout_refusal(state);
                self.refuse(now, request, refusal);
            }
        }
    }

    /// Breaks off an answer of which the caller has a part.
    fn break_off(&mut self, request: RequestNumber, reason: &'static str) {
        tracing::info!(request = request.0, reason, "broken off");
        self.drop_open_run(request);
        self.emit(GatewayCommand::BreakOff { request });
        self.finish(request);
    }

    /// Gives a request its final answer.
    pub(super) fn refuse(&mut self, now: Millis, request: RequestNumber, refusal: Refusal) {
        let Some(state) = self.requests.get(&request) else { return };
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
        self.drop_open_run(request);
        self.emit(GatewayCommand::Refuse { request, refusal });
        self.finish(request);
    }

    /// Takes the run that is under way off its server's books; its task ends with the exchange.
    fn drop_open_run(&mut self, request: RequestNumber) {
        let Some(state) = self.requests.get(&request) else { return };
        let Some(run) = state.open_run() else { return };
        let Some(server) = self.servers.get_mut(&run.server) else { return };
        server.ended();
        if run.stage == RunStage::Waiting {
            server.prompt_read(run.work_ms);
        }
    }

    fn finish(&mut self, request: RequestNumber) {
        if let Some(state) = self.requests.remove(&request) {
            self.ends.remove(&(state.ends, request));
        }
    }

    fn timeout_refusal(state: &RoutedRequest) -> Refusal {
        let message = "There was no answer before the deadline.";
        Self::final_refusal(state, RefusalCode::Timeout, message)
    }

    fn failure_refusal(state: &RoutedRequest) -> Refusal {
        let message = "The backend servers gave no answer that can be passed on.";
        Self::final_refusal(state, RefusalCode::BadGateway, message)
    }

    fn no_server_refusal(state: &RoutedRequest) -> Refusal {
        let message = "The pool has no backend server that can be used now; ask again.";
        Self::final_refusal(state, RefusalCode::Unavailable, message)
    }

    /// Returns a refusal: one that says "not run" if that is certain, else one that promises nothing.
    fn final_refusal(state: &RoutedRequest, code: RefusalCode, message: &str) -> Refusal {
        let run = state.run_state();
        if run == RunState::NotRun {
            let retry = Millis(Self::NO_SERVER_MS);
            return Refusal::not_run(RefusalCode::Unavailable, message).with_retry_after(retry);
        }
        let code = if code == RefusalCode::Unavailable { RefusalCode::BadGateway } else { code };
        Refusal::not_run(code, message).with_run(run)
    }
}
