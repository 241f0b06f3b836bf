use super::*;

/// The sessions that are known to have run on the old version while a roll-out is on trial.
///
/// They stay there at whichever entry VM they call next, so the VMs tell each other. Each session
/// gets a number of this process, so that others can be told what is new to them.
#[derive(Clone, Debug, Default)]
pub struct HeldSessions {
    known: FxHashSet<u64>,
    order: VecDeque<u64>,
    /// The number of the last session that is no longer in `order`.
    forgotten: u64,
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
        if !self.known.insert(session) {
            return;
        }
        self.order.push_back(session);
        if self.order.len() > Self::LIMIT {
            self.forget_oldest();
        }
    }

    /// Forgets all sessions; their numbers are not given again.
    pub fn clear(&mut self) {
        while !self.order.is_empty() {
            self.forget_oldest();
        }
    }

    /// Returns what is new to a VM that knows the sessions up to a number.
    #[must_use]
    pub fn since(&self, number: u64) -> HeldNews {
        let skipped = number.saturating_sub(self.forgotten) as usize;
        let sessions = self.order.iter().skip(skipped).copied().collect();
        HeldNews { sessions, last: self.forgotten + self.order.len() as u64 }
    }

    fn forget_oldest(&mut self) {
        if let Some(session) = self.order.pop_front() {
            self.known.remove(&session);
            self.forgotten += 1;
        }
    }
}
