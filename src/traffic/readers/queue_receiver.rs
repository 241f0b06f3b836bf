use super::*;
use tokio::sync::mpsc::UnboundedReceiver;

/// The end of a queue from which the exchange with a caller takes the parts of an answer.
#[derive(Debug)]
pub(in super::super) struct QueueReceiver<P> {
    parts: UnboundedReceiver<P>,
    state: Arc<QueueState>,
    /// The bytes of the last part, which count until the exchange asks for the next one: the part
    /// is in the write buffer of the connection.
    last: u64,
}

impl<P: QueuedPart> QueueReceiver<P> {
    pub(super) const fn new(parts: UnboundedReceiver<P>, state: Arc<QueueState>) -> Self {
        Self { parts, state, last: 0 }
    }

    /// Returns the next part, or `None` if the run has ended. Cancel-safe.
    pub(in super::super) async fn recv(&mut self) -> Option<P> {
        self.state.delivered.get_or_init(Instant::now);
        self.release_last();
        let part = self.parts.recv().await?;
        self.last = part.held_bytes();
        Some(part)
    }

    /// Refuses further parts; those that are queued can still be received.
    pub(in super::super) fn close(&mut self) {
        self.parts.close();
    }

    fn release_last(&mut self) {
        if self.last > 0 {
            self.state.take(std::mem::take(&mut self.last));
        }
    }
}
