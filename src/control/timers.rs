use super::*;

/// The timers of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// The first byte of an attempt's answer is overdue.
    Overdue(AttemptId),
    /// The delay before a retry has passed.
    Retry,
    /// The rating of an attempt's held answer has timed out.
    Rating(AttemptId),
    /// The request's deadline has passed.
    Deadline,
}

/// The timers of all requests, in order of time. Whoever handles a timer ignores it if it no longer
/// applies.
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

    /// Removes and returns the next timer that is due; none if none is.
    pub(super) fn pop_due(&mut self, now: Millis) -> Option<(RequestNumber, TimerKind)> {
        let (at, _, _) = self.timers.first()?;
        if *at > now {
            return None;
        }
        self.timers.pop_first().map(|(_, request, kind)| (request, kind))
    }
}
