use super::*;

/// This VM's side of the lease of one pool.
///
/// Time is measured by this VM's clock only. The holder counts its lease from the moment at which
/// it began to append the record, any other VM from the moment at which it read the record, which
/// is later; and the holder stops before the others may begin.
#[derive(Clone, Debug)]
pub struct PlacementLease {
    own: PeerName,
    pool: PoolId,
    held: Option<HeldLease>,
    asked: VecDeque<(u64, Millis)>,
    serial: u64,
    not_before: Millis,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fence: Fence,
    until: Millis,
}

/// Whether a VM wants the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseWish {
    /// It has orders to give.
    Hold,
    /// It would keep the lease but not take it.
    Keep,
    /// It has nothing to order.
    Release,
}

/// The right to send orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderRight {
    /// The fencing number.
    pub fence: Fence,
    /// When the right ends.
    pub until: Millis,
}

impl PlacementLease {
    /// The time after the last record of a holder from which another VM may take the lease.
    pub const LEASE_MS: u64 = 30_000;
    /// The time from a holder's append for which it relies on its lease.
    pub const HOLD_MS: u64 = 24_000;
    /// The longest pause of a holder between its last check and its write that engines which
    /// ignore fencing numbers are protected from.
    pub const PAUSE_MS: u64 = 30_000;
    const RENEW_MS: u64 = 10_000;
    const ASK_AGAIN_MS: u64 = 3_000;

    /// Returns a lease that is not held.
    #[must_use]
    pub const fn new(own: PeerName, pool: PoolId) -> Self {
        Self { own, pool, held: None, asked: VecDeque::new(), serial: 0, not_before: Millis(0) }
    }

    /// Returns the fencing number while the lease is held.
    #[must_use]
    pub fn fence(&self, now: Millis) -> Option<Fence> {
        self.held.filter(|held| now < held.until).map(|held| held.fence)
    }

    /// Returns the right to send orders now, by the way in which the pool's engines treat fences.
    #[must_use]
    pub fn right(&self, now: Millis, table: &LeaseTable, rule: FenceRule) -> Option<OrderRight> {
        let held = self.held.filter(|held| now < held.until)?;
        let other_read = table.get(&self.pool).and_then(|state| state.other_read);
        if let (FenceRule::Ignores, Some(read)) = (rule, other_read)
            && now < read + Millis(Self::LEASE_MS + Self::PAUSE_MS)
        {
            return None;
        }
        Some(OrderRight { fence: held.fence, until: held.until })
    }

    /// Takes in a record of the pool.
    pub fn folded(&mut self, now: Millis, folded: &FoldedLease) {
        let accepted = folded.verdict == LeaseVerdict::Accepted;
        if folded.record.holder != self.own {
            if accepted && self.held.take().is_some() {
                tracing::warn!(pool = %self.pool, holder = %folded.record.holder, "lease lost");
            }
            return;
        }
        let found = self.asked.iter().position(|(serial, _)| *serial == folded.record.serial);
        let Some(index) = found else { return };
        let Some((_, issued)) = self.asked.remove(index) else { return };
        let until = issued + Millis(Self::HOLD_MS);
        if !accepted || until <= now {
            return;
        }
        match folded.record.step {
            LeaseStep::Acquire => {
                let fence = Fence(folded.offset.0);
                tracing::info!(pool = %self.pool, %fence, "lease taken");
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

    /// Gives up the lease on an engine's word that a newer fencing number exists.
    pub fn refused(&mut self, now: Millis, fence: Fence) {
        if self.held.is_some_and(|held| held.fence == fence) {
            tracing::warn!(pool = %self.pool, %fence, "lease lost: an engine refused the fence");
            self.held = None;
            self.not_before = now + Millis(Self::LEASE_MS);
        }
    }

    /// Returns the record to append now, if any.
    pub fn step(
        &mut self,
        now: Millis,
        table: &LeaseTable,
        wish: LeaseWish,
    ) -> Option<LeaseRecord> {
        self.forget_old(now);
        let step = match (self.held, wish) {
            (Some(held), LeaseWish::Release) => {
                self.held = None;
                LeaseStep::Release(held.fence)
            }
            (Some(held), LeaseWish::Hold | LeaseWish::Keep) => {
                let renew_from = Millis(held.until.0 - Self::HOLD_MS + Self::RENEW_MS);
                if now < renew_from || self.asked_of_late(now) {
                    return None;
                }
                LeaseStep::Renew(held.fence)
            }
            (None, LeaseWish::Hold) => {
                if now < self.free_from(table) || self.asked_of_late(now) {
                    return None;
                }
                LeaseStep::Acquire
            }
            (None, LeaseWish::Keep | LeaseWish::Release) => return None,
        };
        self.serial += 1;
        self.asked.push_back((self.serial, now));
        Some(LeaseRecord {
            pool: self.pool.clone(),
            holder: self.own.clone(),
            serial: self.serial,
            seen: table.next(),
            step,
        })
    }

    fn forget_old(&mut self, now: Millis) {
        if self.held.is_some_and(|held| now >= held.until) {
            tracing::warn!(pool = %self.pool, "lease lapsed");
            self.held = None;
        }
        let oldest = now.since(Millis(Self::HOLD_MS));
        self.asked.retain(|(_, issued)| *issued >= oldest);
    }

    fn asked_of_late(&self, now: Millis) -> bool {
        let last = self.asked.back();
        last.is_some_and(|(_, issued)| now.since(*issued) < Millis(Self::ASK_AGAIN_MS))
    }

    /// Returns when this VM may take the lease.
    fn free_from(&self, table: &LeaseTable) -> Millis {
        let free = match table.get(&self.pool) {
            Some(state) if state.holder != self.own && !state.released => {
                state.read + Millis(Self::LEASE_MS)
            }
            _ => Millis(0),
        };
        free.max(self.not_before)
    }
}
