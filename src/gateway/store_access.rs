//! Deciding which VMs read the store, and how often.
//!
//! The hub of a data centre reads the store for all its VMs. While the store does not serve the
//! hub, the next rank reads it instead, and both probe now and then whether the store serves them
//! again. All other VMs send no requests. Only if no VM sends them fresh records do they probe the
//! store as well, at a rate that depends on their number. This is for the case that hundreds of VMs
//! lose the store, or the one VM that reads it for them, at the same moment. If each of them
//! retried at a rate of its own, the number of requests would grow with the number of VMs, and
//! every request costs money, also one that is refused.

use super::*;

/// How a VM uses the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub(super) enum StoreUse {
    /// It reads the streams continuously.
    #[default]
    Follows,
    /// It sends single reads, to learn whether the store serves it.
    Looks,
    /// It sends no reads.
    Rests,
}

/// How this VM uses the store now, and when it probes the store next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreAccess {
    pub(super) current: StoreUse,
    next_probe: Option<Millis>,
}

impl StoreAccess {
    /// Returns when the next probe is due. `None` if none is planned.
    pub(super) const fn next(&self) -> Option<Millis> {
        self.next_probe
    }
}

impl Gateway {
    /// Time before the first probe of a VM that others rely on; it doubles with each failure.
    const FIRST_PROBE_DELAY_MS: u64 = 200;
    /// Longest time between two probes of such a VM. Records may be as old as two reads when the
    /// store fails, and a probe and its answer have to fit into the rest of the bound on keys.
    const MAX_PROBE_DELAY_MS: u64 = 1_500;
    /// Longest time between two probes of a VM that reaches no other VM.
    const MAX_CUT_OFF_PROBE_DELAY_MS: u64 = 3_000;
    /// Mean time between two probes by all those VMs of a data centre together that others do not
    /// rely on.
    const SHARED_PROBE_INTERVAL_MS: u64 = 250;
    /// Number of VMs in a data centre that others rely on: the hub and its standby.
    const READERS: usize = 2;

    /// Returns whether the store does not serve this VM: the last read failed, or its answer is
    /// overdue.
    pub(super) fn lacks_store(&self, now: Millis) -> bool {
        let streams = [StoreStream::Operators, StoreStream::Servers];
        let mut feeds = streams.iter().filter_map(|stream| self.feeds.get(stream));
        feeds.any(|feed| feed.failures() > 0 || feed.is_overdue(now))
    }

    /// Returns whether this VM reads the store and the store serves it.
    pub(super) fn is_reading(&self, now: Millis) -> bool {
        self.access.current == StoreUse::Follows && !self.lacks_store(now)
    }

    /// Starts, probes or pauses the reads of the store according to this VM's role among the
    /// others.
    pub(super) fn update_store_use(&mut self, now: Millis) {
        let Some(own) = self.relay.card.clone() else { return };
        let wanted = self.wanted_store_use(now, &own);
        if wanted != self.access.current {
            self.change_store_use(now, wanted);
        }
        if wanted == StoreUse::Looks {
            self.probe_store(now, &own);
        }
    }

    fn change_store_use(&mut self, now: Millis, wanted: StoreUse) {
        tracing::info!(
            before = ?self.access.current,
            after = ?wanted,
            is_hub = self.relay.is_hub,
            source = self.relay.source.as_ref().map(VmId::as_str),
            lacks_store = self.lacks_store(now),
            knowledge_age_ms = self.lease.age(now).map(|age| age.0),
            "changed how this VM uses the store"
        );
        self.access = StoreAccess { current: wanted, next_probe: None };
        match wanted {
            StoreUse::Follows => {
                self.feeds.values_mut().for_each(|feed| feed.resume(now));
                self.read_rollout_streams();
            }
            StoreUse::Looks | StoreUse::Rests => self.pause_feeds(),
        }
    }

    fn wanted_store_use(&self, now: Millis, own: &PeerCard) -> StoreUse {
        if !self.relay.start.is_decided() {
            return StoreUse::Rests;
        }
        let is_lost = self.relay.peers.is_cut_off() && self.relay.source.is_none();
        if is_lost || self.is_relied_on(now, own) {
            return if self.lacks_store(now) { StoreUse::Looks } else { StoreUse::Follows };
        }
        if self.relay.source.is_some() {
            return StoreUse::Rests;
        }
        if self.is_reading(now) {
            return StoreUse::Follows;
        }
        if self.lacks_fresh_records(now) { StoreUse::Looks } else { StoreUse::Rests }
    }

    /// Returns whether this VM has to read the store for others.
    fn is_relied_on(&self, now: Millis, own: &PeerCard) -> bool {
        if self.relay.is_hub {
            return true;
        }
        self.relay.hub_lacks_store && self.relay.peers.rank_index(now, own) < Self::READERS
    }

    /// Returns whether no VM has sent this one fresh records for so long that it probes the store
    /// itself.
    fn lacks_fresh_records(&self, now: Millis) -> bool {
        match self.lease.age(now) {
            Some(age) => age > self.old_age(),
            None => !self.relay.start.is_recent(now),
        }
    }

    /// Resumes the reads of the store after a probe was answered.
    pub(super) fn end_probe(&mut self, now: Millis) {
        if self.access.current == StoreUse::Looks {
            self.feeds.values_mut().for_each(StoreFeed::reset_failures);
            self.change_store_use(now, StoreUse::Follows);
        }
    }

    fn pause_feeds(&mut self) {
        self.feeds.remove(&StoreStream::Rollouts);
        self.feeds.remove(&StoreStream::Evidence);
        self.feeds.values_mut().for_each(StoreFeed::pause);
    }

    /// Sends a single read when the next probe is due, and plans the one after.
    fn probe_store(&mut self, now: Millis, own: &PeerCard) {
        let is_in_flight =
            self.feeds.get(&StoreStream::Operators).is_some_and(StoreFeed::is_reading);
        if is_in_flight {
            self.access.next_probe = None;
            return;
        }
        self.pause_feeds();
        let Some(at) = self.access.next_probe else {
            let delay = self.probe_delay(now, own);
            self.access.next_probe = Some(now + delay);
            return;
        };
        if now >= at {
            self.access.next_probe = None;
            if let Some(feed) = self.feeds.get_mut(&StoreStream::Operators) {
                feed.resume(now);
            }
        }
    }

    fn probe_delay(&mut self, now: Millis, own: &PeerCard) -> Millis {
        let draw = self.draw();
        let is_cut_off = self.relay.peers.is_cut_off();
        let delay = if is_cut_off || self.is_relied_on(now, own) {
            let failures = self.feeds.get(&StoreStream::Operators).map_or(0, StoreFeed::failures);
            let doubled = Self::FIRST_PROBE_DELAY_MS << failures.saturating_sub(1).min(4);
            let longest = if is_cut_off {
                Self::MAX_CUT_OFF_PROBE_DELAY_MS
            } else {
                Self::MAX_PROBE_DELAY_MS
            };
            doubled.min(longest) as f64 * (0.5 + draw / 2.0)
        } else {
            // Every VM probes once in that time, on average, at a random moment.
            let size = self.relay.peers.centre_size(now, own) as u64;
            2.0 * draw * (Self::SHARED_PROBE_INTERVAL_MS * size) as f64
        };
        Millis(delay as u64)
    }
}
