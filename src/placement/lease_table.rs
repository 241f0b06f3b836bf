use super::*;

/// The leases of all pools, folded from the records of the `placement` stream.
///
/// A record counts only if no other record of its pool lies between the offset up to which its
/// writer had read and its own. So of two records that were written at the same time the first
/// counts, for every reader alike, and a record that was delayed on its way does not count.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    own: PeerName,
    start: Offset,
    next: Offset,
    pools: BTreeMap<PoolId, LeaseState>,
}

/// The lease of a pool as one reader knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseState {
    /// The last holder.
    pub holder: PeerName,
    /// Its fencing number.
    pub fence: Fence,
    /// Whether the holder gave up the lease.
    pub released: bool,
    /// The offset of the last record of the pool.
    pub last: Offset,
    /// When this reader read that record, by its own clock.
    pub read: Millis,
    /// When this reader last read a record of another entry VM for the pool.
    pub other_read: Option<Millis>,
}

/// Whether a lease record counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseVerdict {
    /// It does.
    Accepted,
    /// It does not.
    Rejected,
}

/// A lease record after folding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoldedLease {
    /// Its offset.
    pub offset: Offset,
    /// The record.
    pub record: LeaseRecord,
    /// Whether it counts.
    pub verdict: LeaseVerdict,
}

impl LeaseTable {
    /// Returns a table that has read nothing.
    #[must_use]
    pub fn new(own: PeerName) -> Self {
        Self { own, start: Offset(0), next: Offset(0), pools: BTreeMap::new() }
    }

    /// Returns the offset to read next.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Moves past records that are no longer kept.
    pub fn skip_to(&mut self, oldest: Offset) {
        if oldest > self.next {
            self.start = oldest;
            self.next = oldest;
        }
    }

    /// Returns the lease of a pool, if a record of it was read.
    #[must_use]
    pub fn get(&self, pool: &PoolId) -> Option<&LeaseState> {
        self.pools.get(pool)
    }

    /// Folds one record of the stream.
    pub fn fold(&mut self, now: Millis, record: &LogRecord) -> Option<FoldedLease> {
        if record.offset < self.next {
            return None;
        }
        self.next = Offset(record.offset.0 + 1);
        let parsed: LeaseRecord = match serde_json::from_slice(&record.record) {
            Ok(parsed) => parsed,
            Err(error) => {
                tracing::warn!(offset = %record.offset, %error, "lease record skipped");
                return None;
            }
        };
        let verdict = self.judge(&parsed);
        self.apply(now, record.offset, &parsed, verdict);
        Some(FoldedLease { offset: record.offset, record: parsed, verdict })
    }

    fn judge(&self, record: &LeaseRecord) -> LeaseVerdict {
        let state = self.pools.get(&record.pool);
        let own = record.holder == self.own;
        let adjacent = match state {
            Some(state) => state.last < record.seen,
            None => !own || record.seen >= self.start,
        };
        let holds = |fence: Fence| {
            state.is_none_or(|state| state.fence == fence && state.holder == record.holder)
        };
        let valid = match record.step {
            LeaseStep::Acquire => true,
            LeaseStep::Renew(fence) | LeaseStep::Release(fence) => holds(fence),
        };
        if adjacent && valid { LeaseVerdict::Accepted } else { LeaseVerdict::Rejected }
    }

    fn apply(&mut self, now: Millis, offset: Offset, record: &LeaseRecord, verdict: LeaseVerdict) {
        let other = record.holder != self.own;
        let fence = match record.step {
            LeaseStep::Acquire => Fence(offset.0),
            LeaseStep::Renew(fence) | LeaseStep::Release(fence) => fence,
        };
        let state = self.pools.entry(record.pool.clone()).or_insert_with(|| LeaseState {
            holder: record.holder.clone(),
            fence,
            released: false,
            last: offset,
            read: now,
            other_read: None,
        });
        state.last = offset;
        if other {
            state.other_read = Some(now);
        }
        if verdict == LeaseVerdict::Accepted {
            state.holder = record.holder.clone();
            state.fence = fence;
            state.released = matches!(record.step, LeaseStep::Release(_));
            state.read = now;
        }
    }
}
