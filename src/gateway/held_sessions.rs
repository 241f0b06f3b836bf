use super::*;

/// Sessions that stay on the old version during a rollout's canary stage, as they have run on it
/// before.
///
/// They stay there whichever entry VM they call next, so the VMs exchange them. Each session gets a
/// sequence number that is local to this process, so that another VM can be sent only what is new
/// to it.
#[derive(Clone, Debug, Default)]
pub struct HeldSessions {
    known: FxHashSet<u64>,
    log: EventLog<u64>,
}

/// The held sessions that one entry VM sends to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSessionUpdate {
    /// Hashes of the sessions.
    pub sessions: Vec<u64>,
    /// The sender's sequence number of the last of them.
    pub last: u64,
}

impl HeldSessions {
    /// Maximum number of sessions; beyond it the oldest are dropped. A canary stage takes a
    /// twentieth of the sessions of a few seconds, which is 2,000 at 4,500 requests a second.
    const LIMIT: usize = 8_192;

    /// Returns whether a session is held on the old version.
    #[must_use]
    pub fn contains(&self, session: u64) -> bool {
        self.known.contains(&session)
    }

    /// Holds a session on the old version. Drops the oldest one if there are too many.
    pub fn hold(&mut self, session: u64) {
        if self.known.insert(session)
            && let Some(oldest) = self.log.push(session, Self::LIMIT)
        {
            self.known.remove(&oldest);
        }
    }

    /// Releases all sessions. Their sequence numbers are not used again.
    pub fn clear(&mut self) {
        while self.log.drop_oldest().is_some() {}
        self.known.clear();
    }

    /// Returns the sessions with a higher sequence number than the given one.
    #[must_use]
    pub fn since(&self, number: u64) -> HeldSessionUpdate {
        HeldSessionUpdate {
            sessions: self.log.since(number).copied().collect(),
            last: self.log.last(),
        }
    }
}
