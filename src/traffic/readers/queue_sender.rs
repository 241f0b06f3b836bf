use super::*;
use tokio::sync::mpsc::UnboundedSender;

/// The end of a queue into which a run passes the parts of its answer.
#[derive(Debug)]
pub(in super::super) struct QueueSender<P> {
    parts: UnboundedSender<P>,
    state: Arc<QueueState>,
}

impl<P: QueuedPart> QueueSender<P> {
    /// The time after which memory that others have returned is asked for again.
    const RETRY: Duration = Duration::from_millis(50);

    pub(super) const fn new(parts: UnboundedSender<P>, state: Arc<QueueState>) -> Self {
        Self { parts, state }
    }

    /// Waits until the exchange has ended or has cancelled the run.
    pub(in super::super) async fn closed(&self) {
        self.parts.closed().await;
    }

    /// Returns whether a part waits until the caller has taken more.
    pub(in super::super) fn is_waiting(&self) -> bool {
        self.state.is_waiting.load(Ordering::Relaxed)
    }

    /// Reserves memory for bytes that have arrived; waits for a bounded time while others hold it.
    ///
    /// # Errors
    ///
    /// Returns a [`PassFault`] if they still hold it. After [`PassFault::Lost`], the caller's
    /// connection has been closed: it had not read what is held for it.
    pub(in super::super) async fn reserve(
        &self,
        reservation: &mut ByteReservation,
        bytes: u64,
    ) -> Result<(), PassFault> {
        let ends = Instant::now() + self.state.reader.table().bounds().memory_wait.duration();
        loop {
            match reservation.resize(bytes) {
                Ok(()) => return Ok(()),
                Err(_) if Instant::now() < ends => tokio::time::sleep(Self::RETRY).await,
                Err(_) if self.state.holds_any() => return Err(self.lose(LossCause::Memory)),
                Err(error) => return Err(PassFault::OutOfMemory(error)),
            }
        }
    }

    fn lose(&self, cause: LossCause) -> PassFault {
        self.state.reader.lose(cause);
        PassFault::Lost
    }

    /// Passes a part on; waits for a bounded time while too much is held for the caller.
    ///
    /// # Errors
    ///
    /// Returns a [`PassFault`] if the part cannot be passed on. After [`PassFault::Lost`], the
    /// caller's connection has been closed.
    pub(in super::super) async fn pass(&self, part: P) -> Result<(), PassFault> {
        // Most parts are held at once, without a look at the clock.
        let mut begun = None;
        loop {
            match self.state.offer(part.held_bytes(), begun) {
                PassVerdict::Hold => {
                    self.state.is_waiting.store(false, Ordering::Relaxed);
                    return self.parts.send(part).map_err(|_| PassFault::Gone);
                }
                PassVerdict::Lose => return Err(self.lose(LossCause::ServerWaits)),
                PassVerdict::OutOfMemory => {
                    let limit = self.state.reader.table().budget().limit();
                    return Err(PassFault::OutOfMemory(BudgetExceeded { limit }));
                }
                PassVerdict::Wait => {
                    begun.get_or_insert_with(Instant::now);
                    self.state.is_waiting.store(true, Ordering::Relaxed);
                }
            }
            tokio::select! {
                () = self.state.room.notified() => {}
                () = self.parts.closed() => return Err(PassFault::Gone),
                () = tokio::time::sleep(Self::RETRY) => {}
            }
        }
    }
}

impl<P> Clone for QueueSender<P> {
    fn clone(&self) -> Self {
        Self { parts: self.parts.clone(), state: Arc::clone(&self.state) }
    }
}
