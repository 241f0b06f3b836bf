use super::*;

/// The servers of one pool, ordered by load.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolServers {
    pub(super) members: BTreeSet<ServerId>,
    /// The servers in regular rotation, ordered by load, tie-breaker and id.
    by_load: BTreeSet<(u32, u32, ServerId)>,
    /// The same servers, ordered by number of long requests, load and id.
    by_long: BTreeSet<(u32, u32, ServerId)>,
    /// Slow servers, which only receive probe requests.
    pub(super) ejected: BTreeSet<ServerId>,
    /// The number of this VM's long requests that are running on the pool.
    pub(super) long_running: u32,
    pub(super) engine_queue: u32,
    pub(super) median_log_ratio: f64,
    pub(super) median_expires: Millis,
    hash_ring: Vec<(u64, ServerId)>,
}

impl PoolServers {
    const RING_POINTS: u64 = 16;
    /// The maximum share of a pool's servers that may be ejected for being slow.
    pub(super) const MAX_EJECTED_SHARE: f64 = 0.3;

    pub(super) fn rebuild_ring(&mut self) {
        self.hash_ring.clear();
        for id in &self.members {
            for point in 0..Self::RING_POINTS {
                let hash = xxhash_rust::xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), point);
                self.hash_ring.push((hash, id.clone()));
            }
        }
        self.hash_ring.sort_unstable();
    }

    /// Returns the server that requests with a prompt prefix prefer, so that they share its prefix
    /// cache (consistent hashing).
    pub(super) fn prefix_server(&self, prefix: u64) -> Option<&ServerId> {
        let index = self.hash_ring.partition_point(|(hash, _)| *hash < prefix);
        self.hash_ring.get(index).or(self.hash_ring.first()).map(|(_, id)| id)
    }

    /// Returns whether one more server may be ejected for being slow.
    pub(super) fn may_eject(&self) -> bool {
        let max_ejected = (self.members.len() as f64 * Self::MAX_EJECTED_SHARE) as usize;
        self.ejected.len() < max_ejected
    }

    pub(super) fn add_to_rotation(&mut self, server: &ServerState, load: u32) {
        self.by_load.insert((load, server.tie_breaker, server.id.clone()));
        self.by_long.insert((server.long, load, server.id.clone()));
    }

    pub(super) fn remove_from_rotation(&mut self, server: &ServerState, load: u32, long: u32) {
        self.by_load.remove(&(load, server.tie_breaker, server.id.clone()));
        self.by_long.remove(&(long, load, server.id.clone()));
    }

    /// Returns the load of the least loaded server in rotation.
    pub(super) fn min_load(&self) -> Option<u32> {
        self.by_load.first().map(|(load, _, _)| *load)
    }

    /// Returns the smallest number of long requests on any server in rotation.
    pub(super) fn min_long(&self) -> Option<u32> {
        self.by_long.first().map(|(long, _, _)| *long)
    }

    pub(super) fn in_load_order(&self, class: SizeClass) -> impl Iterator<Item = &ServerId> {
        let short =
            self.by_load.iter().take(if class == SizeClass::Short { usize::MAX } else { 0 });
        let long = self.by_long.iter().take(if class == SizeClass::Long { usize::MAX } else { 0 });
        short.chain(long).map(|(_, _, id)| id)
    }
}
