use super::*;

/// The requests in flight from another entry VM, by its last report.
#[derive(Clone, Debug)]
pub(super) struct PeerInFlight {
    incarnation: Incarnation,
    sequence: u64,
    received_at: Millis,
    in_flight: BTreeMap<ServerId, u32>,
}

impl PeerInFlight {
    pub(super) fn count_on(&self, id: &ServerId) -> u32 {
        self.in_flight.get(id).copied().unwrap_or(0)
    }
}

impl ServerTable {
    const PEER_REPORT_TIMEOUT_MS: u64 = 3_000;

    /// Returns this VM's number of in-flight requests per server, to be reported to the other entry
    /// VMs. Idle servers are left out.
    #[must_use]
    pub fn own_in_flight(&self) -> BTreeMap<ServerId, u32> {
        let busy = self.servers.values().filter(|server| server.in_flight() > 0);
        busy.map(|server| (server.id.clone(), server.in_flight())).collect()
    }

    /// Stores the in-flight requests that another entry VM reported. A report that is not newer
    /// than the stored one is ignored.
    pub fn merge_peer_in_flight(
        &mut self,
        now: Millis,
        origin: &PeerName,
        sequence: u64,
        in_flight: &BTreeMap<ServerId, u32>,
    ) {
        let previous = self.peer_in_flight.get(&origin.vm);
        if previous.is_some_and(|previous| {
            (previous.incarnation, previous.sequence) >= (origin.incarnation, sequence)
        }) {
            return;
        }
        let incarnation = origin.incarnation;
        let share =
            PeerInFlight { incarnation, sequence, received_at: now, in_flight: in_flight.clone() };
        let before = self.peer_in_flight.insert(origin.vm.clone(), share);
        let before = before.map(|share| share.in_flight).unwrap_or_default();
        self.update_peer_counts(now, &before, in_flight);
    }

    pub(super) fn drop_timed_out_peers(&mut self, now: Millis) {
        let is_timed_out = |share: &PeerInFlight| {
            now.since(share.received_at) > Millis(Self::PEER_REPORT_TIMEOUT_MS)
        };
        let timed_out: Vec<VmId> = self
            .peer_in_flight
            .iter()
            .filter(|(_, share)| is_timed_out(share))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in timed_out {
            if let Some(share) = self.peer_in_flight.remove(&vm) {
                self.update_peer_counts(now, &share.in_flight, &BTreeMap::new());
            }
        }
    }

    fn update_peer_counts(
        &mut self,
        now: Millis,
        before: &BTreeMap<ServerId, u32>,
        after: &BTreeMap<ServerId, u32>,
    ) {
        let ids: BTreeSet<ServerId> = before.keys().chain(after.keys()).cloned().collect();
        for id in ids {
            let (old, new) = (before.get(&id).copied(), after.get(&id).copied());
            if old == new {
                continue;
            }
            if let Some(server) = self.servers.get_mut(&id) {
                server.peer_requests =
                    server.peer_requests.saturating_sub(old.unwrap_or(0)) + new.unwrap_or(0);
            }
            self.reindex(now, &id);
        }
    }
}
