use super::*;

type ClassLanes = [BTreeMap<i64, QueueEntry>; SizeClass::COUNT];

/// The queued requests of one team, fair by subscriber.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamQueue {
    tags: FairTags<SubscriberId>,
    lanes: BTreeMap<SubscriberId, ClassLanes>,
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
        let lanes = self.lanes.entry(entry.subscriber.clone()).or_default();
        let lane = &mut lanes[class.index()];
        if lane.is_empty() {
            self.tags.activate(&entry.subscriber, class);
        }
        lane.insert(order, entry);
    }

    /// Returns the request whose turn it is in a class.
    pub(super) fn first(&self, class: SizeClass) -> Option<(i64, &QueueEntry)> {
        let subscriber = self.tags.first(class)?;
        let lane = &self.lanes.get(subscriber)?[class.index()];
        lane.first_key_value().map(|(order, entry)| (*order, entry))
    }

    pub(super) fn remove(
        &mut self,
        subscriber: &SubscriberId,
        class: SizeClass,
        order: i64,
    ) -> Option<QueueEntry> {
        let lanes = self.lanes.get_mut(subscriber)?;
        let entry = lanes[class.index()].remove(&order)?;
        self.counts[class.index()] -= 1;
        self.backlog = if self.len() == 0 { 0.0 } else { self.backlog - entry.share() };
        let lanes = self.lanes.get(subscriber)?;
        if lanes[class.index()].is_empty() {
            self.tags.deactivate(subscriber, class);
        }
        if lanes.iter().all(BTreeMap::is_empty) {
            self.lanes.remove(subscriber);
        }
        Some(entry)
    }

    pub(super) fn charge(&mut self, subscriber: &SubscriberId, cost: f64) {
        self.tags.charge(subscriber, cost);
    }

    pub(super) fn correct(&mut self, subscriber: &SubscriberId, cost: f64) {
        self.tags.correct(subscriber, cost);
    }

    /// Returns the newest request of the subscriber with the most queued requests.
    pub(super) fn heaviest(&self) -> Option<RequestNumber> {
        let count = |lanes: &ClassLanes| lanes.iter().map(BTreeMap::len).sum::<usize>();
        let (_, lanes) = self.lanes.iter().max_by_key(|(_, lanes)| count(lanes))?;
        let newest = lanes.iter().filter_map(|lane| lane.last_key_value());
        newest.max_by_key(|(order, _)| **order).map(|(_, entry)| entry.request)
    }
}
