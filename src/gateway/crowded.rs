//! Calls that wait because every server of their pool is full.
//!
//! A plain service takes as many connections and requests as it can hold and turns the rest away,
//! which costs nothing but time. A call that all of its pool's servers have turned away waits here
//! for a moment and is sent again, as long as its answer can still be on time; then its caller is
//! told "not run" and when to come back. The load pattern that this answers: one team, or callers
//! that repeat at once, at several times the usual rate for some seconds. Slots come free every few
//! milliseconds, so that a busy moment costs a wait and not a booking. Teams that have sent much
//! lately wait longer between two tries than those that have not, so that a free slot goes to the
//! others first.

use super::*;

/// The calls that wait, by when they are sent again.
#[derive(Clone, Debug, Default)]
pub(super) struct CrowdedCalls {
    due: BTreeSet<(Millis, RequestNumber)>,
    shares: TeamShares,
}

impl CrowdedCalls {
    /// Returns when the next call is sent again.
    pub(super) fn next(&self) -> Option<Millis> {
        self.due.first().map(|(at, _)| *at)
    }
}

impl Gateway {
    /// The mean pause of a call before it is sent again, if its team sends no more than others: a
    /// slot of a pool of a few servers comes free about as often.
    const CROWDED_PAUSE_MS: f64 = 15.0;
    /// The most by which a team's share of the requests stretches that pause.
    const CROWDED_STRETCH: f64 = 4.0;
    /// The pause after which a caller may come back that has waited in vain, as a multiple of the
    /// time that it waited.
    const CROWDED_RETURN: f64 = 2.0;

    /// Notes a request, for the shares of the teams.
    pub(super) fn note_team(&mut self, now: Millis, team: Option<&TeamId>) {
        self.crowded.shares.note(now, team);
    }

    /// Sends a call on that was turned away, lets it wait, or refuses it.
    pub(super) fn on_crowded(&mut self, now: Millis, request: RequestNumber) {
        let Some(state) = self.requests.get(&request) else { return };
        let tried = state.tried();
        let has_other = self
            .servers
            .open(&state.pool)
            .filter(|server| server.backoff(now).is_none())
            .any(|server| server.is_reachable(now) && !tried.contains(&server.entry.id));
        if has_other || state.route.kind.is_stream() {
            self.try_again(now, request, "the server takes no more connections");
        } else if !self.wait_crowded(now, request)
            && let Some(refusal) = self.crowded_refusal(now, request)
        {
            self.refuse(now, request, refusal);
        }
    }

    /// Lets a call wait that was turned away; returns whether it does.
    fn wait_crowded(&mut self, now: Millis, request: RequestNumber) -> bool {
        let draw = self.draw();
        let Some(state) = self.requests.get(&request) else { return false };
        if state.run_state() != RunState::NotRun {
            return false;
        }
        let stretch = self.crowded.shares.stretch(now, state.team.as_ref());
        let pause = Self::CROWDED_PAUSE_MS * stretch.min(Self::CROWDED_STRETCH);
        let at = now + Millis((pause * (0.5 + draw)) as u64);
        if at > self.last_start(state) {
            return false;
        }
        self.wait_until(now, request, at, "waits: all are full");
        true
    }

    /// Returns the last moment at which a call may start whose answer is to be on time.
    pub(super) fn last_start(&self, state: &RoutedRequest) -> Millis {
        let usual = self.pace(state).queue_ms;
        let last = (state.received + state.route.objective).since(Millis(usual as u64));
        last.min(state.ends)
    }

    /// Sends a request that has not run again at a later moment.
    pub(super) fn wait_until(
        &mut self,
        now: Millis,
        request: RequestNumber,
        at: Millis,
        reason: &'static str,
    ) {
        if let Some(state) = self.requests.get_mut(&request) {
            state.turn_start = state.runs.len();
        }
        tracing::info!(request = request.0, until_ms = at.since(now).0, "{reason}");
        self.crowded.due.insert((at, request));
    }

    /// Sends the calls again whose pause is over.
    pub(super) fn send_crowded(&mut self, now: Millis) {
        while let Some((at, request)) = self.crowded.due.first().copied() {
            if at > now {
                return;
            }
            self.crowded.due.pop_first();
            if !self.requests.contains_key(&request) {
                continue;
            }
            if let Err(refusal) = self.send(now, request, "a slot may be free") {
                self.refuse(now, request, refusal);
            }
        }
    }

    /// Returns the refusal of a call that was turned away everywhere.
    fn crowded_refusal(&mut self, now: Millis, request: RequestNumber) -> Option<Refusal> {
        let draw = self.draw();
        let state = self.requests.get(&request)?;
        let waited = now.since(state.received).0.max(state.route.objective.0 / 4) as f64;
        let pause = waited * Self::CROWDED_RETURN * (0.5 + draw);
        let message = "All backend servers of the pool are full; ask again.";
        let refusal = Self::final_refusal(state, RefusalCode::Unavailable, message);
        let is_not_run = refusal.run == RunState::NotRun;
        Some(if is_not_run { refusal.with_retry_after(Millis(pause as u64)) } else { refusal })
    }
}
