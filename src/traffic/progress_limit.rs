//! A limit on the bytes that a backend server sends without completing a response head or a body
//! frame.
//!
//! hyper limits the size of a single head, but reads any number of interim responses before it, and
//! any number of leading zeros in a chunk size. A server that sends such bytes endlessly would
//! occupy its request until the deadline.

use super::*;
use std::{
    io,
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The number of bytes that a connection may still receive before the next head or body frame.
#[derive(Clone, Debug)]
pub(super) struct ProgressAllowance {
    left: Arc<AtomicU64>,
}

impl ProgressAllowance {
    /// Twice what hyper buffers: a head and the part of the body that it reads with it (32 KB).
    const STEP_BYTES: u64 = 64 * 1_024;
    /// No limit, while the connection is idle.
    const UNBOUNDED: u64 = u64::MAX;

    /// Resets the limit for the bytes up to the next head or body frame.
    pub(super) fn reset(&self) {
        self.left.store(Self::STEP_BYTES, Ordering::Relaxed);
    }

    /// Removes the limit after a complete answer.
    pub(super) fn remove_limit(&self) {
        self.left.store(Self::UNBOUNDED, Ordering::Relaxed);
    }

    /// Deducts received bytes; returns false if they exceed the limit.
    fn consume(&self, bytes: u64) -> bool {
        let left = self.left.load(Ordering::Relaxed);
        if left != Self::UNBOUNDED {
            self.left.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
        bytes <= left
    }
}

impl Default for ProgressAllowance {
    fn default() -> Self {
        Self { left: Arc::new(AtomicU64::new(Self::UNBOUNDED)) }
    }
}

/// A stream whose reads fail once the allowance is exceeded.
#[derive(Debug)]
pub(super) struct ProgressLimited<S> {
    pub(super) stream: S,
    pub(super) allowance: ProgressAllowance,
}

impl<S: AsyncRead + Unpin> AsyncRead for ProgressLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        if self.allowance.consume(read as u64) {
            return polled;
        }
        let text = "The server sends bytes without end that are no part of an answer.";
        tracing::warn!(limit = ProgressAllowance::STEP_BYTES, "{text} Its connection is closed.");
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ProgressLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
