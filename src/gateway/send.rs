//! Sending requests to backend servers.

use super::*;

impl Gateway {
    /// A request with less time left than this is not sent, as no server could answer it in time.
    const MIN_TIME_LEFT_MS: u64 = 20;

    /// Sends a request to the server with the lowest estimated cost, or lets it wait if all servers
    /// are in backoff or at their limits. Returns the refusal if neither is possible.
    pub(super) fn send(
        &mut self,
        now: Millis,
        request: RequestNumber,
        reason: &'static str,
    ) -> Result<(), Refusal> {
        let Some(state) = self.requests.get(&request) else { return Ok(()) };
        if state.ends.since(now).0 < Self::MIN_TIME_LEFT_MS {
            return Err(Self::timeout_refusal(state));
        }
        if state.run_state() == RunState::NotRun && self.is_too_late_to_send(now, state.ends) {
            let message =
                "This entry VM is ending and may have no time for the request; ask again.";
            return Err(Self::retry_elsewhere(message));
        }
        if let Some(refusal) = self.quarantine_refusal(now, request) {
            return Err(refusal);
        }
        let Some(state) = self.requests.get(&request) else { return Ok(()) };
        if let Some(end) = self.crashes.catch_up_end(now)
            && !state.arrival.parts.is_empty()
        {
            self.wait_until(now, request, end, "waits: this VM was suspended; asks for crash news");
            return Ok(());
        }
        let found = self.find_server(now, state);
        let pool = state.pool.clone();
        let Some((place, side)) = found else {
            if let Some(wait) = self.permit_wait(now, &pool) {
                return self.wait_for_permit(now, request, wait);
            }
            let Some(state) = self.requests.get(&request) else { return Ok(()) };
            let backoff = self.pool_backoff(now, &state.pool);
            let Some(backoff) = backoff else {
                let refusal = Self::no_server_refusal(state);
                self.record_withheld(request);
                return Err(refusal);
            };
            return self.wait_backoff(now, request, backoff);
        };
        if self.check_room(now, request, &place)? {
            self.start(now, request, place, side, reason);
        }
        Ok(())
    }

    /// Returns the server for a request, and the side of the pool's roll-out that its version is
    /// on.
    pub(super) fn find_server(
        &self,
        now: Millis,
        state: &RoutedRequest,
    ) -> Option<(SelectedServer, Option<VersionSide>)> {
        self.find_server_among(now, state, true)
    }

    /// The same; servers that have a request limit are only used if `may_use_limited` is true.
    pub(super) fn find_server_among(
        &self,
        now: Millis,
        state: &RoutedRequest,
        may_use_limited: bool,
    ) -> Option<(SelectedServer, Option<VersionSide>)> {
        let (side, software) = self.software_rule(now, state);
        let mut tried = state.tried();
        tried.extend(self.servers_of_suspects(state));
        let pace = self.pace(state);
        let parts = state.cached_parts();
        let wish = ServerCriteria {
            pool: &state.pool,
            software: &software,
            tried: &tried,
            data_centre: &self.identity.data_centre,
            parts: &parts,
            pace,
            may_use_limited,
            tie: xxh3_64(&state.arrival.request.0.to_le_bytes()),
        };
        select_server(now, &self.servers, &wish).map(|place| (place, side))
    }

