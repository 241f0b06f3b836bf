use super::*;

/// The servers of one pool, ordered by load.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolServers {
    pub(super) members: BTreeSet<ServerId>,
    /// Servers that take work as usual: by load, tie and id.
    by_load: BTreeSet<(u32, u32, ServerId)>,
    /// The same servers by long requests, load and id.
    by_long: BTreeSet<(u32, u32, ServerId)>,
    /// Servers that get probes only.
    pub(super) set_aside: BTreeSet<ServerId>,
    /// The long requests that run on the members.
    pub(super) long_running: u32,
    pub(super) engine_queue: u32,
    pub(super) median_pace: f64,
    pub(super) median_until: Millis,
    ring: Vec<(u64, ServerId)>,
}

impl PoolServers {
    const RING_POINTS: u64 = 16;
    /// The largest share of a pool that may be set aside for its pace.
    pub(super) const SET_ASIDE_SHARE: f64 = 0.3;

    pub(super) fn rebuild_ring(&mut self) {
        self.ring.clear();
        for id in &self.members {
            for point in 0..Self::RING_POINTS {
                let hash = xxhash_rust::xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), point);
                self.ring.push((hash, id.clone()));
            }
        }
        self.ring.sort_unstable();
    }

    /// Returns the server whose cache requests with a prefix should share.
    pub(super) fn home(&self, prefix: u64) -> Option<&ServerId> {
        let place = self.ring.partition_point(|(hash, _)| *hash < prefix);
        self.ring.get(place).or(self.ring.first()).map(|(_, id)| id)
    }

    /// Returns whether one more server may be set aside.
    pub(super) fn may_set_aside(&self) -> bool {
        let most = (self.members.len() as f64 * Self::SET_ASIDE_SHARE) as usize;
        self.set_aside.len() < most
    }

    pub(super) fn enter(&mut self, server: &ServerState, load: u32) {
        self.by_load.insert((load, server.tie, server.id.clone()));
        self.by_long.insert((server.long, load, server.id.clone()));
    }

    pub(super) fn leave(&mut self, server: &ServerState, load: u32, long: u32) {
        self.by_load.remove(&(load, server.tie, server.id.clone()));
        self.by_long.remove(&(long, load, server.id.clone()));
    }

    /// Returns the least load of a regular server.
    pub(super) fn least_load(&self) -> Option<u32> {
        self.by_load.first().map(|(load, _, _)| *load)
    }

    /// Returns the least number of long requests on a regular server.
    pub(super) fn least_long(&self) -> Option<u32> {
        self.by_long.first().map(|(long, _, _)| *long)
    }

    pub(super) fn in_order(&self, class: SizeClass) -> impl Iterator<Item = &ServerId> {
        let short =
            self.by_load.iter().take(if class == SizeClass::Short { usize::MAX } else { 0 });
        let long = self.by_long.iter().take(if class == SizeClass::Long { usize::MAX } else { 0 });
        short.chain(long).map(|(_, _, id)| id)
    }
}
