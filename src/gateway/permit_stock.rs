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

    /// Adds permits that are valid from now on.
    pub fn add(&mut self, now: Millis, permits: u32) {
        self.expiries.extend((0..permits).map(|_| now + Millis(Self::VALID_MS)));
    }

    /// Uses a permit; returns false if there is none.
    pub fn take(&mut self, now: Millis) -> bool {
        while self.expiries.front().is_some_and(|expiry| *expiry <= now) {
            self.expiries.pop_front();
        }
        self.expiries.pop_front().is_some()
    }

    /// Returns the number of valid permits.
    #[must_use]
    pub fn count(&self, now: Millis) -> u32 {
        self.expiries.iter().filter(|expiry| **expiry > now).count() as u32
    }
}
