use super::*;

/// Which keys may be claimed, by the time in them.
///
/// A key must be young enough that a claim of it is still kept on the log, and not so far ahead
/// that it would outlive its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyWindow {
    now: Millis,
}

impl KeyWindow {
    /// The age until which a key may be claimed; the log must keep records for longer.
    pub const LENGTH_MS: u64 = 30 * 60 * 1_000;
    /// The greatest difference between clocks that the window bears.
    pub const SKEW_MS: u64 = 120 * 1_000;

    /// Returns the window at a time of the wall clock.
    #[must_use]
    pub const fn at(now: Millis) -> Self {
        Self { now }
    }

    /// Returns whether a key may be claimed.
    #[must_use]
    pub fn contains(self, key: ClaimKey) -> bool {
        let fresh = key.time + Millis(Self::LENGTH_MS) > self.now;
        let ahead = key.time > self.now + Millis(Self::SKEW_MS);
        fresh && !ahead
    }

    /// Returns whether no claim of a key counts any more, whichever clock was asked.
    #[must_use]
    pub fn has_passed(self, key: ClaimKey) -> bool {
        key.time + Millis(Self::LENGTH_MS + Self::SKEW_MS) < self.now
    }
}
