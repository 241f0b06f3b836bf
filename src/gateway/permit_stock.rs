use super::*;

/// This VM's unused permits to send requests to a server that has a limit.
#[derive(Clone, Debug, Default)]
pub struct PermitStock {
    /// When the permits expire, the earliest first.
    expiries: VecDeque<Millis>,
}

impl PermitStock {
    /// How long a permit is valid. In any window, the permits of this much more time may be used.
    const VALID_MS: u64 = 500;

    /// The largest number of permits that are kept, so that a malformed message does no harm.
    pub(super) const MAX_PERMITS: u32 = 256;

    /// Adds permits that are valid from now on.
    pub fn add(&mut self, now: Millis, permits: u32) {
        self.remove_expired(now);
        let free = Self::MAX_PERMITS.saturating_sub(self.expiries.len() as u32);
        let permits = permits.min(free);
        self.expiries.extend((0..permits).map(|_| now + Millis(Self::VALID_MS)));
    }

    /// Uses a permit; returns false if there is none.
    pub fn take(&mut self, now: Millis) -> bool {
        self.remove_expired(now);
        self.expiries.pop_front().is_some()
    }

    fn remove_expired(&mut self, now: Millis) {
        while self.expiries.front().is_some_and(|expiry| *expiry <= now) {
            self.expiries.pop_front();
        }
    }

    /// Returns the number of valid permits.
    #[must_use]
    pub fn count(&self, now: Millis) -> u32 {
        self.expiries.iter().filter(|expiry| **expiry > now).count() as u32
    }
}