    pub(super) fn start(
        &mut self,
        now: Millis,
        request: RequestNumber,
        place: SelectedServer,
        side: Option<VersionSide>,
        reason: &'static str,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        let token_ms = self.pace(state).token_ms();
        let forecast = self.answer_forecast(now, state, &place);
        let limit = self.servers.get(&place.server).and_then(BackendServer::permit_rate);
        let pool = state.pool.clone();
        let at_limit = self.servers.open(&pool).filter(|server| server.is_at_limit(now)).count();
        self.end_permit_wait(&pool, request);
        let Some(state) = self.requests.get_mut(&request) else { return };
        let attempt = AttemptId(state.runs.len() as u64 + 1);
        tracing::info!(
            request = request.0,
            caller_id = %state.arrival.caller_id,
            fingerprint = %state.arrival.fingerprint,
            parts = %state.shared_part_names(),
            attempt = attempt.0,
            route = %state.route.name,
            pool = %state.pool,
            server = %place.server,
            software = %place.software,
            model = state.model.as_ref().map(ModelId::as_str),
            unread_tokens = place.unread,
            expected_ms = forecast.map_or(place.expected, |known| known.median_first()).0,
            expected_end_ms = forecast.map(|known| known.median_end().0),
            left_ms = state.ends.since(now).0,
            session = state.arrival.session.as_deref(),
            limit_per_s = limit.map(|limit| limit.0),
            at_limit,
            reason,
            "sent"
        );
        let work_ms = place.unread * token_ms;
        let (mut is_cold, mut is_half_open, mut born) = (false, false, None);
        let mut is_awaited = limit.is_some();
        if let Some(server) = self.servers.get_mut(&place.server) {
            is_half_open = server.start_request(now, work_ms, &state.cached_parts());
            is_cold = now < server.cold_until;
            born = server.entry.born;
            is_awaited |= server.warmth.is_unreached();
        }
        let is_engine = !state.arrival.parts.is_empty();
        let repeat = match state.route.kind {
            RouteKind::Once => RepeatRule::AtMostOnce,
            RouteKind::Idempotent | RouteKind::Stream { .. } => RepeatRule::Repeatable,
        };
        let order = RunOrder {
            request,
            attempt,
            server: place.server.clone(),
            born,
            address: place.address,
            repeat,
            is_stream: state.route.kind.is_stream(),
            stall: Self::stall_limit(state),
            time_left: state.ends.since(now),
            model: state.model.clone(),
            rank: is_engine.then(|| Self::engine_rank(state)),
            team: state.team.clone(),
            after_event: state.last_event,
            sent: now,
            is_limited: is_awaited,
        };
        state.runs.push(RunRecord {
            attempt,
            server: place.server,
            side,
            started: now,
            is_cold,
            is_half_open,
            expected: place.expected,
            forecast,
            began: None,
            unread: place.unread,
            work_ms,
            stage: RunStage::Waiting,
            model: state.model.clone(),
            is_discarded: false,
        });
        if let Some(at) = Self::response_deadline(now, state, place.expected) {
            self.response_deadlines.insert((at, request));
        }
        self.record_session_start(now, request, &place.software);
        self.emit(GatewayCommand::Start(Box::new(order)));
    }

    /// Returns the time without an event after which a stream is resumed at another server. A
    /// stream is healthy as long as its events arrive within the pause that callers accept, and
    /// useful until callers give up, which is after eight such pauses. A stream that cannot be
    /// resumed at another server is never abandoned for slowness.
    fn stall_limit(state: &RoutedRequest) -> Option<Millis> {
        /// Half of the time that callers wait; the server that resumes the stream has the other
        /// half.
        const STALL_PAUSES: u64 = 4;
        /// Shorter pauses occur when an engine preempts a stream for more urgent ones.
        const MIN_STALL_MS: u64 = 3_000;
        let is_resumable = state.route.kind == RouteKind::Stream { resumable: true };
        let pause = state.route.pause.filter(|_| is_resumable)?;
        Some(Millis((pause.0 * STALL_PAUSES).max(MIN_STALL_MS)))
    }

    /// Returns the rank of a request in an engine's queue, 0 first. Requests for larger models go
    /// last: a larger model takes many times as long to process a prompt, and would make the
    /// requests behind it late.
    pub(super) fn engine_rank(state: &RoutedRequest) -> u8 {
        /// Greater than all ranks of routes and teams.
        const LARGE_MODEL_RANK: u8 = 5;
        if state.is_large() { LARGE_MODEL_RANK + state.rank } else { state.rank }
    }

    pub(super) fn pace(&self, state: &RoutedRequest) -> PoolLatencyModel {
        let is_engine = !state.arrival.parts.is_empty();
        let initial =
            if is_engine { PoolLatencyModel::engine() } else { PoolLatencyModel::service() };
        let key = (state.pool.clone(), state.model.clone());
        self.latency_models.get(&key).copied().unwrap_or(initial)
    }
}
