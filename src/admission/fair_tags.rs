use super::*;

/// A virtual time with a total order.
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

/// Start-time fair queueing over keys, with one ready set per size class.
///
/// A key's tag rises by cost over weight with each request that leaves. The ready key with the
/// least tag goes next. A key that comes back from idling starts at the current virtual time, so
/// idling saves nothing up.
#[derive(Clone, Debug)]
pub struct FairTags<K> {
    tags: BTreeMap<K, VirtualTime>,
    ready: [BTreeSet<(VirtualTime, K)>; SizeClass::COUNT],
    now: VirtualTime,
}

impl<K> Default for FairTags<K> {
    fn default() -> Self {
        Self { tags: BTreeMap::new(), ready: Default::default(), now: VirtualTime(0.0) }
    }
}

impl<K: Ord + Clone> FairTags<K> {
    /// Notes that a key has work of a class.
    pub fn activate(&mut self, key: &K, class: SizeClass) {
        let idle = !self.is_ready(key);
        let now = self.now;
        let tag = self.tags.entry(key.clone()).or_insert(now);
        if idle {
            *tag = (*tag).max(now);
        }
        self.ready[class.index()].insert((*tag, key.clone()));
    }

    /// Notes that a key has no more work of a class.
    pub fn deactivate(&mut self, key: &K, class: SizeClass) {
        let Some(tag) = self.tags.get(key).copied() else { return };
        self.ready[class.index()].remove(&(tag, key.clone()));
        if tag <= self.now && !self.is_ready(key) {
            self.tags.remove(key);
        }
    }

    /// Returns the key whose turn it is in a class.
    #[must_use]
    pub fn first(&self, class: SizeClass) -> Option<&K> {
        self.ready[class.index()].first().map(|(_, key)| key)
    }

    /// Charges a key for a request that leaves.
    pub fn charge(&mut self, key: &K, amount: f64) {
        if let Some(tag) = self.tags.get(key) {
            self.now = self.now.max(*tag);
        }
        self.correct(key, amount);
    }

    /// Corrects what a key has been charged.
    pub fn correct(&mut self, key: &K, amount: f64) {
        let now = self.now;
        let old = *self.tags.entry(key.clone()).or_insert(now);
        let new = VirtualTime((old.0 + amount).max(0.0));
        for ready in &mut self.ready {
            if ready.remove(&(old, key.clone())) {
                ready.insert((new, key.clone()));
            }
        }
        self.tags.insert(key.clone(), new);
        if new <= now && !self.is_ready(key) {
            self.tags.remove(key);
        }
    }

    fn is_ready(&self, key: &K) -> bool {
        let Some(tag) = self.tags.get(key) else { return false };
        self.ready.iter().any(|ready| ready.contains(&(*tag, key.clone())))
    }
}
