//! Requests that wait because every server of their pool is saturated.
//!
//! A plain service accepts a limited number of connections and requests and rejects the rest, which
//! only costs time. A request that all servers of its pool rejected waits here briefly and is sent
//! again, as long as its answer can still be on time. After that it is refused with "not run" and a
//! `Retry-After`. This serves bursts in which one team, or callers that retry at once, send several
//! times the usual rate for some seconds: slots come free every few milliseconds, so that most
//! requests succeed after a short wait. Teams that sent many requests recently wait longer between
//! two tries, so that free slots go to the other teams first.

use super::*;

/// The waiting requests, ordered by the time of their next try.
#[derive(Clone, Debug, Default)]
pub(super) struct FullPoolQueue {
    tries: BTreeSet<(Millis, RequestNumber)>,
    shares: TeamShares,
}

impl FullPoolQueue {
    /// Returns the time of the next try; none if no request waits.
    pub(super) fn next(&self) -> Option<Millis> {
        self.tries.first().map(|(at, _)| *at)
    }

    /// Removes a request that is sent before its next try.
    pub(super) fn remove(&mut self, request: RequestNumber) {
        self.tries.retain(|(_, waiting)| *waiting != request);
    }

    /// Returns the ratio of a team's share of the recent requests to an equal share.
    pub(super) fn overuse_factor(&self, now: Millis, team: Option<&TeamId>) -> f64 {
        self.shares.overuse_factor(now, team)
    }
}

impl Gateway {
    /// The mean wait before a request is sent again if its team sends no more than others. In a
    /// pool of a few servers, a slot comes free about as often.
    const FULL_POOL_WAIT_MS: f64 = 15.0;
    /// The largest factor by which a team's share of the requests lengthens that wait.
    const MAX_TEAM_FACTOR: f64 = 4.0;
    /// The mean `Retry-After` of a request that waited in vain, as a multiple of the time it
    /// waited.
    const RETRY_AFTER_FACTOR: f64 = 2.0;

    /// Counts a request for the shares of the teams.
    pub(super) fn count_team_request(&mut self, now: Millis, team: Option<&TeamId>) {
        self.crowded.shares.record(now, team);
    }

    /// Handles a connection that a saturated server refused: tries another server, lets the request
    /// wait, or refuses it.
    pub(super) fn on_crowded(&mut self, now: Millis, request: RequestNumber) {
        let Some(state) = self.requests.get(&request) else { return };
        let tried = state.tried();
        let has_other = self
            .servers
            .open(&state.pool)
            .filter(|server| server.accepts(now))
            .any(|server| server.is_reachable(now) && !tried.contains(&server.entry.id));
        if has_other || state.route.kind.is_stream() {
            self.retry_or_end(now, request, "the server takes no more connections");
        } else if !self.wait_for_slot(now, request)
            && let Some(refusal) = self.full_pool_refusal(now, request)
        {
            self.refuse(now, request, refusal);
        }
    }

    /// Schedules a rejected request to be sent again. Returns false if it may have run or if it
    /// could no longer be answered on time.
    fn wait_for_slot(&mut self, now: Millis, request: RequestNumber) -> bool {
        let draw = self.draw();
        let Some(state) = self.requests.get(&request) else { return false };
        if state.run_state() != RunState::NotRun {
            return false;
        }
        let overuse_factor = self.crowded.overuse_factor(now, state.team.as_ref());
        let pause = Self::FULL_POOL_WAIT_MS * overuse_factor.min(Self::MAX_TEAM_FACTOR);
        let at = now + Millis((pause * (0.5 + draw)) as u64);
        if at > self.last_start(state) {
            return false;
        }
        self.wait_until(now, request, at, "all servers of the pool are full; retrying later");
        true
    }

    /// Returns the latest time at which a request may start and still be answered within its
    /// objective.
    pub(super) fn last_start(&self, state: &RoutedRequest) -> Millis {
        let usual = self.pace(state).queue_ms;
        let last = (state.received + state.route.objective).since(Millis(usual as u64));
        last.min(state.ends)
    }

    /// Schedules a request that has not run to be sent again at `at`; `reason` is the log message.
    pub(super) fn wait_until(
        &mut self,
        now: Millis,
        request: RequestNumber,
        at: Millis,
        reason: &'static str,
    ) {
        if let Some(state) = self.requests.get_mut(&request) {
            state.first_run_since_wait = state.runs.len();
        }
        tracing::info!(request = request.0, until_ms = at.since(now).0, "{reason}");
        self.crowded.tries.insert((at, request));
    }

    /// Sends the waiting requests whose time has come.
    pub(super) fn send_waiting(&mut self, now: Millis) {
        while let Some((at, request)) = self.crowded.tries.first().copied() {
            if at > now {
                return;
            }
            self.crowded.tries.pop_first();
            if !self.requests.contains_key(&request) {
                continue;
            }
            if let Err(refusal) = self.send(now, request, "retry after waiting for a free slot") {
                self.give_up(now, request, refusal, Self::NO_PERMIT_REASON);
            }
        }
    }

    /// Returns the refusal of a request that all servers rejected; none if the request is unknown.
    fn full_pool_refusal(&mut self, now: Millis, request: RequestNumber) -> Option<Refusal> {
        let draw = self.draw();
        let state = self.requests.get(&request)?;
        let waited = now.since(state.received).0.max(state.route.objective.0 / 4) as f64;
        let pause = waited * Self::RETRY_AFTER_FACTOR * (0.5 + draw);
        let message = "All backend servers of the pool are full; ask again.";
        let refusal = Self::final_refusal(state, RefusalCode::Unavailable, message);
        let is_not_run = refusal.run == RunState::NotRun;
        Some(if is_not_run { refusal.with_retry_after(Millis(pause as u64)) } else { refusal })
    }
}
