use super::*;

/// The holder's side of draining versions on servers of one pool.
#[derive(Clone, Debug, Default)]
pub struct DrainProgress {
    since: BTreeMap<ServerVersion, Millis>,
    peers: BTreeMap<VmId, PeerDrain>,
}

#[derive(Clone, Debug, Default)]
struct PeerDrain {
    noticed: Option<Millis>,
    reported: Option<Millis>,
    idle: BTreeSet<ServerVersion>,
}

impl DrainProgress {
    /// The time for which a peer's word that nothing runs is relied on.
    const REPORT_LIFE_MS: u64 = 10_000;
    const NOTICE_INTERVAL_MS: u64 = 2_000;
    const NOTICE_REFRESH_MS: u64 = 8_000;
    /// The notices that are sent in one round.
    const NOTICES_PER_ROUND: usize = 50;
    /// The time after which an idle server stands in for peers out of reach.
    const UNREACHED_MS: u64 = 60_000;

    /// Sets what is to be drained; what is no longer named is forgotten.
    pub fn set(&mut self, now: Millis, places: &BTreeSet<ServerVersion>) {
        self.since.retain(|place, _| places.contains(place));
        for place in places {
            if !self.since.contains_key(place) {
                self.since.insert(place.clone(), now);
                self.peers.clear();
            }
        }
    }

    /// Returns what is being drained.
    pub fn places(&self) -> impl Iterator<Item = &ServerVersion> {
        self.since.keys()
    }

    /// Takes in a peer's report of what still runs.
    pub fn report(&mut self, now: Millis, vm: &VmId, runs: &[VersionRuns]) {
        let peer = self.peers.entry(vm.clone()).or_default();
        peer.reported = Some(now);
        let idle = runs.iter().filter(|entry| entry.runs == 0);
        peer.idle = idle.map(|entry| entry.place.clone()).collect();
    }

    /// Returns the peers to notify now.
    pub fn notices(&mut self, now: Millis, peers: &[VmId]) -> Vec<VmId> {
        if self.since.is_empty() {
            return Vec::new();
        }
        let mut notices = Vec::new();
        for vm in peers {
            let peer = self.peers.entry(vm.clone()).or_default();
            let idle = self.since.keys().all(|place| peer.idle.contains(place));
            let interval = if idle { Self::NOTICE_REFRESH_MS } else { Self::NOTICE_INTERVAL_MS };
            let due = peer.noticed.is_none_or(|at| now.since(at).0 >= interval);
            if due && notices.len() < Self::NOTICES_PER_ROUND {
                peer.noticed = Some(now);
                notices.push(vm.clone());
            }
        }
        notices
    }

    /// Returns whether nothing runs on a drained place any more.
    #[must_use]
    pub fn is_idle(&self, now: Millis, place: &ServerVersion, scene: &PoolScene<'_>) -> bool {
        let Some(since) = self.since.get(place) else { return false };
        if scene.runs.get(place).copied().unwrap_or(0) > 0 {
            return false;
        }
        let waited = now.since(*since).0 >= Self::UNREACHED_MS;
        let server_idle = scene.is_idle(&place.server);
        scene.peers.iter().all(|vm| {
            let idle = self.peers.get(vm).is_some_and(|peer| {
                let fresh = |at: Millis| now.since(at).0 < Self::REPORT_LIFE_MS;
                peer.reported.is_some_and(fresh) && peer.idle.contains(place)
            });
            idle || (waited && server_idle && !scene.in_reach.contains(vm))
        })
    }
}
