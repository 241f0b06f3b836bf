use super::*;

/// A virtual time of fair queueing: normalized service, with a total order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct VirtualTime(f64);

impl Eq for VirtualTime {}

impl PartialOrd for VirtualTime {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for VirtualTime {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// A start-time fair queueing (SFQ) scheduler over keys, with one ready set per size class.
///
/// The tag of a key advances by cost divided by weight with each request that is dequeued. The
/// ready key with the smallest tag is served next. A key that becomes ready after being idle
/// starts at the current virtual time, so that idle time earns no credit.
#[derive(Clone, Debug)]
pub struct FairScheduler<K> {
    tags: BTreeMap<K, VirtualTime>,
    ready: [BTreeSet<(VirtualTime, K)>; SizeClass::COUNT],
    virtual_now: VirtualTime,
}

impl<K> Default for FairScheduler<K> {
    fn default() -> Self {
        Self { tags: BTreeMap::new(), ready: Default::default(), virtual_now: VirtualTime(0.0) }
    }
}

impl<K: Ord + Clone> FairScheduler<K> {
    /// Marks a key as ready: it has queued work of a size class.
    pub fn activate(&mut self, key: &K, class: SizeClass) {
        let was_idle = !self.is_ready(key);
        let virtual_now = self.virtual_now;
        let tag = self.tags.entry(key.clone()).or_insert(virtual_now);
        if was_idle {
            *tag = (*tag).max(virtual_now);
        }
        self.ready[class.index()].insert((*tag, key.clone()));
    }

    /// Removes a key from the ready set of a size class, as its last work of that class is gone.
    pub fn deactivate(&mut self, key: &K, class: SizeClass) {
        let Some(tag) = self.tags.get(key).copied() else { return };
        self.ready[class.index()].remove(&(tag, key.clone()));
        if tag <= self.virtual_now && !self.is_ready(key) {
            self.tags.remove(key);
        }
    }

    /// Returns the ready key with the smallest tag for a size class.
    #[must_use]
    pub fn first(&self, class: SizeClass) -> Option<&K> {
        self.ready[class.index()].first().map(|(_, key)| key)
    }

    /// Advances the virtual time to a key's tag and charges the key for a dequeued request.
    pub fn charge(&mut self, key: &K, amount: f64) {
        if let Some(tag) = self.tags.get(key) {
            self.virtual_now = self.virtual_now.max(*tag);
        }
        self.correct(key, amount);
    }

    /// Adds an amount to a key's tag; a negative amount is a refund, down to a tag of zero.
    pub fn correct(&mut self, key: &K, amount: f64) {
        let virtual_now = self.virtual_now;
        let old = *self.tags.entry(key.clone()).or_insert(virtual_now);
        let new = VirtualTime((old.0 + amount).max(0.0));
        for ready in &mut self.ready {
            if ready.remove(&(old, key.clone())) {
                ready.insert((new, key.clone()));
            }
        }
        self.tags.insert(key.clone(), new);
        if new <= virtual_now && !self.is_ready(key) {
            self.tags.remove(key);
        }
    }

    fn is_ready(&self, key: &K) -> bool {
        let Some(tag) = self.tags.get(key) else { return false };
        self.ready.iter().any(|ready| ready.contains(&(*tag, key.clone())))
    }
}
