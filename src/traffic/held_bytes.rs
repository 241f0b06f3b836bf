use super::*;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::task::{Context, Poll};
use xitca_web::body::{Frame, SizeHint};

/// A buffer whose memory counts towards a [`ByteBudget`].
#[derive(Debug)]
pub struct HeldBuffer {
    bytes: Vec<u8>,
    reservation: ByteReservation,
}

/// Bytes whose memory counts towards a [`ByteBudget`].
#[derive(Debug)]
pub struct HeldBytes {
    /// The bytes.
    pub bytes: Bytes,
    _reservation: ByteReservation,
}

/// The reason why a body could not be collected.
#[derive(Debug, thiserror::Error)]
pub enum CollectError {
    /// The connection failed within the body.
    #[error("the body ended early: {0}")]
    Broken(#[from] hyper::Error),
    /// It is longer than permitted.
    #[error("the body is longer than {limit}")]
    TooLong {
        /// The limit.
        limit: ByteSize,
    },
    /// There is no memory left for it.
    #[error(transparent)]
    OutOfMemory(#[from] BudgetExceeded),
}

/// A response body of bytes that count towards their budget until they have been sent.
pub(super) struct HeldBody {
    held: Option<HeldBytes>,
    reader: Arc<OpenReader>,
    /// The size of the last frame, which counts until the next one is asked for.
    last: u64,
}

impl HeldBuffer {
    /// The first allocation, which holds most bodies.
    const FIRST_BYTES: usize = 4 * 1_024;

    /// Returns an empty buffer.
    #[must_use]
    pub fn new(budget: &ByteBudget) -> Self {
        Self { bytes: Vec::new(), reservation: budget.reserve() }
    }

    /// Returns the number of bytes in the buffer.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the buffer is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetExceeded`] if the buffer would have to grow beyond its part of the budget.
    pub fn push(&mut self, data: &[u8]) -> Result<(), BudgetExceeded> {
        let length = self.bytes.len() + data.len();
        if length > self.bytes.capacity() {
            let doubled = (self.bytes.capacity() * 2).max(Self::FIRST_BYTES);
            let is_reserved = self.reservation.resize(doubled.max(length) as u64).is_ok();
            let capacity = if is_reserved { doubled.max(length) } else { length };
            self.reservation.resize(capacity as u64)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Collects the body of an answer.
    ///
    /// # Errors
    ///
    /// Returns a [`CollectError`] unless the whole body has arrived and fits.
    pub async fn collect(
        mut body: Incoming,
        limit: ByteSize,
        budget: &ByteBudget,
    ) -> Result<HeldBytes, CollectError> {
        let mut buffer = Self::new(budget);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            if (buffer.len() + data.len()) as u64 > limit.0 {
                return Err(CollectError::TooLong { limit });
            }
            buffer.push(&data)?;
        }
        Ok(buffer.freeze())
    }

    /// Returns the bytes.
    #[must_use]
    pub fn freeze(self) -> HeldBytes {
        HeldBytes { bytes: self.bytes.into(), _reservation: self.reservation }
    }
}

impl HeldBytes {
    /// Returns bytes that another owner holds within a limit of its own.
    #[must_use]
    pub fn shared(budget: &ByteBudget, bytes: Bytes) -> Self {
        Self { bytes, _reservation: budget.reserve() }
    }
}

impl HeldBody {
    /// The size of a frame: a caller that reads slowly holds up the rest.
    const FRAME_BYTES: usize = 16 * 1_024;

    /// Returns a body of the bytes for a caller.
    pub(super) fn wrap(held: HeldBytes, reader: &Arc<OpenReader>) -> ResponseBody {
        if held.bytes.len() <= Self::FRAME_BYTES {
            return ResponseBody::bytes(held.bytes);
        }
        let reader = Arc::clone(reader);
        reader.hold(held.bytes.len() as u64);
        ResponseBody::boxed(Self { held: Some(held), reader, last: 0 })
    }

    fn left(&self) -> usize {
        self.held.as_ref().map_or(0, |held| held.bytes.len())
    }

    fn release_last(&mut self) {
        if self.last > 0 {
            self.reader.take(std::mem::take(&mut self.last));
        }
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let left = self.last + self.left() as u64;
        self.reader.take(left);
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.release_last();
        let Some(held) = &mut self.held else { return Poll::Ready(None) };
        let size = held.bytes.len().min(Self::FRAME_BYTES);
        // A copy, as a slice would keep all of the body in memory until it has been sent.
        let frame = Bytes::copy_from_slice(&held.bytes.split_to(size));
        let is_over = held.bytes.is_empty();
        self.last = size as u64;
        if is_over {
            self.held = None;
        }
        Poll::Ready(Some(Ok(Frame::Data(frame))))
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Exact(self.left() as u64)
    }
}
