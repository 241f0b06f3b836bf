use super::*;

/// What another entry VM has running.
#[derive(Clone, Debug)]
pub(super) struct PeerShare {
    incarnation: Incarnation,
    sequence: u64,
    heard: Millis,
    in_flight: BTreeMap<ServerId, u32>,
}

impl PeerShare {
    pub(super) fn on(&self, id: &ServerId) -> u32 {
        self.in_flight.get(id).copied().unwrap_or(0)
    }
}

impl ServerTable {
    const FORGET_PEER_AFTER_MS: u64 = 3_000;

    /// Returns what runs here, by server, for the other entry VMs.
    #[must_use]
    pub fn own_shares(&self) -> BTreeMap<ServerId, u32> {
        let busy = self.servers.values().filter(|server| server.in_flight() > 0);
        busy.map(|server| (server.id.clone(), server.in_flight())).collect()
    }

    /// Takes in what runs at another entry VM; old news change nothing.
    pub fn merge_shares(
        &mut self,
        now: Millis,
        origin: &PeerName,
        sequence: u64,
        in_flight: &BTreeMap<ServerId, u32>,
    ) {
        let known = self.peer_shares.get(&origin.vm);
        if known.is_some_and(|known| {
            (known.incarnation, known.sequence) >= (origin.incarnation, sequence)
        }) {
            return;
        }
        let incarnation = origin.incarnation;
        let share = PeerShare { incarnation, sequence, heard: now, in_flight: in_flight.clone() };
        let before = self.peer_shares.insert(origin.vm.clone(), share);
        let before = before.map(|share| share.in_flight).unwrap_or_default();
        self.replace_share(now, &before, in_flight);
    }

    pub(super) fn forget_silent_peers(&mut self, now: Millis) {
        let silent =
            |share: &PeerShare| now.since(share.heard) > Millis(Self::FORGET_PEER_AFTER_MS);
        let gone: Vec<VmId> = self
            .peer_shares
            .iter()
            .filter(|(_, share)| silent(share))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in gone {
            if let Some(share) = self.peer_shares.remove(&vm) {
                self.replace_share(now, &share.in_flight, &BTreeMap::new());
            }
        }
    }

    fn replace_share(
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
                server.peers = server.peers.saturating_sub(old.unwrap_or(0)) + new.unwrap_or(0);
            }
            self.rank(now, &id);
        }
    }
}
