use super::*;

/// How long ago the store is known to have told all that operators had published.
///
/// Keys may be taken away at any time, and a VM that is cut off does not hear of it. A request with
/// a key is therefore served only while the lease is fresh. The lease counts from when the read was
/// sent: whatever the store had acknowledged by then is in the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnowledgeLease {
    started: Option<Millis>,
}

impl KnowledgeLease {
    /// Renews the lease after a read that reached the stream's end.
    pub fn renew(&mut self, read_sent: Millis) {
        self.started = self.started.max(Some(read_sent));
    }

    /// Returns the age of what is known.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.started.map(|started| now.since(started))
    }

    /// Returns whether what is known is younger than a bound.
    #[must_use]
    pub fn is_fresh(&self, now: Millis, bound: Millis) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
