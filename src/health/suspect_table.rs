use super::*;

/// The requests that were in flight when backend servers crashed, by fingerprint.
///
/// A request that was in flight at two crashes is a suspect. It may run once more, as the only
/// request on its server: if that server crashes too, the request is refused from then on; if the
/// server answers, the request is cleared.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    entries: BTreeMap<u64, SuspectEntry>,
    reserved: BTreeMap<ServerId, RequestNumber>,
    notices: Vec<PendingNotice>,
}

#[derive(Clone, Debug, Default)]
struct SuspectEntry {
    crashes: Vec<(ServerId, Millis)>,
    attempts: BTreeSet<CrashId>,
    trial: TrialState,
    expires: Millis,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum TrialState {
    #[default]
    Available,
    Used,
}

#[derive(Clone, Debug)]
struct PendingNotice {
    notice: SuspectNotice,
    created_at: Millis,
    next_send: Millis,
    sent_count: u32,
}

/// Identifies one attempt that was in flight at a crash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// The request to which the attempt belongs.
    pub request: RequestId,
    /// The attempt within that request.
    pub attempt: AttemptId,
}

/// A message between entry VMs about suspect requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectNotice {
    /// A request was in flight when a server crashed.
    Crashed {
        /// The fingerprint of the request.
        fingerprint: u64,
        /// The attempt that was in flight.
        crash: CrashId,
        /// The backend server that crashed.
        server: ServerId,
        /// The time since the crash.
        age: Millis,
    },
    /// The isolated run of a suspect has started.
    Trial {
        /// The fingerprint of the request.
        fingerprint: u64,
    },
    /// The isolated run of a suspect ended without a result, so that it may be repeated.
    Reopened {
        /// The fingerprint of the request.
        fingerprint: u64,
    },
    /// A suspect was answered and is no longer suspected.
    Cleared {
        /// The fingerprint of the request.
        fingerprint: u64,
    },
}

/// Whether and how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// The request is not a suspect and may run on any server.
    Clear,
    /// The request is a suspect and may run once, as the only request on its server.
    Isolated,
    /// The request is a suspect whose isolated run is used up; it may not run.
    Refused,
}

impl SuspectTable {
    /// The number of crashes that make a request a suspect.
    pub const CRASHES: usize = 2;
    /// The time after its last crash for which a request stays in the table.
    pub const EXPIRY_MS: u64 = 10 * 60 * 1_000;
    /// Two reports about the same server within this time count as one crash.
    const SAME_CRASH_WINDOW_MS: u64 = 250;
    const RESEND_INTERVAL_MS: u64 = 250;
    const MAX_SENDS: u32 = 8;
    const ENTRY_LIMIT: usize = 10_000;

    /// Returns whether and how a request may run now.
    #[must_use]
    pub fn status(&self, now: Millis, fingerprint: u64) -> SuspectStatus {
        let entry = self.entries.get(&fingerprint).filter(|entry| now < entry.expires);
        match entry {
            Some(entry) if entry.crashes.len() >= Self::CRASHES => match entry.trial {
                TrialState::Available => SuspectStatus::Isolated,
                TrialState::Used => SuspectStatus::Refused,
            },
            _ => SuspectStatus::Clear,
        }
    }

    /// Returns the servers reserved for isolated runs.
    pub fn reserved(&self) -> impl Iterator<Item = &ServerId> {
        self.reserved.keys()
    }

    /// Returns the server reserved for the isolated run of a request, if any.
    #[must_use]
    pub fn reserved_for(&self, request: RequestNumber) -> Option<&ServerId> {
        self.reserved.iter().find(|(_, holder)| **holder == request).map(|(server, _)| server)
    }

    /// Reserves a server for the isolated run of a request.
    pub fn reserve(&mut self, server: &ServerId, request: RequestNumber) {
        self.reserved.insert(server.clone(), request);
    }

    /// Releases the server reserved for a request.
    pub fn release_reserved(&mut self, request: RequestNumber) {
        self.reserved.retain(|_, holder| *holder != request);
    }

