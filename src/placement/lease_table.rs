use super::*;

/// The leases of all pools, computed from the records of the `placement` stream.
///
/// A record is accepted only if its writer had read all earlier records of the pool. Hence, of two
/// records that were written at the same time, every reader accepts the first one only, and a
/// record that was delayed on its way to the log is rejected.
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
    /// The fencing number of the lease.
    pub fence: Fence,
    /// Whether the holder released the lease.
    pub released: bool,
    /// The offset of the last record of the pool, accepted or not.
    pub last: Offset,
    /// When this reader read the last accepted record (or the first record of the pool, if none was
    /// accepted), by its own clock.
    pub read_at: Millis,
    /// When this reader last read a record of another entry VM for the pool, accepted or not.
    pub other_read_at: Option<Millis>,
}

/// Whether a lease record takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseVerdict {
    /// The record takes effect.
    Accepted,
    /// The record has no effect: its writer had not read all earlier ones, or does not hold the
    /// lease.
    Rejected,
}

/// A lease record that was read from the stream, with its verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoldedLease {
    /// The offset of the record.
    pub offset: Offset,
    /// The record as it was written.
    pub record: LeaseRecord,
    /// Whether the record takes effect.
    pub verdict: LeaseVerdict,
}

impl LeaseTable {
    /// Returns a table without leases, to read the stream from its start. `own` is the name of the
    /// VM that reads.
    #[must_use]
    pub fn new(own: PeerName) -> Self {
        Self { own, start: Offset(0), next: Offset(0), pools: BTreeMap::new() }
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Skips records that were trimmed from the stream.
    pub fn skip_to(&mut self, oldest: Offset) {
        if oldest > self.next {
            self.start = oldest;
            self.next = oldest;
        }
    }

    /// Returns the lease of a pool, or none if no record for the pool was read.
    #[must_use]
    pub fn get(&self, pool: &PoolId) -> Option<&LeaseState> {
        self.pools.get(pool)
    }

    /// Applies one record of the stream. Returns none if the record was applied before or cannot be
    /// decoded.
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
        let verdict = self.check(&parsed);
        self.apply(now, record.offset, &parsed, verdict);
        Some(FoldedLease { offset: record.offset, record: parsed, verdict })
    }

    fn check(&self, record: &LeaseRecord) -> LeaseVerdict {
        let state = self.pools.get(&record.pool);
        let own = record.holder == self.own;
        let has_read_all = match state {
            Some(state) => state.last < record.seen,
            None => !own || record.seen >= self.start,
        };
        let is_holder = |fence: Fence| {
            state.is_none_or(|state| state.fence == fence && state.holder == record.holder)
        };
        let valid = match record.step {
            LeaseStep::Acquire => true,
            LeaseStep::Renew(fence) | LeaseStep::Release(fence) => is_holder(fence),
        };
        if has_read_all && valid { LeaseVerdict::Accepted } else { LeaseVerdict::Rejected }
    }

    fn apply(&mut self, now: Millis, offset: Offset, record: &LeaseRecord, verdict: LeaseVerdict) {
        let is_from_other = record.holder != self.own;
        let fence = match record.step {
            LeaseStep::Acquire => Fence(offset.0),
            LeaseStep::Renew(fence) | LeaseStep::Release(fence) => fence,
        };
        let state = self.pools.entry(record.pool.clone()).or_insert_with(|| LeaseState {
            holder: record.holder.clone(),
            fence,
            released: false,
            last: offset,
            read_at: now,
            other_read_at: None,
        });
        state.last = offset;
        if is_from_other {
            state.other_read_at = Some(now);
        }
        if verdict == LeaseVerdict::Accepted {
            state.holder = record.holder.clone();
            state.fence = fence;
            state.released = matches!(record.step, LeaseStep::Release(_));
            state.read_at = now;
        }
    }
}
