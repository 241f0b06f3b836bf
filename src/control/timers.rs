use super::*;

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// The first byte of an attempt is overdue.
    Overdue(AttemptId),
    /// The pause before another attempt is over.
    Requeue,
    /// The rating of a held answer is overdue.
    Rating(AttemptId),
    /// The caller stops waiting.
    Deadline,
}

/// What requests wait for, in order of time. A timer that no longer applies is ignored.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestTimers {
    timers: BTreeSet<(Millis, RequestNumber, TimerKind)>,
}

impl RequestTimers {
    pub(super) fn set(&mut self, at: Millis, request: RequestNumber, kind: TimerKind) {
        self.timers.insert((at, request, kind));
    }

    pub(super) fn clear(&mut self, at: Millis, request: RequestNumber, kind: TimerKind) {
        self.timers.remove(&(at, request, kind));
    }

    /// Takes a timer that is due.
    pub(super) fn due(&mut self, now: Millis) -> Option<(RequestNumber, TimerKind)> {
        let (at, _, _) = self.timers.first()?;
        if *at > now {
            return None;
        }
        self.timers.pop_first().map(|(_, request, kind)| (request, kind))
    }
}
