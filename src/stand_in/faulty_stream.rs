//! A TCP stream with fault injection.

use super::*;

/// Forwards reads and writes to a TCP stream, subject to the faults of the connection.
#[derive(Debug)]
pub(super) struct FaultyStream {
    inner: TcpStream,
    connection_faults: Arc<ConnectionFaults>,
}

impl FaultyStream {
    pub(super) const fn new(inner: TcpStream, connection_faults: Arc<ConnectionFaults>) -> Self {
        Self { inner, connection_faults }
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection_faults.is_silent() {
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        // If the connection was silenced during the read, the bytes that arrived are dropped.
        if self.connection_faults.is_silent() { Poll::Pending } else { polled }
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.connection_faults.is_silent() {
            return Poll::Pending;
        }
        let Some(mut raw) = self.connection_faults.raw_answer() else {
            return Pin::new(&mut self.inner).poll_write(context, buffer);
        };
        while !raw.is_empty() {
            let written = ready!(Pin::new(&mut self.inner).poll_write(context, &raw))?;
            raw.advance(written);
            self.connection_faults.set_rest(raw.clone());
        }
        Poll::Ready(Ok(buffer.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
