use super::*;

/// The key of a request that may run at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OnceKey {
    /// A ticket of this incarnation.
    Ticket(TicketNumber),
    /// A caller's own key.
    Claim(ClaimKey),
}

/// How far a key is at this entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnceStage {
    /// Its claim is on the way.
    Claiming {
        /// The attempt.
        attempt: ClaimAttempt,
        /// When it was last sent.
        asked: Millis,
    },
    /// The request may run, or runs.
    Held {
        /// The attempt; none for a ticket.
        attempt: Option<ClaimAttempt>,
    },
    /// The request has ended.
    Ended {
        /// What is known about its run.
        run: RunState,
    },
}

/// What this entry VM knows of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnceEntry {
    /// The first request with the key.
    pub request: RequestNumber,
    /// The fingerprint of the first request.
    pub fingerprint: u64,
    /// How far it is.
    pub stage: OnceStage,
    /// Later requests with the key, which wait for its answer.
    pub waiters: Vec<RequestNumber>,
    /// When it may be forgotten, by this VM's own clock.
    pub expires: Millis,
}

/// The keys that this entry VM knows.
#[derive(Clone, Debug, Default)]
pub struct OnceTable {
    entries: BTreeMap<OnceKey, OnceEntry>,
    by_request: BTreeMap<RequestNumber, OnceKey>,
    by_attempt: BTreeMap<ClaimAttempt, ClaimKey>,
    expiry: BTreeSet<(Millis, OnceKey)>,
}

impl OnceTable {
    /// Adds the first request with a key.
    pub fn insert(&mut self, key: OnceKey, entry: OnceEntry) {
        self.by_request.insert(entry.request, key);
        if let (OnceKey::Claim(key), OnceStage::Claiming { attempt, .. }) = (key, &entry.stage) {
            self.by_attempt.insert(*attempt, key);
        }
        self.expiry.insert((entry.expires, key));
        self.entries.insert(key, entry);
    }

    /// Returns what is known of a key.
    #[must_use]
    pub fn get(&self, key: OnceKey) -> Option<&OnceEntry> {
        self.entries.get(&key)
    }

    /// Returns what is known of a key.
    pub fn get_mut(&mut self, key: OnceKey) -> Option<&mut OnceEntry> {
        self.entries.get_mut(&key)
    }

    /// Forgets a key.
    pub fn remove(&mut self, key: OnceKey) -> Option<OnceEntry> {
        let entry = self.entries.remove(&key)?;
        self.by_request.remove(&entry.request);
        self.expiry.remove(&(entry.expires, key));
        match entry.stage {
            OnceStage::Claiming { attempt, .. } | OnceStage::Held { attempt: Some(attempt) } => {
                self.by_attempt.remove(&attempt);
            }
            OnceStage::Held { attempt: None } | OnceStage::Ended { .. } => {}
        }
        Some(entry)
    }

    /// Returns the key whose first request this is.
    #[must_use]
    pub fn key_of(&self, request: RequestNumber) -> Option<OnceKey> {
        self.by_request.get(&request).copied()
    }

    /// Returns the key that an attempt claims or holds; none if the attempt was given up.
    #[must_use]
    pub fn claimed_by(&self, attempt: ClaimAttempt) -> Option<ClaimKey> {
        self.by_attempt.get(&attempt).copied()
    }

    /// Returns the keys whose claims are on the way.
    #[must_use]
    pub fn claiming(&self) -> Vec<(ClaimKey, OnceEntry)> {
        let entry = |key: &ClaimKey| Some((*key, self.get(OnceKey::Claim(*key))?.clone()));
        let claims = self.by_attempt.values().filter_map(entry);
        claims.filter(|(_, entry)| matches!(entry.stage, OnceStage::Claiming { .. })).collect()
    }

    /// Forgets ended keys that have expired.
    pub fn prune(&mut self, now: Millis) {
        while let Some((expires, key)) = self.expiry.first().copied() {
            let ended = matches!(
                self.entries.get(&key).map(|entry| &entry.stage),
                Some(OnceStage::Ended { .. })
            );
            if expires > now || !ended {
                break;
            }
            self.remove(key);
        }
    }
}
