use super::*;

/// A bounded log of events in the order in which this process learned of them, numbered from 1, so
/// that another VM can be sent only the events that it has not seen. The oldest are dropped.
#[derive(Clone, Debug)]
pub struct EventLog<T> {
    events: VecDeque<T>,
    /// The number of events dropped so far, which is the number of the last dropped event.
    dropped: u64,
}

impl<T> Default for EventLog<T> {
    fn default() -> Self {
        Self { events: VecDeque::new(), dropped: 0 }
    }
}

impl<T> EventLog<T> {
    /// Appends an event. If the log then exceeds `limit`, drops and returns the oldest event.
    pub fn push(&mut self, event: T, limit: usize) -> Option<T> {
        self.events.push_back(event);
        if self.events.len() > limit { self.drop_oldest() } else { None }
    }

    /// Drops and returns the oldest event; its number is not reused.
    pub fn drop_oldest(&mut self) -> Option<T> {
        let event = self.events.pop_front()?;
        self.dropped += 1;
        Some(event)
    }

    /// Returns the retained events after the one with the given number, oldest first.
    pub fn since(&self, number: u64) -> impl Iterator<Item = &T> {
        self.events.iter().skip(number.saturating_sub(self.dropped) as usize)
    }

    /// Returns the number of the last dropped event, or 0 if none was dropped.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the number of the newest event, or 0 if there has been none.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.dropped + self.events.len() as u64
    }
}
