use super::*;

/// The sessions that are known to have run on the old version while a roll-out is on trial.
///
/// They stay there at whichever entry VM they call next, so the VMs tell each other. Each session
/// gets a number of this process, so that others can be told what is new to them.
#[derive(Clone, Debug, Default)]
pub struct HeldSessions {
    known: FxHashSet<u64>,
    log: NewsLog<u64>,
}

/// What one entry VM tells another about held sessions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldNews {
    /// The sessions' hashes.
    pub sessions: Vec<u64>,
    /// The number of the last of them at the VM that tells.
    pub last: u64,
}

impl HeldSessions {
    /// The sessions that are kept, the oldest are forgotten: a trial takes a twentieth of the
    /// sessions of a few seconds, which is 2,000 at 4,500 requests a second.
    const LIMIT: usize = 8_192;

    /// Returns whether a session stays on the old version.
    #[must_use]
    pub fn contains(&self, session: u64) -> bool {
        self.known.contains(&session)
    }

    /// Notes a session.
    pub fn hold(&mut self, session: u64) {
        if self.known.insert(session)
            && let Some(oldest) = self.log.push(session, Self::LIMIT)
        {
            self.known.remove(&oldest);
        }
    }

    /// Forgets all sessions; their numbers are not given again.
    pub fn clear(&mut self) {
        while self.log.forget_oldest().is_some() {}
        self.known.clear();
    }

    /// Returns what is new to a VM that knows the sessions up to a number.
    #[must_use]
    pub fn since(&self, number: u64) -> HeldNews {
        HeldNews { sessions: self.log.since(number).copied().collect(), last: self.log.last() }
    }
}
