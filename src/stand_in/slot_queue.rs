//! The slots and the bounded queue of a fake engine.

use super::*;

/// A semaphore with a bounded queue, which grants slots by priority and then by order of arrival.
#[derive(Debug)]
pub(super) struct SlotQueue {
    state: Mutex<QueueState>,
    slots: usize,
    queue_limit: usize,
}

#[derive(Debug, Default)]
struct QueueState {
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<QueueKey, oneshot::Sender<()>>,
}

impl SlotQueue {
    pub(super) fn new(slots: usize, queue_limit: usize) -> Self {
        Self { state: Mutex::default(), slots, queue_limit }
    }

    /// Waits for a slot; lower priority numbers come first. Returns `None` if the queue is full.
    pub(super) async fn acquire(self: &Arc<Self>, priority: i64) -> Option<SlotGuard> {
        match self.enter(priority) {
            QueueEntry::Slot => {}
            QueueEntry::Full => return None,
            QueueEntry::Place(key, ticket) => {
                let mut place = QueuePlace { queue: self, key, ticket };
                (&mut place.ticket).await.ok()?;
            }
        }
        Some(SlotGuard { queue: Arc::clone(self) })
    }

    /// Returns the numbers of running and of waiting requests.
    pub(super) fn load(&self) -> (usize, usize) {
        let state = lock(&self.state);
        (state.running, state.waiting.len())
    }

    fn enter(&self, priority: i64) -> QueueEntry {
        let mut state = lock(&self.state);
        if state.running < self.slots {
            state.running += 1;
            return QueueEntry::Slot;
        }
        if state.waiting.len() >= self.queue_limit {
            return QueueEntry::Full;
        }
        let (sender, ticket) = oneshot::channel();
        state.arrivals += 1;
        let key = (priority, state.arrivals);
        state.waiting.insert(key, sender);
        QueueEntry::Place(key, ticket)
    }

    fn release(&self) {
        let mut state = lock(&self.state);
        while let Some((_, waiter)) = state.waiting.pop_first() {
            if waiter.send(()).is_ok() {
                return;
            }
        }
        state.running -= 1;
    }
}

/// The result of a request for a slot.
enum QueueEntry {
    /// A slot was free.
    Slot,
    /// The request is queued; the receiver is signalled when it gets a slot.
    Place(QueueKey, oneshot::Receiver<()>),
    /// The queue is full.
    Full,
}

/// The priority, then the sequence number of the arrival.
type QueueKey = (i64, u64);

/// A queued request, removed from the queue when it is dropped.
struct QueuePlace<'a> {
    queue: &'a Arc<SlotQueue>,
    key: QueueKey,
    ticket: oneshot::Receiver<()>,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        lock(&self.queue.state).waiting.remove(&self.key);
        self.ticket.close();
        // The slot was granted after the request was cancelled, so it is passed on.
        if self.ticket.try_recv().is_ok() {
            self.queue.release();
        }
    }
}

/// A slot in use, released on drop.
#[derive(Debug)]
pub(super) struct SlotGuard {
    queue: Arc<SlotQueue>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.queue.release();
    }
}
