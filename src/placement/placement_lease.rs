use super::*;

/// The lease of one pool from the point of view of this VM.
///
/// Time is measured by this VM's clock only. The holder counts the duration of its lease from the
/// moment at which it began to append the record. Any other VM counts from the moment at which it
/// read the record, which is later. So the holder stops sending orders before another VM may
/// acquire the lease.
#[derive(Clone, Debug)]
pub struct PlacementLease {
    own: PeerName,
    pool: PoolId,
    held: Option<HeldLease>,
    pending_records: VecDeque<(u64, Millis)>,
    serial: u64,
    acquire_not_before: Millis,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fence: Fence,
    until: Millis,
}

/// Whether a VM wants to hold the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseIntent {
    /// Acquires and renews the lease, as there are orders to send.
    Hold,
    /// Renews the lease if this VM holds it, but does not acquire it.
    Keep,
    /// Releases the lease, as there has been nothing to order for a while.
    Release,
}

/// The right to send orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderRight {
    /// The fencing number to send with orders.
    pub fence: Fence,
    /// When the right ends, by this VM's clock.
    pub until: Millis,
}

impl PlacementLease {
    /// The time after the holder's last record at which another VM may acquire the lease.
    pub const LEASE_MS: u64 = 30_000;
    /// The time after the append of its record for which the holder considers the lease its own.
    pub const HOLD_MS: u64 = 24_000;
    /// Engines that ignore fencing numbers are protected from the orders of a former holder that
    /// paused for at most this time between checking its lease and writing the order.
    pub const PAUSE_MS: u64 = 30_000;
    const RENEW_MS: u64 = 10_000;
    const RETRY_INTERVAL_MS: u64 = 3_000;

    /// Returns a lease that is not held.
    #[must_use]
    pub const fn new(own: PeerName, pool: PoolId) -> Self {
        Self {
            own,
            pool,
            held: None,
            pending_records: VecDeque::new(),
            serial: 0,
            acquire_not_before: Millis(0),
        }
    }

    /// Returns the fencing number if this VM holds the lease.
    #[must_use]
    pub fn fence(&self, now: Millis) -> Option<Fence> {
        self.held.filter(|held| now < held.until).map(|held| held.fence)
    }

    /// Returns the right to send orders now, or none if this VM does not hold the lease.
    ///
    /// If the pool's engines ignore fencing numbers, there is no right either until orders of an
    /// earlier holder that was paused can no longer arrive.
    #[must_use]
    pub fn right(&self, now: Millis, table: &LeaseTable, rule: FenceRule) -> Option<OrderRight> {
        let held = self.held.filter(|held| now < held.until)?;
        let other_read = table.get(&self.pool).and_then(|state| state.other_read_at);
        if let (FenceRule::Ignores, Some(read)) = (rule, other_read)
            && now < read + Millis(Self::LEASE_MS + Self::PAUSE_MS)
        {
            return None;
        }
        Some(OrderRight { fence: held.fence, until: held.until })
    }

    /// Updates the lease from a record of the pool that was read from the log.
    pub fn on_record(&mut self, now: Millis, folded: &FoldedLease) {
        let accepted = folded.verdict == LeaseVerdict::Accepted;
        if folded.record.holder != self.own {
            if accepted && self.held.take().is_some() {
                tracing::warn!(pool = %self.pool, holder = %folded.record.holder, "another VM acquired the placement lease");
            }
            return;
        }
        let found =
            self.pending_records.iter().position(|(serial, _)| *serial == folded.record.serial);
        let Some(index) = found else { return };
        let Some((_, issued)) = self.pending_records.remove(index) else { return };
        let until = issued + Millis(Self::HOLD_MS);
        if !accepted || until <= now {
            return;
        }
        match folded.record.step {
            LeaseStep::Acquire => {
                let fence = Fence(folded.offset.0);
                tracing::info!(pool = %self.pool, %fence, "acquired the placement lease");
                self.held = Some(HeldLease { fence, until });
            }
            LeaseStep::Renew(fence) => {
                if let Some(held) = self.held.as_mut().filter(|held| held.fence == fence) {
                    held.until = held.until.max(until);
                }
            }
            LeaseStep::Release(_) => {}
        }
    }

    /// Drops the lease, because an engine refused an order on account of a higher fencing number.
    pub fn on_fence_refused(&mut self, now: Millis, fence: Fence) {
        if self.held.is_some_and(|held| held.fence == fence) {
            tracing::warn!(pool = %self.pool, %fence, "dropped the placement lease: an engine refused its fencing number");
            self.held = None;
            self.acquire_not_before = now + Millis(Self::LEASE_MS);
        }
    }

    /// Returns the record to append now, if any, to acquire, renew or release the lease.
    pub fn next_record(
        &mut self,
        now: Millis,
        table: &LeaseTable,
        intent: LeaseIntent,
    ) -> Option<LeaseRecord> {
        self.expire(now);
        let step = match (self.held, intent) {
            (Some(held), LeaseIntent::Release) => {
                self.held = None;
                LeaseStep::Release(held.fence)
            }
            (Some(held), LeaseIntent::Hold | LeaseIntent::Keep) => {
                let renew_from = Millis(held.until.0 - Self::HOLD_MS + Self::RENEW_MS);
                if now < renew_from || self.has_recent_record(now) {
                    return None;
                }
                LeaseStep::Renew(held.fence)
            }
            (None, LeaseIntent::Hold) => {
                if now < self.available_from(table) || self.has_recent_record(now) {
                    return None;
                }
                LeaseStep::Acquire
            }
            (None, LeaseIntent::Keep | LeaseIntent::Release) => return None,
        };
        self.serial += 1;
        self.pending_records.push_back((self.serial, now));
        Some(LeaseRecord {
            pool: self.pool.clone(),
            holder: self.own.clone(),
            serial: self.serial,
            seen: table.next(),
            step,
        })
    }

    fn expire(&mut self, now: Millis) {
        if self.held.is_some_and(|held| now >= held.until) {
            tracing::warn!(pool = %self.pool, "the placement lease expired without renewal");
            self.held = None;
        }
        let oldest = now.since(Millis(Self::HOLD_MS));
        self.pending_records.retain(|(_, issued)| *issued >= oldest);
    }

    fn has_recent_record(&self, now: Millis) -> bool {
        let last = self.pending_records.back();
        last.is_some_and(|(_, issued)| now.since(*issued) < Millis(Self::RETRY_INTERVAL_MS))
    }

    /// Returns when this VM may acquire the lease.
    fn available_from(&self, table: &LeaseTable) -> Millis {
        let free = match table.get(&self.pool) {
            Some(state) if state.holder != self.own && !state.released => {
                state.read_at + Millis(Self::LEASE_MS)
            }
            _ => Millis(0),
        };
        free.max(self.acquire_not_before)
    }
}
