//! Keeping sessions on their version during a rollout's canary stage.
//!
//! A session that ran on the old version stays there until the canary stage is over, at every entry
//! VM. A VM knows the versions of the sessions that it has served itself ([`SessionVersions`]).
//! Those of them that the canary stage would move to the new version it sends to the other VMs
//! ([`HeldSessions`]), which receive them before a new rollout takes sessions that are not known to
//! the VM ([`RolloutTrack::SETTLE_MS`]).

use super::*;

impl Gateway {
    /// Returns the side of a rollout on which a session's request runs.
    pub(super) fn session_side(
        &self,
        now: Millis,
        state: &RoutedRequest,
        track: &RolloutTrack,
    ) -> VersionSide {
        let target = &track.order.target;
        let session = Self::session_hash(state);
        let last = self.sessions.version(now, session, self.session_time());
        let is_running = track.state == RolloutState::Running;
        match last {
            Some(last) if is_running && last == *target => VersionSide::New,
            Some(_) if track.is_canary() => VersionSide::Old,
            None if track.is_canary() && self.is_held(now, track, session) => VersionSide::Old,
            _ => {
                let is_old = |server: &&BackendServer| server.entry.software != *target;
                let old_servers = self.servers.open(&state.pool).filter(is_old).count();
                track.side(&self.bounds, old_servers, session)
            }
        }
    }

    fn is_held(&self, now: Millis, track: &RolloutTrack, session: u64) -> bool {
        now < track.opens || self.held.contains(session)
    }

    /// Records the version on which a session's request starts, and holds the session if the canary
    /// stage might move it to the new version. Requests without prompt parts and without a session
    /// id are not tracked.
    pub(super) fn record_session_start(
        &mut self,
        now: Millis,
        request: RequestNumber,
        software: &SmolStr,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        if state.arrival.parts.is_empty() && state.arrival.session.is_none() {
            return;
        }
        let session = Self::session_hash(state);
        let track = self.rollouts.get(&state.pool).filter(|track| track.is_canary());
        let is_held = track.is_some_and(|track| {
            track.order.target != *software && RolloutTrack::may_join_canary(&self.bounds, session)
        });
        if is_held {
            self.held.hold(session);
        }
        let within = self.session_time();
        self.sessions.started(now, session, software.clone(), within);
    }

    /// Holds the sessions that were running on another version than `target` when its rollout was
    /// ordered.
    pub(super) fn hold_sessions(&mut self, now: Millis, target: &str) {
        let within = self.session_time();
        for session in self.sessions.others(now, target, within) {
            if RolloutTrack::may_join_canary(&self.bounds, session) {
                self.held.hold(session);
            }
        }
    }

    /// Releases the held sessions once no rollout is in the canary stage.
    pub(super) fn release_sessions(&mut self) {
        if !self.rollouts.values().any(RolloutTrack::is_canary) {
            self.held.clear();
        }
    }

    /// Holds the sessions that another VM has sent.
    pub(super) fn apply_held_sessions(&mut self, from: PeerName, news: &HeldSessionUpdate) {
        for session in &news.sessions {
            self.held.hold(*session);
        }
        self.held_positions.set_received(from, news.last);
    }

    pub(super) fn session_hash(state: &RoutedRequest) -> u64 {
        match (&state.arrival.session, state.arrival.parts.last()) {
            (Some(session), _) => xxh3_64(session.as_bytes()),
            (None, Some(part)) => xxh3_64(&part.id.to_le_bytes()),
            (None, None) => xxh3_64(state.arrival.caller_id.as_bytes()),
        }
    }

    /// Returns the idle time after which a session has ended.
    const fn session_time(&self) -> Millis {
        Millis((self.bounds.session_s * 1_000.0) as u64)
    }
}
