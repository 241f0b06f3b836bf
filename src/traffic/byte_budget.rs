//! A bound on the bytes of requests and answers that are held in memory at the same time.
//!
//! A holder may grow only while at least as many bytes as it has are free, so that one that grows
//! without end fails before it takes the rest. A part of the budget is reserved for small bodies:
//! they fit however many large ones are held.

use super::*;

/// A number of bytes that many holders share.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    limit: ByteSize,
    held: Arc<AtomicU64>,
}

/// The bytes of one holder, returned to the budget on drop.
#[derive(Debug)]
pub struct ByteReservation {
    budget: ByteBudget,
    bytes: u64,
}

/// A body does not fit into the memory that is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("The bodies of all requests and answers would exceed {limit}; try again later.")]
pub struct BudgetExceeded {
    /// The limit of the budget.
    pub limit: ByteSize,
}

impl ByteBudget {
    /// Returns a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: ByteSize) -> Self {
        Self { limit, held: Arc::default() }
    }

    /// Returns the number of bytes that are held.
    #[must_use]
    pub fn held(&self) -> ByteSize {
        ByteSize(self.held.load(Ordering::Relaxed))
    }

    /// Returns the limit.
    #[must_use]
    pub const fn limit(&self) -> ByteSize {
        self.limit
    }

    /// Returns a reservation of no bytes.
    #[must_use]
    pub fn reserve(&self) -> ByteReservation {
        ByteReservation { budget: self.clone(), bytes: 0 }
    }
}

impl ByteReservation {
    /// The size up to which a body is small: most bodies are.
    const SMALL_BYTES: u64 = 16 * 1_024;
    /// The divisor of the budget that gives the part reserved for small bodies.
    const SMALL_PART: u64 = 8;

    fn fits(bytes: u64, total: u64, limit: ByteSize) -> bool {
        if bytes <= Self::SMALL_BYTES {
            return total <= limit.0;
        }
        total.saturating_add(bytes) <= limit.0 - limit.0 / Self::SMALL_PART
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub const fn bytes(&self) -> ByteSize {
        ByteSize(self.bytes)
    }

    /// Changes the number of reserved bytes.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetExceeded`], and leaves the reservation as it is, if it would hold more than
    /// what is left for the others.
    pub fn resize(&mut self, bytes: u64) -> Result<(), BudgetExceeded> {
        let ByteBudget { limit, held } = &self.budget;
        if bytes > self.bytes {
            let added = bytes - self.bytes;
            let total = held.fetch_add(added, Ordering::Relaxed) + added;
            if !Self::fits(bytes, total, *limit) {
                held.fetch_sub(added, Ordering::Relaxed);
                return Err(BudgetExceeded { limit: *limit });
            }
        } else {
            held.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
