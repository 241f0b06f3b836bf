//! Who calls the store, and how often.
//!
//! The hub of a data centre follows the store for all its VMs. While the store does not serve it,
//! the next rank does so instead, and the two look now and then whether it is back. All others rest;
//! only if nobody tells them what is fresh do they look as well, at a pace that follows from how
//! many they are. The load pattern that this answers: hundreds of VMs that lose the store, or the
//! one VM that reads it for them, at the same moment. Were each to try by itself, with a pause of
//! its own, the calls would grow with the VMs, and all are priced, also those that are refused.

use super::*;

/// How a VM deals with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub(super) enum StoreUse {
    /// It follows the streams.
    #[default]
    Follows,
    /// It sends a read now and then, to learn whether the store serves it.
    Looks,
    /// It leaves the store to others.
    Rests,
}

/// How a VM deals with the store, and when it looks next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreAccess {
    pub(super) current: StoreUse,
    look_next: Option<Millis>,
}

impl StoreAccess {
    /// Returns when the VM looks.
    pub(super) const fn next(&self) -> Option<Millis> {
        self.look_next
    }
}

impl Gateway {
    /// The pause before the first look of a VM that others rely on; doubles with each failure.
    const FIRST_LOOK_MS: u64 = 200;
    /// The longest such pause: what is known when the store fails may be two reads old by then, and
    /// a look and its answer have to fit into the rest of the bound on keys.
    const LAST_LOOK_MS: u64 = 1_500;
    /// The longest pause of a VM that reaches no other one.
    const LAST_LONE_LOOK_MS: u64 = 3_000;
    /// The mean pause between two looks of all VMs of a data centre together that others do not
    /// rely on.
    const CROWD_LOOK_MS: u64 = 250;
    /// The VMs of a data centre that others rely on: the hub and the one that stands by.
    const READERS: usize = 2;

    /// Returns whether the store does not serve this VM: its last answer was a failure, or is late.
    pub(super) fn lacks_store(&self, now: Millis) -> bool {
        let streams = [StoreStream::Operators, StoreStream::Servers];
        let mut feeds = streams.iter().filter_map(|stream| self.feeds.get(stream));
        feeds.any(|feed| feed.failures() > 0 || feed.is_overdue(now))
    }

    /// Returns whether this VM follows the store and is served.
    pub(super) fn is_reading(&self, now: Millis) -> bool {
        self.access.current == StoreUse::Follows && !self.lacks_store(now)
    }

    /// Lets the feeds run as this VM's place among the others asks for.
    pub(super) fn steer_reads(&mut self, now: Millis) {
        let Some(own) = self.relay.card.clone() else { return };
        let wanted = self.wanted_use(now, &own);
        if wanted != self.access.current {
            self.change_use(now, wanted);
        }
        if wanted == StoreUse::Looks {
            self.look(now, &own);
        }
    }

    fn change_use(&mut self, now: Millis, wanted: StoreUse) {
        tracing::info!(
            before = ?self.access.current,
            after = ?wanted,
            is_hub = self.relay.is_hub,
            source = self.relay.source.as_ref().map(VmId::as_str),
            lacks_store = self.lacks_store(now),
            knowledge_age_ms = self.lease.age(now).map(|age| age.0),
            "use of the store changed"
        );
        self.access = StoreAccess { current: wanted, look_next: None };
        match wanted {
            StoreUse::Follows => {
                self.feeds.values_mut().for_each(|feed| feed.resume(now));
                self.follow_rollouts();
            }
            StoreUse::Looks | StoreUse::Rests => self.rest(),
        }
    }

    fn wanted_use(&self, now: Millis, own: &PeerCard) -> StoreUse {
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
        if self.is_uninformed(now) { StoreUse::Looks } else { StoreUse::Rests }
    }

    /// Returns whether this VM is to call the store for others.
    fn is_relied_on(&self, now: Millis, own: &PeerCard) -> bool {
        if self.relay.is_hub {
            return true;
        }
        self.relay.hub_lacks_store && self.relay.peers.place(now, own) < Self::READERS
    }

    /// Returns whether nobody has told this VM what the store has for so long that it asks itself.
    fn is_uninformed(&self, now: Millis) -> bool {
        match self.lease.age(now) {
            Some(age) => age > self.old_age(),
            None => !self.relay.start.is_recent(now),
        }
    }

    /// Follows the store again after a look that was answered.
    pub(super) fn end_look(&mut self, now: Millis) {
        if self.access.current == StoreUse::Looks {
            self.feeds.values_mut().for_each(StoreFeed::forget_failures);
            self.change_use(now, StoreUse::Follows);
        }
    }

    fn rest(&mut self) {
        self.feeds.remove(&StoreStream::Rollouts);
        self.feeds.remove(&StoreStream::Evidence);
        self.feeds.values_mut().for_each(StoreFeed::pause);
    }

    /// Sends a single read when its time has come.
    fn look(&mut self, now: Millis, own: &PeerCard) {
        let is_under_way =
            self.feeds.get(&StoreStream::Operators).is_some_and(StoreFeed::is_reading);
        if is_under_way {
            self.access.look_next = None;
            return;
        }
        self.rest();
        let Some(at) = self.access.look_next else {
            let pause = self.look_pause(now, own);
            self.access.look_next = Some(now + pause);
            return;
        };
        if now >= at {
            self.access.look_next = None;
            if let Some(feed) = self.feeds.get_mut(&StoreStream::Operators) {
                feed.resume(now);
            }
        }
    }

    fn look_pause(&mut self, now: Millis, own: &PeerCard) -> Millis {
        let draw = self.draw();
        let is_cut_off = self.relay.peers.is_cut_off();
        let pause = if is_cut_off || self.is_relied_on(now, own) {
            let failures = self.feeds.get(&StoreStream::Operators).map_or(0, StoreFeed::failures);
            let doubled = Self::FIRST_LOOK_MS << failures.saturating_sub(1).min(4);
            let longest = if is_cut_off { Self::LAST_LONE_LOOK_MS } else { Self::LAST_LOOK_MS };
            doubled.min(longest) as f64 * (0.5 + draw / 2.0)
        } else {
            // As many VMs as there are look once in so long, each at a moment of its own.
            let size = self.relay.peers.centre_size(now, own) as u64;
            2.0 * draw * (Self::CROWD_LOOK_MS * size) as f64
        };
        Millis(pause as u64)
    }
}
