//! The slots and the bounded queue of a stand-in engine.

use super::*;

/// Slots that are given by priority, then in order of arrival.
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

    /// Waits for a slot; a lower priority number goes first. Returns nothing if the queue is full.
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

    /// Returns how many run and wait.
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

/// What a request gets on its arrival.
enum QueueEntry {
    /// A slot at once.
    Slot,
    /// A place in the queue, and the ticket that is called.
    Place(QueueKey, oneshot::Receiver<()>),
    /// Nothing.
    Full,
}

/// The priority, then the number of the arrival.
type QueueKey = (i64, u64);

/// A place in the queue, given up if its request goes away.
struct QueuePlace<'a> {
    queue: &'a Arc<SlotQueue>,
    key: QueueKey,
    ticket: oneshot::Receiver<()>,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        lock(&self.queue.state).waiting.remove(&self.key);
        self.ticket.close();
        // The slot was given, and nobody took it.
        if self.ticket.try_recv().is_ok() {
            self.queue.release();
        }
    }
}

/// A slot in use.
#[derive(Debug)]
pub(super) struct SlotGuard {
    queue: Arc<SlotQueue>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.queue.release();
    }
}
