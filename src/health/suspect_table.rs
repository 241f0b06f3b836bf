use super::*;

/// The requests that were in flight when backend servers crashed, by fingerprint.
///
/// A request in flight at two crashes is a suspect. It may run once more, alone on its server; if
/// that server crashes too it is refused, and if it answers the request is cleared.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    entries: BTreeMap<u64, SuspectEntry>,
    alone: BTreeMap<ServerId, RequestNumber>,
    notices: Vec<DueNotice>,
}

#[derive(Clone, Debug, Default)]
struct SuspectEntry {
    crashes: Vec<(ServerId, Millis)>,
    seen: BTreeSet<CrashId>,
    trial: TrialStage,
    expires: Millis,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum TrialStage {
    #[default]
    Open,
    Spent,
}

#[derive(Clone, Debug)]
struct DueNotice {
    notice: SuspectNotice,
    made: Millis,
    next: Millis,
    times: u32,
}

/// One attempt that was in flight at a crash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
}

/// What entry VMs tell each other about suspects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectNotice {
    /// A request was in flight at a crash.
    Crashed {
        /// Its fingerprint.
        fingerprint: u64,
        /// The attempt.
        crash: CrashId,
        /// The backend server.
        server: ServerId,
        /// How long ago it was.
        age: Millis,
    },
    /// A suspect runs alone.
    Trial {
        /// Its fingerprint.
        fingerprint: u64,
    },
    /// A suspect's run alone ended without telling anything.
    Reopened {
        /// Its fingerprint.
        fingerprint: u64,
    },
    /// A suspect has been answered.
    Cleared {
        /// Its fingerprint.
        fingerprint: u64,
    },
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStanding {
    /// Like any other.
    Clear,
    /// Alone on its server.
    Alone,
    /// Not at all.
    Refused,
}

impl SuspectTable {
    /// The crashes that make a request a suspect.
    pub const CRASHES: usize = 2;
    /// The time from the last crash for which a request stays marked.
    pub const EXPIRY_MS: u64 = 10 * 60 * 1_000;
    /// The time in which two marks on the same server count as one crash.
    const MERGE_MS: u64 = 250;
    const REPEAT_MS: u64 = 250;
    const REPEATS: u32 = 8;
    const ENTRY_LIMIT: usize = 10_000;

    /// Returns how a request may run.
    #[must_use]
    pub fn standing(&self, now: Millis, fingerprint: u64) -> SuspectStanding {
        let entry = self.entries.get(&fingerprint).filter(|entry| now < entry.expires);
        match entry {
            Some(entry) if entry.crashes.len() >= Self::CRASHES => match entry.trial {
                TrialStage::Open => SuspectStanding::Alone,
                TrialStage::Spent => SuspectStanding::Refused,
            },
            _ => SuspectStanding::Clear,
        }
    }

    /// Returns the servers that are kept for suspects.
    pub fn reserved(&self) -> impl Iterator<Item = &ServerId> {
        self.alone.keys()
    }

    /// Returns the server that is kept for a request.
    #[must_use]
    pub fn reserved_for(&self, request: RequestNumber) -> Option<&ServerId> {
        self.alone.iter().find(|(_, kept)| **kept == request).map(|(server, _)| server)
    }

    /// Keeps a server for a suspect.
    pub fn reserve(&mut self, server: &ServerId, request: RequestNumber) {
        self.alone.insert(server.clone(), request);
    }

    /// Gives back the server that was kept for a request.
    pub fn give_back(&mut self, request: RequestNumber) {
        self.alone.retain(|_, kept| *kept != request);
    }

    /// Gives back the servers of requests that have ended.
    pub fn retain_reserved(&mut self, is_open: impl Fn(RequestNumber) -> bool) {
        self.alone.retain(|_, kept| is_open(*kept));
    }

    /// Notes that a suspect starts alone.
    pub fn start_alone(&mut self, now: Millis, fingerprint: u64) {
        self.take(now, &SuspectNotice::Trial { fingerprint });
        self.tell(now, SuspectNotice::Trial { fingerprint });
    }

    /// Notes that an attempt broke while its server had the request.
    pub fn crashed(&mut self, now: Millis, fingerprint: u64, crash: CrashId, server: &ServerId) {
        let notice =
            SuspectNotice::Crashed { fingerprint, crash, server: server.clone(), age: Millis(0) };
        self.take(now, &notice);
        self.tell(now, notice);
    }

    /// Notes that a request was answered whole.
    pub fn cleared(&mut self, now: Millis, fingerprint: u64) {
        if self.entries.remove(&fingerprint).is_some() {
            self.tell(now, SuspectNotice::Cleared { fingerprint });
        }
    }

    /// Notes that an attempt ended neither whole nor in a crash; a suspect may run alone again.
    pub fn reopen(&mut self, now: Millis, fingerprint: u64, request: RequestNumber) {
        if self.reserved_for(request).is_some() {
            self.take(now, &SuspectNotice::Reopened { fingerprint });
            self.tell(now, SuspectNotice::Reopened { fingerprint });
        }
    }

    /// Takes in a notice.
    pub fn take(&mut self, now: Millis, notice: &SuspectNotice) {
        match notice {
            SuspectNotice::Crashed { fingerprint, crash, server, age } => {
                self.make_room(now);
                let entry = self.entries.entry(*fingerprint).or_default();
                if !entry.seen.insert(crash.clone()) {
                    return;
                }
                entry.expires = now + Millis(Self::EXPIRY_MS);
                let at = Millis(now.since(*age).0);
                let known = entry.crashes.iter().any(|(id, other)| {
                    let apart = at.since(*other).max(other.since(at));
                    id == server && apart <= Millis(Self::MERGE_MS)
                });
                if !known {
                    entry.crashes.push((server.clone(), at));
                }
            }
            SuspectNotice::Trial { fingerprint } => {
                if let Some(entry) = self.entries.get_mut(fingerprint) {
                    entry.trial = TrialStage::Spent;
                }
            }
            SuspectNotice::Reopened { fingerprint } => {
                if let Some(entry) = self.entries.get_mut(fingerprint)
                    && entry.crashes.len() <= Self::CRASHES
                {
                    entry.trial = TrialStage::Open;
                }
            }
            SuspectNotice::Cleared { fingerprint } => {
                self.entries.remove(fingerprint);
            }
        }
    }

    fn tell(&mut self, now: Millis, notice: SuspectNotice) {
        self.notices.push(DueNotice { notice, made: now, next: now, times: 0 });
    }

    /// Returns the notices for all peers that are due.
    pub fn due(&mut self, now: Millis) -> Vec<SuspectNotice> {
        let mut due = Vec::new();
        for notice in self.notices.iter_mut().filter(|notice| notice.next <= now) {
            notice.next = now + Millis(Self::REPEAT_MS);
            notice.times += 1;
            if let SuspectNotice::Crashed { age, .. } = &mut notice.notice {
                *age = now.since(notice.made);
            }
            due.push(notice.notice.clone());
        }
        self.notices.retain(|notice| notice.times < Self::REPEATS);
        due
    }

    fn make_room(&mut self, now: Millis) {
        if self.entries.len() < Self::ENTRY_LIMIT {
            return;
        }
        self.entries.retain(|_, entry| now < entry.expires);
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.expires);
        if self.entries.len() >= Self::ENTRY_LIMIT
            && let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint)
        {
            self.entries.remove(&fingerprint);
        }
    }
}
