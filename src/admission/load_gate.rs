use super::*;

/// Decides how long a short request may wait in the queue of a pool.
///
/// A burst may wait for seconds. A queue that has not been empty for a while is a standing queue:
/// it makes every answer later without making the pool faster. Then what has waited longer than
/// the short bound is refused, so that what is admitted is answered in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadGate {
    busy_since: Option<Millis>,
}

impl LoadGate {
    /// The time after which a queue that is never empty counts as standing.
    pub const STANDING_AFTER_MS: u64 = 1_000;
    /// The longest wait in a queue that is not standing.
    pub const BURST_WAIT_MS: u64 = 2_000;

    /// Notes whether short work is queued.
    pub fn observe(&mut self, now: Millis, is_empty: bool) {
        if is_empty {
            self.busy_since = None;
        } else if self.busy_since.is_none() {
            self.busy_since = Some(now);
        }
    }

    /// Returns whether the queue stands.
    #[must_use]
    pub fn is_standing(&self, now: Millis) -> bool {
        let stands = |since| now.since(since) >= Millis(Self::STANDING_AFTER_MS);
        self.busy_since.is_some_and(stands)
    }

    /// Returns the longest wait of short work now, where `standing_wait` is the preset's bound.
    #[must_use]
    pub fn longest_wait(&self, now: Millis, standing_wait: Millis) -> Millis {
        if self.is_standing(now) {
            return standing_wait;
        }
        Millis(Self::BURST_WAIT_MS).max(standing_wait)
    }
}