    /// Releases the servers reserved for requests that are no longer open.
    pub fn retain_reserved(&mut self, is_open: impl Fn(RequestNumber) -> bool) {
        self.reserved.retain(|_, holder| is_open(*holder));
    }

    /// Records that the isolated run of a suspect starts, and notifies the peers.
    pub fn start_isolated_run(&mut self, now: Millis, fingerprint: u64) {
        self.apply(now, &SuspectNotice::Trial { fingerprint });
        self.enqueue(now, SuspectNotice::Trial { fingerprint });
    }

    /// Records that an attempt broke after its server had received the request, and notifies the
    /// peers.
    pub fn crashed(&mut self, now: Millis, fingerprint: u64, crash: CrashId, server: &ServerId) {
        let notice =
            SuspectNotice::Crashed { fingerprint, crash, server: server.clone(), age: Millis(0) };
        self.apply(now, &notice);
        self.enqueue(now, notice);
    }

    /// Records that a request was completely answered; notifies the peers if it was in the table.
    pub fn cleared(&mut self, now: Millis, fingerprint: u64) {
        if self.entries.remove(&fingerprint).is_some() {
            self.enqueue(now, SuspectNotice::Cleared { fingerprint });
        }
    }

    /// Records that an attempt ended with neither a complete answer nor a crash. If it was an
    /// isolated run, the suspect may have another one.
    pub fn reopen(&mut self, now: Millis, fingerprint: u64, request: RequestNumber) {
        if self.reserved_for(request).is_some() {
            self.apply(now, &SuspectNotice::Reopened { fingerprint });
            self.enqueue(now, SuspectNotice::Reopened { fingerprint });
        }
    }

    /// Applies a notice, of this VM or of a peer, to the table.
    pub fn apply(&mut self, now: Millis, notice: &SuspectNotice) {
        match notice {
            SuspectNotice::Crashed { fingerprint, crash, server, age } => {
                self.evict_if_full(now);
                let entry = self.entries.entry(*fingerprint).or_default();
                if !entry.attempts.insert(crash.clone()) {
                    return;
                }
                entry.expires = now + Millis(Self::EXPIRY_MS);
                let at = Millis(now.since(*age).0);
                let known = entry.crashes.iter().any(|(id, other)| {
                    let difference = at.since(*other).max(other.since(at));
                    id == server && difference <= Millis(Self::SAME_CRASH_WINDOW_MS)
                });
                if !known {
                    entry.crashes.push((server.clone(), at));
                }
            }
            SuspectNotice::Trial { fingerprint } => {
                if let Some(entry) = self.entries.get_mut(fingerprint) {
                    entry.trial = TrialState::Used;
                }
            }
            SuspectNotice::Reopened { fingerprint } => {
                if let Some(entry) = self.entries.get_mut(fingerprint)
                    && entry.crashes.len() <= Self::CRASHES
                {
                    entry.trial = TrialState::Available;
                }
            }
            SuspectNotice::Cleared { fingerprint } => {
                self.entries.remove(fingerprint);
            }
        }
    }

    fn enqueue(&mut self, now: Millis, notice: SuspectNotice) {
        self.notices.push(PendingNotice { notice, created_at: now, next_send: now, sent_count: 0 });
    }

    /// Returns the notices to send to all peers now. Each is repeated a few times, as messages may
    /// be lost.
    pub fn due(&mut self, now: Millis) -> Vec<SuspectNotice> {
        let mut due = Vec::new();
        for notice in self.notices.iter_mut().filter(|notice| notice.next_send <= now) {
            notice.next_send = now + Millis(Self::RESEND_INTERVAL_MS);
            notice.sent_count += 1;
            if let SuspectNotice::Crashed { age, .. } = &mut notice.notice {
                *age = now.since(notice.created_at);
            }
            due.push(notice.notice.clone());
        }
        self.notices.retain(|notice| notice.sent_count < Self::MAX_SENDS);
        due
    }

    fn evict_if_full(&mut self, now: Millis) {
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
