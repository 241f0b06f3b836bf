use super::*;

/// What entry VMs say about pins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PinMessage {
    /// The sender asks the home VM of a session for its version.
    Ask {
        /// The session.
        key: SessionKey,
        /// The version to pin if there is no pin.
        proposal: VersionId,
        /// A version that the sender knows to be withdrawn.
        ended: Option<VersionId>,
    },
    /// The version that a session is pinned to.
    Answer {
        /// The session.
        key: SessionKey,
        /// The version.
        version: VersionId,
    },
    /// The home VM hands a copy to the next in rank.
    Copy {
        /// The session.
        key: SessionKey,
        /// The version.
        version: VersionId,
    },
    /// A home VM that knows no pin asks the next in rank.
    Lookup {
        /// The session.
        key: SessionKey,
    },
    /// The answer to a lookup.
    Found {
        /// The session.
        key: SessionKey,
        /// The version, if there is a pin.
        version: Option<VersionId>,
    },
}

#[derive(Clone, Debug)]
struct SessionPin {
    version: VersionId,
    used: Millis,
    refreshed: Millis,
}

/// The pins that an entry VM holds, as home, as next in rank or as one that has asked.
#[derive(Clone, Debug, Default)]
pub struct SessionTable {
    pins: FxHashMap<SessionKey, SessionPin>,
}

impl SessionTable {
    /// The pins that are held at most.
    pub const PIN_LIMIT: usize = 50_000;
    /// The time without use after which a pin is dropped.
    pub const IDLE_MS: u64 = 60 * 60 * 1_000;
    /// The time after which the home VM is told again of a pin in use.
    pub const REFRESH_MS: u64 = 60_000;

    /// Returns the version of a session and notes its use.
    pub fn find(&mut self, now: Millis, key: SessionKey) -> Option<VersionId> {
        let pin = self.pins.get_mut(&key)?;
        pin.used = now;
        Some(pin.version.clone())
    }

    /// Pins a session to a version.
    pub fn pin(&mut self, now: Millis, key: SessionKey, version: VersionId) {
        if self.pins.len() >= Self::PIN_LIMIT && !self.pins.contains_key(&key) {
            self.evict();
        }
        self.pins.insert(key, SessionPin { version, used: now, refreshed: now });
    }

    /// Ends the pin of a session to a version.
    pub fn end(&mut self, key: SessionKey, version: &VersionId) {
        if self.pins.get(&key).is_some_and(|pin| pin.version == *version) {
            self.pins.remove(&key);
        }
    }

    /// Returns whether the home VM is to be told again of a pin, and notes that it is.
    pub fn refresh(&mut self, now: Millis, key: SessionKey) -> bool {
        let Some(pin) = self.pins.get_mut(&key) else { return false };
        if now.since(pin.refreshed) < Millis(Self::REFRESH_MS) {
            return false;
        }
        pin.refreshed = now;
        true
    }

    /// Drops pins that have not been used for long.
    pub fn expire(&mut self, now: Millis) {
        self.pins.retain(|_, pin| now.since(pin.used) <= Millis(Self::IDLE_MS));
    }

    /// Returns the number of pins.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pins.len()
    }

    /// Returns whether there is no pin.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pins.is_empty()
    }

    /// Drops the tenth of the pins that were used least recently.
    fn evict(&mut self) {
        let mut order: Vec<(Millis, SessionKey)> =
            self.pins.iter().map(|(key, pin)| (pin.used, *key)).collect();
        order.sort_unstable();
        for (_, key) in order.iter().take(Self::PIN_LIMIT / 10) {
            self.pins.remove(key);
        }
    }
}
