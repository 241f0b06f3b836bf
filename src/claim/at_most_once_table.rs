use super::*;

/// Identifies a request that may run at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AtMostOnceKey {
    /// A ticket that this incarnation of the VM issued.
    Ticket(TicketNumber),
    /// A key that the caller generated.
    Claim(ClaimKey),
}

/// The progress of a request that may run at most once at this entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AtMostOnceStage {
    /// The claim was sent and its verdict is not known yet.
    Claiming {
        /// The attempt to claim the key.
        attempt: ClaimAttempt,
        /// When the claim was last sent to the batcher.
        asked: Millis,
    },
    /// This VM holds the key; the request may run or is running.
    Held {
        /// The attempt that took the key; none for a ticket.
        attempt: Option<ClaimAttempt>,
    },
    /// The request has ended.
    Ended {
        /// Whether a server ran the request, as far as known.
        run: RunState,
    },
}

/// What this entry VM knows of the requests with one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AtMostOnceEntry {
    /// The first request with the key.
    pub request: RequestNumber,
    /// The hash of the first request; later requests with the key must have the same.
    pub fingerprint: u64,
    /// The progress of the first request.
    pub stage: AtMostOnceStage,
    /// Later requests with the key, which get the answer of the first one.
    pub waiters: Vec<RequestNumber>,
    /// When the entry may be removed once the request has ended, by this VM's monotonic clock.
    pub expires: Millis,
}

/// The keys of requests that may run at most once and arrived at this entry VM.
#[derive(Clone, Debug, Default)]
pub struct AtMostOnceTable {
    entries: BTreeMap<AtMostOnceKey, AtMostOnceEntry>,
    by_request: BTreeMap<RequestNumber, AtMostOnceKey>,
    by_attempt: BTreeMap<ClaimAttempt, ClaimKey>,
    expiry: BTreeSet<(Millis, AtMostOnceKey)>,
}

impl AtMostOnceTable {
    /// Adds the first request with a key.
    pub fn insert(&mut self, key: AtMostOnceKey, entry: AtMostOnceEntry) {
        self.by_request.insert(entry.request, key);
        if let (AtMostOnceKey::Claim(key), AtMostOnceStage::Claiming { attempt, .. }) =
            (key, &entry.stage)
        {
            self.by_attempt.insert(*attempt, key);
        }
        self.expiry.insert((entry.expires, key));
        self.entries.insert(key, entry);
    }

    /// Returns the entry of a key.
    #[must_use]
    pub fn get(&self, key: AtMostOnceKey) -> Option<&AtMostOnceEntry> {
        self.entries.get(&key)
    }

    /// Returns the entry of a key for an update.
    pub fn get_mut(&mut self, key: AtMostOnceKey) -> Option<&mut AtMostOnceEntry> {
        self.entries.get_mut(&key)
    }

    /// Removes a key and returns its entry.
    pub fn remove(&mut self, key: AtMostOnceKey) -> Option<AtMostOnceEntry> {
        let entry = self.entries.remove(&key)?;
        self.by_request.remove(&entry.request);
        self.expiry.remove(&(entry.expires, key));
        match entry.stage {
            AtMostOnceStage::Claiming { attempt, .. }
            | AtMostOnceStage::Held { attempt: Some(attempt) } => {
                self.by_attempt.remove(&attempt);
            }
            AtMostOnceStage::Held { attempt: None } | AtMostOnceStage::Ended { .. } => {}
        }
        Some(entry)
    }

    /// Returns the key whose first request is the given one.
    #[must_use]
    pub fn key_of(&self, request: RequestNumber) -> Option<AtMostOnceKey> {
        self.by_request.get(&request).copied()
    }

    /// Returns the key that an attempt claims or holds, or none if the attempt was abandoned.
    #[must_use]
    pub fn claimed_by(&self, attempt: ClaimAttempt) -> Option<ClaimKey> {
        self.by_attempt.get(&attempt).copied()
    }

    /// Returns the keys whose claims have no verdict yet.
    #[must_use]
    pub fn claiming(&self) -> Vec<(ClaimKey, AtMostOnceEntry)> {
        let entry = |key: &ClaimKey| Some((*key, self.get(AtMostOnceKey::Claim(*key))?.clone()));
        let claims = self.by_attempt.values().filter_map(entry);
        claims
            .filter(|(_, entry)| matches!(entry.stage, AtMostOnceStage::Claiming { .. }))
            .collect()
    }

    /// Removes expired entries of requests that have ended.
    pub fn prune(&mut self, now: Millis) {
        while let Some((expires, key)) = self.expiry.first().copied() {
            let ended = matches!(
                self.entries.get(&key).map(|entry| &entry.stage),
                Some(AtMostOnceStage::Ended { .. })
            );
            if expires > now || !ended {
                break;
            }
            self.remove(key);
        }
    }
}
