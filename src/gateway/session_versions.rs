use super::*;

/// The versions on which this VM has served sessions lately.
///
/// A session that was under way when a roll-out was ordered, or before the new servers were there,
/// ran on the old version and stays there while the roll-out is on trial; one that has run on the
/// new version does not go back.
#[derive(Clone, Debug, Default)]
pub struct SessionVersions {
    sessions: FxHashMap<u64, SessionVersion>,
}

#[derive(Clone, Debug)]
struct SessionVersion {
    software: SmolStr,
    seen: Millis,
}

impl SessionVersions {
    /// The sessions that are kept; beyond, those that have ended are forgotten.
    const LIMIT: usize = 8_192;

    /// Returns the version of a session's last request, if that was within a time.
    #[must_use]
    pub fn version(&self, now: Millis, session: u64, within: Millis) -> Option<&str> {
        let known = self.sessions.get(&session)?;
        (now.since(known.seen) <= within).then_some(known.software.as_str())
    }

    /// Returns the sessions whose last request, if it was within a time, was not on a version.
    pub fn others(&self, now: Millis, software: &str, within: Millis) -> impl Iterator<Item = u64> {
        let is_other = move |known: &SessionVersion| {
            known.software != software && now.since(known.seen) <= within
        };
        self.sessions.iter().filter(move |(_, known)| is_other(known)).map(|(session, _)| *session)
    }

    /// Notes the version on which a session's request starts.
    pub fn started(&mut self, now: Millis, session: u64, software: SmolStr, within: Millis) {
        if self.sessions.len() >= Self::LIMIT {
            self.sessions.retain(|_, known| now.since(known.seen) <= within);
        }
        self.sessions.insert(session, SessionVersion { software, seen: now });
    }

    /// Notes that a session's request has ended.
    pub fn ended(&mut self, now: Millis, session: u64) {
        if let Some(known) = self.sessions.get_mut(&session) {
            known.seen = now;
        }
    }
}
