use super::*;
use std::sync::{MutexGuard, OnceLock};

/// A part of an answer that waits for its caller.
pub(in super::super) trait QueuedPart {
    /// Returns the bytes that count towards the queue of its run.
    fn held_bytes(&self) -> u64;
}

/// What the two ends of a queue share.
#[derive(Debug)]
pub(super) struct QueueState {
    pub(super) reader: Arc<OpenReader>,
    /// One reservation for all parts: the more a queue holds, the sooner the budget refuses it.
    held: Mutex<ByteReservation>,
    /// Notified when the caller has taken a part.
    pub(super) room: tokio::sync::Notify,
    /// The time at which the exchange began to take parts; unset while the run isn't delivered.
    pub(super) delivered: OnceLock<Instant>,
    pub(super) is_waiting: AtomicBool,
}

/// Returns the two ends of a queue for the answer of one run.
pub(in super::super) fn queue<P: QueuedPart>(
    reader: &Arc<OpenReader>,
) -> (QueueSender<P>, QueueReceiver<P>) {
    let (sender, receiver) = tokio::sync::mpsc::unbounded_channel();
    let state = Arc::new(QueueState {
        reader: Arc::clone(reader),
        held: Mutex::new(reader.table().budget().reserve()),
        room: tokio::sync::Notify::new(),
        delivered: OnceLock::new(),
        is_waiting: AtomicBool::new(false),
    });
    (QueueSender::new(sender, Arc::clone(&state)), QueueReceiver::new(receiver, state))
}

impl QueueState {
    /// Holds a part if the bounds and the budget admit it. Its server has waited for it since
    /// `begun`, if at all.
    pub(super) fn offer(&self, part: u64, begun: Option<Instant>) -> PassVerdict {
        let waits = self.delivered.get().zip(begun);
        let waited = waits.map_or(Millis(0), |(delivered, begun)| {
            Millis(begun.max(*delivered).elapsed().as_millis() as u64)
        });
        let bounds = self.reader.table().bounds();
        let mut reservation = self.lock();
        let held = reservation.bytes();
        let judge = |has_memory| bounds.judge(held, ByteSize(part), waited, has_memory);
        let verdict = judge(true);
        if verdict != PassVerdict::Hold || part == 0 {
            return verdict;
        }
        if reservation.resize(held.0 + part).is_err() {
            return judge(false);
        }
        self.reader.hold(part);
        verdict
    }

    /// Returns the bytes of a part that the caller has taken.
    pub(super) fn take(&self, part: u64) {
        let mut reservation = self.lock();
        let held = reservation.bytes().0;
        // It shrinks, which never fails.
        let _ = reservation.resize(held - part);
        drop(reservation);
        self.reader.take(part);
        self.room.notify_one();
    }

    /// Returns whether any bytes wait for the caller.
    pub(super) fn holds_any(&self) -> bool {
        self.lock().bytes().0 > 0
    }

    fn lock(&self) -> MutexGuard<'_, ByteReservation> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for QueueState {
    fn drop(&mut self) {
        let held = self.lock().bytes();
        self.reader.take(held.0);
    }
}
