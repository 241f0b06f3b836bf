//! Sending requests to backend servers.

use super::*;

impl Gateway {
    /// The time below which a server cannot answer any more.
    const LEAST_TIME_MS: u64 = 20;
    /// The multiple of the expected time after which a server counts as silent.
    const PATIENCE: u64 = 4;

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
        if let Some(refusal) = self.quarantine_refusal(now, state) {
            return Err(refusal);
        }
        let Some((place, side)) = self.find_place(now, state) else {
            let backoff = self.pool_backoff(now, &state.pool);
            let Some(backoff) = backoff else { return Err(Self::no_server_refusal(state)) };
            return self.wait_backoff(now, request, backoff);
        };
        self.start(now, request, place, side, reason);
        Ok(())
    }

    /// Returns the server that is expected to answer a request first, and the side of a roll-out
    /// that it is on.
    pub(super) fn find_place(
        &self,
        now: Millis,
        state: &RoutedRequest,
    ) -> Option<(Place, Option<VersionSide>)> {
        let (side, software) = self.software_rule(now, state);
        let mut tried = state.tried();
        tried.extend(self.servers_of_suspects(state));
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

    pub(super) fn start(
        &mut self,
        now: Millis,
        request: RequestNumber,
        place: Place,
        side: Option<VersionSide>,
        reason: &'static str,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        let token_ms = self.pace(state).token_ms;
        let Some(state) = self.requests.get_mut(&request) else { return };
        let attempt = AttemptId(state.runs.len() as u64 + 1);
        tracing::info!(
            request = request.0,
            caller_id = %state.arrival.caller_id,
            fingerprint = %state.arrival.fingerprint,
            attempt = attempt.0,
            route = %state.route.name,
            pool = %state.pool,
            server = %place.server,
            software = %place.software,
            model = state.model.as_ref().map(ModelId::as_str),
            unread_tokens = place.unread,
            expected_ms = place.expected.0,
            left_ms = state.ends.since(now).0,
            session = state.arrival.session.as_deref(),
            reason,
            "sent"
        );
        let work_ms = place.unread * token_ms;
        let (mut is_cold, mut is_half_open, mut born) = (false, false, None);
        if let Some(server) = self.servers.get_mut(&place.server) {
            is_half_open = server.started(now, work_ms, &state.cached_parts());
            is_cold = now < server.cold_until;
            born = server.entry.born;
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
        };
        state.runs.push(RunTrack {
            attempt,
            server: place.server,
            side,
            started: now,
            is_cold,
            is_half_open,
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
        self.note_session(now, request, &place.software);
        self.emit(GatewayCommand::Start(Box::new(order)));
    }

    /// Returns the time without an event after which another server is to go on with a stream. A
    /// stream is sound as long as its events come within the pause that callers accept, and of use
    /// as long as they wait, which is eight times that pause. One that no other server may go on
    /// with is never given up for slowness.
    fn stall_limit(state: &RoutedRequest) -> Option<Millis> {
        /// Half of what callers wait: the server that goes on has the other half.
        const STALL_PAUSES: u64 = 4;
        /// Shorter pauses come from an engine that has put a stream back for more urgent ones.
        const LEAST_STALL_MS: u64 = 3_000;
        let is_resumable = state.route.kind == RouteKind::Stream { resumable: true };
        let pause = state.route.pause.filter(|_| is_resumable)?;
        Some(Millis((pause.0 * STALL_PAUSES).max(LEAST_STALL_MS)))
    }

    /// Returns the rank of a request in an engine's queue. Short work goes first: a larger model
    /// takes many times as long to read a prompt, and what waits behind it would be late too.
    pub(super) fn engine_rank(state: &RoutedRequest) -> u8 {
        /// Behind all ranks of routes and teams.
        const LARGE_MODEL_RANK: u8 = 5;
        if state.is_large() { LARGE_MODEL_RANK + state.rank } else { state.rank }
    }

    pub(super) fn pace(&self, state: &RoutedRequest) -> PoolPace {
        let is_engine = !state.arrival.parts.is_empty();
        let unknown = if is_engine { PoolPace::engine() } else { PoolPace::service() };
        let key = (state.pool.clone(), state.model.clone());
        self.paces.get(&key).copied().unwrap_or(unknown)
    }
}
