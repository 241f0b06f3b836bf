use super::*;

/// What a VM bears of callers that read slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderBounds {
    /// The bytes of a stream that are held for its caller. A longer event is held alone.
    pub ahead: ByteSize,
    /// The longest time for which a server waits because its caller takes nothing.
    pub pause: Millis,
    /// The longest time for which a server waits because other callers hold the memory.
    pub memory_wait: Millis,
    /// The longest time for which bytes are held for a caller that takes nothing.
    pub idle: Millis,
}

impl Default for ReaderBounds {
    /// Most streams fit into `ahead`, so that their servers never wait. A server cuts off a
    /// response after some seconds, so `pause` and `memory_wait` together are two at
    /// most. `idle` exceeds the deadlines
    /// of requests.
    fn default() -> Self {
        Self {
            ahead: ByteSize(32 * 1_024),
            pause: Millis(1_500),
            memory_wait: Millis(500),
            idle: Millis(30_000),
        }
    }
}

impl ReaderBounds {
    /// The divisor of the budget that gives the part from which on slow callers give way.
    const PRESSED_PART: u64 = 2;

    /// Decides about the next part of a stream. `held` bytes wait for the caller already, the
    /// server has `waited` for room for the part, and `has_memory` tells whether the budget admits
    /// it. Parts without bytes are always held.
    #[must_use]
    pub fn judge(
        &self,
        held: ByteSize,
        part: ByteSize,
        waited: Millis,
        has_memory: bool,
    ) -> PassVerdict {
        let is_within = held.0 == 0 || part.0 == 0 || held.0 + part.0 <= self.ahead.0;
        if is_within && has_memory {
            PassVerdict::Hold
        } else if waited < self.pause {
            PassVerdict::Wait
        } else if held.0 == 0 {
            PassVerdict::OutOfMemory
        } else {
            PassVerdict::Lose
        }
    }

    /// Returns the callers that lose their answers: those that have taken nothing for too long, and
    /// while over half of the budget is in use, those that have taken nothing for a pause, from
    /// the one for whom most is held.
    #[must_use]
    pub fn losers(
        &self,
        readers: &[ReaderView],
        in_use: ByteSize,
        limit: ByteSize,
    ) -> Vec<(RequestNumber, LossCause)> {
        let mut readers: Vec<_> = readers.iter().filter(|reader| reader.held.0 > 0).collect();
        readers.sort_by_key(|reader| (Reverse(reader.held.0), reader.request));
        let mut in_use = in_use.0;
        let mut losers = Vec::new();
        for reader in readers {
            let is_pressed = in_use > limit.0 / Self::PRESSED_PART;
            let cause = if reader.unread >= self.idle {
                LossCause::Idle
            } else if is_pressed && reader.unread >= self.pause {
                LossCause::Memory
            } else {
                continue;
            };
            in_use = in_use.saturating_sub(reader.held.0);
            losers.push((reader.request, cause));
        }
        losers
    }
}
