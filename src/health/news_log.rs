use super::*;

/// Events in the order in which this process learned of them, numbered from 1, so that another VM
/// can be told what is new to it. The oldest are forgotten.
#[derive(Clone, Debug)]
pub struct NewsLog<T> {
    events: VecDeque<T>,
    /// The number of the last event that is no longer kept.
    forgotten: u64,
}

impl<T> Default for NewsLog<T> {
    fn default() -> Self {
        Self { events: VecDeque::new(), forgotten: 0 }
    }
}

impl<T> NewsLog<T> {
    /// Adds an event, and returns the oldest one if more than `limit` would be kept.
    pub fn push(&mut self, event: T, limit: usize) -> Option<T> {
        self.events.push_back(event);
        if self.events.len() > limit { self.forget_oldest() } else { None }
    }

    /// Forgets the oldest event; its number is not given again.
    pub fn forget_oldest(&mut self) -> Option<T> {
        let event = self.events.pop_front()?;
        self.forgotten += 1;
        Some(event)
    }

    /// Returns the events after a number.
    pub fn since(&self, number: u64) -> impl Iterator<Item = &T> {
        self.events.iter().skip(number.saturating_sub(self.forgotten) as usize)
    }

    /// Returns the number of the last event.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.forgotten + self.events.len() as u64
    }
}
