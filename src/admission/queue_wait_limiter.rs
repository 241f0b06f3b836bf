use super::*;

/// Bounds the time that a short request may wait in the queue of a pool.
///
/// Requests of a burst may wait for seconds. A queue that has not been empty for a while is a
/// standing queue: it delays every answer without increasing the pool's throughput. Requests that
/// have waited longer than the preset's shorter bound are then refused, so that the admitted ones
/// are answered in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueWaitLimiter {
    non_empty_since: Option<Millis>,
}

impl QueueWaitLimiter {
    /// The time after which a queue that has not been empty counts as a standing queue.
    pub const STANDING_AFTER_MS: u64 = 1_000;
    /// The maximum wait in a queue that is not a standing queue.
    pub const BURST_WAIT_MS: u64 = 2_000;

    /// Records whether the queue of short requests is empty.
    pub fn observe(&mut self, now: Millis, is_empty: bool) {
        if is_empty {
            self.non_empty_since = None;
        } else if self.non_empty_since.is_none() {
            self.non_empty_since = Some(now);
        }
    }

    /// Returns whether the queue is a standing queue, not empty for [`Self::STANDING_AFTER_MS`].
    #[must_use]
    pub fn is_standing(&self, now: Millis) -> bool {
        let is_long_enough = |since| now.since(since) >= Millis(Self::STANDING_AFTER_MS);
        self.non_empty_since.is_some_and(is_long_enough)
    }

    /// Returns the maximum wait of a short request now, where `standing_wait` is the preset's bound
    /// for a standing queue.
    #[must_use]
    pub fn longest_wait(&self, now: Millis, standing_wait: Millis) -> Millis {
        if self.is_standing(now) {
            return standing_wait;
        }
        Millis(Self::BURST_WAIT_MS).max(standing_wait)
    }
}
