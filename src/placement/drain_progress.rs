use super::*;

/// Tracks, at the holder of a pool's lease, which versions are being drained on which servers, and
/// which entry VMs have reported that they run nothing there any more.
#[derive(Clone, Debug, Default)]
pub struct DrainProgress {
    since: BTreeMap<ServerVersion, Millis>,
    peers: BTreeMap<VmId, PeerDrain>,
}

#[derive(Clone, Debug, Default)]
struct PeerDrain {
    notified_at: Option<Millis>,
    reported_at: Option<Millis>,
    idle: BTreeSet<ServerVersion>,
}

impl DrainProgress {
    /// The time for which a peer's report that nothing runs is valid.
    const REPORT_EXPIRY_MS: u64 = 10_000;
    const NOTICE_INTERVAL_MS: u64 = 2_000;
    const NOTICE_REFRESH_MS: u64 = 8_000;
    /// The maximum number of peers to notify in one round.
    const MAX_NOTICES_PER_ROUND: usize = 50;
    /// The time after which peers out of reach are not waited for, if the server reports that it is
    /// idle.
    const UNREACHABLE_WAIT_MS: u64 = 60_000;

    /// Sets which versions are to be drained on which servers; draining ends for all others. If
    /// there are new ones, all peers are notified again and have to report again.
    pub fn set(&mut self, now: Millis, places: &BTreeSet<ServerVersion>) {
        self.since.retain(|place, _| places.contains(place));
        for place in places {
            if !self.since.contains_key(place) {
                self.since.insert(place.clone(), now);
                self.peers.clear();
            }
        }
    }

    /// Returns the versions that are being drained, with their servers.
    pub fn places(&self) -> impl Iterator<Item = &ServerVersion> {
        self.since.keys()
    }

    /// Records a peer's report of the requests that it still runs on drained versions.
    pub fn report(&mut self, now: Millis, vm: &VmId, runs: &[VersionRuns]) {
        let peer = self.peers.entry(vm.clone()).or_default();
        peer.reported_at = Some(now);
        let idle = runs.iter().filter(|entry| entry.runs == 0);
        peer.idle = idle.map(|entry| entry.place.clone()).collect();
    }

    /// Returns the peers that are due for a notice, and marks them as notified.
    pub fn notices(&mut self, now: Millis, peers: &[VmId]) -> Vec<VmId> {
        if self.since.is_empty() {
            return Vec::new();
        }
        let mut notices = Vec::new();
        for vm in peers {
            let peer = self.peers.entry(vm.clone()).or_default();
            let idle = self.since.keys().all(|place| peer.idle.contains(place));
            let interval = if idle { Self::NOTICE_REFRESH_MS } else { Self::NOTICE_INTERVAL_MS };
            let due = peer.notified_at.is_none_or(|at| now.since(at).0 >= interval);
            if due && notices.len() < Self::MAX_NOTICES_PER_ROUND {
                peer.notified_at = Some(now);
                notices.push(vm.clone());
            }
        }
        notices
    }

    /// Returns whether no entry VM runs requests on a drained version any more, so that it can be
    /// unloaded.
    #[must_use]
    pub fn is_idle(&self, now: Millis, place: &ServerVersion, context: &PoolContext<'_>) -> bool {
        let Some(since) = self.since.get(place) else { return false };
        if context.runs.get(place).copied().unwrap_or(0) > 0 {
            return false;
        }
        let has_waited = now.since(*since).0 >= Self::UNREACHABLE_WAIT_MS;
        let server_idle = context.is_idle(&place.server);
        context.peers.iter().all(|vm| {
            let idle = self.peers.get(vm).is_some_and(|peer| {
                let fresh = |at: Millis| now.since(at).0 < Self::REPORT_EXPIRY_MS;
                peer.reported_at.is_some_and(fresh) && peer.idle.contains(place)
            });
            idle || (has_waited && server_idle && !context.in_reach.contains(vm))
        })
    }
}
