use super::*;

type ClassQueues = [BTreeMap<i64, QueueEntry>; SizeClass::COUNT];

/// The queued requests of one team, scheduled fairly between its subscribers.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamQueue {
    tags: FairScheduler<SubscriberId>,
    queues: BTreeMap<SubscriberId, ClassQueues>,
    counts: [usize; SizeClass::COUNT],
    pub(super) backlog: f64,
    pub(super) weight: f64,
}

impl TeamQueue {
    pub(super) fn len(&self) -> usize {
        self.counts.iter().sum()
    }

    pub(super) const fn has(&self, class: SizeClass) -> bool {
        self.counts[class.index()] > 0
    }

    pub(super) fn insert(&mut self, order: i64, entry: QueueEntry) {
        let class = entry.class;
        self.counts[class.index()] += 1;
        self.backlog += entry.share();
        self.weight = entry.weight;
        let queues = self.queues.entry(entry.subscriber.clone()).or_default();
        let queue = &mut queues[class.index()];
        if queue.is_empty() {
            self.tags.activate(&entry.subscriber, class);
        }
        queue.insert(order, entry);
    }

    /// Returns the next request of a size class, and its order within its subscriber's queue.
    pub(super) fn first(&self, class: SizeClass) -> Option<(i64, &QueueEntry)> {
        let subscriber = self.tags.first(class)?;
        let queue = &self.queues.get(subscriber)?[class.index()];
        queue.first_key_value().map(|(order, entry)| (*order, entry))
    }

    pub(super) fn remove(
        &mut self,
        subscriber: &SubscriberId,
        class: SizeClass,
        order: i64,
    ) -> Option<QueueEntry> {
        let queues = self.queues.get_mut(subscriber)?;
        let entry = queues[class.index()].remove(&order)?;
        self.counts[class.index()] -= 1;
        self.backlog = if self.len() == 0 { 0.0 } else { self.backlog - entry.share() };
        let queues = self.queues.get(subscriber)?;
        if queues[class.index()].is_empty() {
            self.tags.deactivate(subscriber, class);
        }
        if queues.iter().all(BTreeMap::is_empty) {
            self.queues.remove(subscriber);
        }
        Some(entry)
    }

    pub(super) fn charge(&mut self, subscriber: &SubscriberId, cost: f64) {
        self.tags.charge(subscriber, cost);
    }

    pub(super) fn correct(&mut self, subscriber: &SubscriberId, cost: f64) {
        self.tags.correct(subscriber, cost);
    }

    /// Returns the most recently queued request of the subscriber with the most queued requests.
    pub(super) fn heaviest(&self) -> Option<RequestNumber> {
        let count = |queues: &ClassQueues| queues.iter().map(BTreeMap::len).sum::<usize>();
        let (_, queues) = self.queues.iter().max_by_key(|(_, queues)| count(queues))?;
        let newest = queues.iter().filter_map(|queue| queue.last_key_value());
        newest.max_by_key(|(order, _)| **order).map(|(_, entry)| entry.request)
    }
}
