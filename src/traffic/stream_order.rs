/// The position of a received event relative to the events already passed on to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventPlace {
    /// The event is new.
    Next,
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
pub struct StreamOrder {
    /// The number of the last event that this run or an earlier one passed on.
    last: Option<u64>,
    /// The highest event number that this run has received.
    seen: Option<u64>,
    /// Whether the last two event numbers of this run differed by one.
    is_dense: bool,
}

impl StreamOrder {
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
    pub fn place(&mut self, id: Option<u64>) -> EventPlace {
        let Some(id) = id else { return EventPlace::Next };
        let step = self.seen.map(|seen| id.saturating_sub(seen));
        let is_gap = self.is_dense && step.is_some_and(|step| step > 1);
        if step != Some(0) {
            self.is_dense = step == Some(1);
        }
        self.seen = self.seen.max(Some(id));
        if self.last.is_some_and(|last| id <= last) {
            EventPlace::Repeated
        } else if is_gap {
            EventPlace::AfterGap
        } else {
            EventPlace::Next
        }
    }

    /// Records that an event was passed on to the caller.
    pub fn passed(&mut self, id: Option<u64>) {
        self.last = id.or(self.last);
    }
}
