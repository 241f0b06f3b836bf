use super::*;

/// The software version that each recent session of this VM ran on.
///
/// A session that was in progress when a rollout was ordered, or before the new servers were
/// available, ran on the old version and stays there during the canary stage. A session that has
/// run on the new version does not go back.
#[derive(Clone, Debug, Default)]
pub struct SessionVersions {
    sessions: FxHashMap<u64, SessionVersion>,
}

#[derive(Clone, Debug)]
struct SessionVersion {
    software: SmolStr,
    last_active: Millis,
}

impl SessionVersions {
    /// Number of sessions from which on those that have ended are dropped.
    const LIMIT: usize = 8_192;

    /// Returns the version that a session last ran on, or `None` if its last request is longer ago
    /// than `within`.
    #[must_use]
    pub fn version(&self, now: Millis, session: u64, within: Millis) -> Option<&str> {
        let known = self.sessions.get(&session)?;
        (now.since(known.last_active) <= within).then_some(known.software.as_str())
    }

    /// Returns the sessions whose last request, at most `within` ago, ran on another version than
    /// `software`.
    pub fn others(&self, now: Millis, software: &str, within: Millis) -> impl Iterator<Item = u64> {
        let is_other = move |known: &SessionVersion| {
            known.software != software && now.since(known.last_active) <= within
        };
        self.sessions.iter().filter(move |(_, known)| is_other(known)).map(|(session, _)| *session)
    }

    /// Records the version on which a request of a session starts. `within` is the idle time after
    /// which a session has ended.
    pub fn started(&mut self, now: Millis, session: u64, software: SmolStr, within: Millis) {
        if self.sessions.len() >= Self::LIMIT {
            self.sessions.retain(|_, known| now.since(known.last_active) <= within);
        }
        self.sessions.insert(session, SessionVersion { software, last_active: now });
    }

    /// Records that a request of a session has ended, which restarts the session's idle time.
    pub fn ended(&mut self, now: Millis, session: u64) {
        if let Some(known) = self.sessions.get_mut(&session) {
            known.last_active = now;
        }
    }
}
