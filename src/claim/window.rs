use super::*;

/// The range of generation times that a key must lie in to be claimed.
///
/// A key must be recent enough that any claim of it is still on the log. It must not lie so far in
/// the future that it could still be claimed after its first claim was trimmed from the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyWindow {
    now: Millis,
}

impl KeyWindow {
    /// The greatest age at which a key may be claimed. The log must retain records for longer.
    pub const LENGTH_MS: u64 = 30 * 60 * 1_000;
    /// The greatest difference between wall clocks that is tolerated.
    pub const SKEW_MS: u64 = 120 * 1_000;

    /// Returns the window at a wall clock time.
    #[must_use]
    pub const fn at(now: Millis) -> Self {
        Self { now }
    }

    /// Returns whether a key may be claimed: it is neither too old nor too far in the future.
    #[must_use]
    pub fn contains(self, key: ClaimKey) -> bool {
        let fresh = key.time + Millis(Self::LENGTH_MS) > self.now;
        let ahead = key.time > self.now + Millis(Self::SKEW_MS);
        fresh && !ahead
    }

    /// Returns whether a key is too old to be claimed by any VM, even one whose clock is behind.
    #[must_use]
    pub fn has_passed(self, key: ClaimKey) -> bool {
        key.time + Millis(Self::LENGTH_MS + Self::SKEW_MS) < self.now
    }
}
