use super::*;

/// Lease that bounds the age of the operator records on this VM.
///
/// Operators may revoke keys at any time, and a VM that is cut off from the store does not learn of
/// it. A request with a key is therefore served only while the lease is fresh. The lease counts
/// from the time when the read was sent: whatever the store had acknowledged by then is in the
/// answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreshnessLease {
    last_read_sent: Option<Millis>,
}

impl FreshnessLease {
    /// Renews the lease after a read that reached the end of the stream. An earlier read than the
    /// newest one has no effect.
    pub fn renew(&mut self, read_sent: Millis) {
        self.last_read_sent = self.last_read_sent.max(Some(read_sent));
    }

    /// Returns the age of the operator records. `None` if no read has reached the end of the stream
    /// yet.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.last_read_sent.map(|sent| now.since(sent))
    }

    /// Returns whether the operator records are known and younger than a bound.
    #[must_use]
    pub fn is_fresh(&self, now: Millis, bound: Millis) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
