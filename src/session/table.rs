use super::*;

/// A message between entry VMs about pins, which are the versions that sessions keep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PinMessage {
    /// Asks the home VM of a session for its version.
    Ask {
        /// The key of the session.
        key: SessionKey,
        /// The version to pin the session to if it has no pin.
        proposal: VersionId,
        /// A pinned version that the sender knows to be withdrawn; none if it knows of none.
        ended: Option<VersionId>,
    },
    /// Answers with the version that the session is pinned to.
    Answer {
        /// The key of the session.
        key: SessionKey,
        /// The version to use.
        version: VersionId,
    },
    /// Sends a copy of a pin to the VM next in rank.
    Copy {
        /// The key of the session.
        key: SessionKey,
        /// The version that the session is pinned to.
        version: VersionId,
    },
    /// Asks the VM next in rank for its copy of a pin, as the home VM has none.
    Lookup {
        /// The key of the session.
        key: SessionKey,
    },
    /// Answers a lookup.
    Found {
        /// The key of the session.
        key: SessionKey,
        /// The version of the pin; none if there is no pin.
        version: Option<VersionId>,
    },
}

/// The version that a session is pinned to.
#[derive(Clone, Debug)]
struct SessionPin {
    version: VersionId,
    used: Millis,
    /// When the home VM was last told that the pin is in use.
    refreshed: Millis,
}

/// The pins that an entry VM holds: as home VM, as the VM next in rank, or because it has asked for
/// them.
#[derive(Clone, Debug, Default)]
pub struct SessionTable {
    pins: FxHashMap<SessionKey, SessionPin>,
}

impl SessionTable {
    /// The most pins held at a time.
    pub const PIN_LIMIT: usize = 50_000;
    /// The time without use after which a pin is removed.
    pub const IDLE_MS: u64 = 60 * 60 * 1_000;
    /// The time after which the home VM is told again that a pin is in use.
    pub const REFRESH_MS: u64 = 60_000;

    /// Returns the version that a session is pinned to, and counts as a use of the pin.
    pub fn find(&mut self, now: Millis, key: SessionKey) -> Option<VersionId> {
        let pin = self.pins.get_mut(&key)?;
        pin.used = now;
        Some(pin.version.clone())
    }

    /// Pins a session to a version, in place of its earlier pin if there is one.
    pub fn pin(&mut self, now: Millis, key: SessionKey, version: VersionId) {
        if self.pins.len() >= Self::PIN_LIMIT && !self.pins.contains_key(&key) {
            self.evict();
        }
        self.pins.insert(key, SessionPin { version, used: now, refreshed: now });
    }

    /// Removes the pin of a session if it is to the given version.
    pub fn unpin(&mut self, key: SessionKey, version: &VersionId) {
        if self.pins.get(&key).is_some_and(|pin| pin.version == *version) {
            self.pins.remove(&key);
        }
    }

    /// Returns whether the home VM has to be told again that a pin is in use, at most once per
    /// [`Self::REFRESH_MS`].
    pub fn refresh(&mut self, now: Millis, key: SessionKey) -> bool {
        let Some(pin) = self.pins.get_mut(&key) else { return false };
        if now.since(pin.refreshed) < Millis(Self::REFRESH_MS) {
            return false;
        }
        pin.refreshed = now;
        true
    }

    /// Removes pins that have not been used for [`Self::IDLE_MS`].
    pub fn expire(&mut self, now: Millis) {
        self.pins.retain(|_, pin| now.since(pin.used) <= Millis(Self::IDLE_MS));
    }

    /// Returns the number of pins held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pins.len()
    }

    /// Returns whether no pin is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pins.is_empty()
    }

    /// Removes the least recently used pins, a tenth of the limit.
    fn evict(&mut self) {
        let mut order: Vec<(Millis, SessionKey)> =
            self.pins.iter().map(|(key, pin)| (pin.used, *key)).collect();
        order.sort_unstable();
        for (_, key) in order.iter().take(Self::PIN_LIMIT / 10) {
            self.pins.remove(key);
        }
    }
}
