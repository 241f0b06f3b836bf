/// The position of a received event relative to the events already passed on to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventPosition {
    /// The event is new.
    New,
    /// This event or a later one has already been passed on.
    Repeated,
    /// Events before this one are missing.
    AfterGap,
}

/// Checks the event numbers of a stream for repetitions and gaps within one run.
///
/// Event numbers increase, usually by one. If the last step was one, a larger step means that
/// events are missing. A stream that numbers its events with other steps only has to increase.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventSequence {
    /// The number of the last event that this run or an earlier one passed on.
    last: Option<u64>,
    /// The highest event number that this run has received.
    seen: Option<u64>,
    /// Whether the last two event numbers of this run differed by one.
    is_dense: bool,
}

impl EventSequence {
    /// Creates the check for a run that resumes a stream after an event; `None` for a new stream.
    #[must_use]
    pub const fn after(last: Option<u64>) -> Self {
        Self { last, seen: None, is_dense: false }
    }

    /// Returns the number of the last event that was passed on.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Records a received event and returns its position. An event without a number counts as new.
    pub fn classify(&mut self, id: Option<u64>) -> EventPosition {
        let Some(id) = id else { return EventPosition::New };
        let step = self.seen.map(|seen| id.saturating_sub(seen));
        let is_gap = self.is_dense && step.is_some_and(|step| step > 1);
        if step != Some(0) {
            self.is_dense = step == Some(1);
        }
        self.seen = self.seen.max(Some(id));
        if self.last.is_some_and(|last| id <= last) {
            EventPosition::Repeated
        } else if is_gap {
            EventPosition::AfterGap
        } else {
            EventPosition::New
        }
    }

    /// Records that an event was passed on to the caller.
    pub fn record_forwarded(&mut self, id: Option<u64>) {
        self.last = id.or(self.last);
    }
}
