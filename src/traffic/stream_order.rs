/// The place of a stream's next event after those that were passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventPlace {
    /// It is new.
    Next,
    /// It, or a later one, has been passed on already.
    Repeated,
    /// Events before it are missing.
    AfterGap,
}

/// The numbers of a stream's events, as one run brings them.
///
/// They rise, mostly by one. Where they have risen by one so far, a larger step means that events
/// are missing; a stream that counts otherwise is only held to rise.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamOrder {
    /// The last event that was passed on, by this run or one before.
    last: Option<u64>,
    /// The last event that this run has brought.
    seen: Option<u64>,
    /// Whether the last step of this run was one.
    is_dense: bool,
}

impl StreamOrder {
    /// Returns the order of a stream that goes on after an event.
    #[must_use]
    pub const fn after(last: Option<u64>) -> Self {
        Self { last, seen: None, is_dense: false }
    }

    /// Returns the number of the last event that was passed on.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Notes an event that has come, and returns its place.
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

    /// Notes that an event was passed on.
    pub fn passed(&mut self, id: Option<u64>) {
        self.last = id.or(self.last);
    }
}
