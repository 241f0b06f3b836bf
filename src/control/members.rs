use super::*;

/// The time between two readings of the membership list by all VMs in reach together.
const LIST_INTERVAL_MS: u64 = 500;
/// The time from the first reading by a VM to its second.
const LIST_SECOND_MS: u64 = 1_000;
/// The time within which the whole list is not fetched again.
const LIST_FETCH_MS: u64 = 1_000;
/// The key of the turns in which VMs read the list.
const LIST_DUTY: &str = "members";

impl Control {
    /// Sets when this VM reads the membership list again.
    ///
    /// All VMs in reach take turns: the first time by rank, so that VMs that were started together
    /// do not go on reading together, and later with some variation.
    pub(super) fn schedule_list(&mut self, now: Millis) {
        let ranked = self.peers.ranked(&self.identity.vm, LIST_DUTY);
        let rank = ranked.iter().position(|vm| *vm == self.identity.vm).unwrap_or(0) as u64;
        let all = LIST_INTERVAL_MS * ranked.len() as u64;
        self.cluster.list_reads += 1;
        self.cluster.list_read_at = now;
        let interval = match self.cluster.list_reads {
            1 => LIST_SECOND_MS,
            2 => LIST_INTERVAL_MS * (rank + 1),
            turn => {
                let name = self.identity.vm.as_str().as_bytes();
                let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name, turn);
                all * 7 / 8 + hash % (all / 4).max(1)
            }
        };
        self.list_again = Some(now + Millis(interval));
    }

    /// Reads the list earlier if fewer VMs are in reach now than when the turn was set.
    pub(super) fn hasten_list(&mut self) {
        let sharers = self.peers.iter().filter(|peer| peer.may_serve()).count() as u64 + 1;
        let all = LIST_INTERVAL_MS * sharers;
        let latest = self.cluster.list_read_at + Millis(all + all / 4);
        self.list_again = self.list_again.map(|at| at.min(latest));
    }

    /// Puts the list in force that this VM has read or learned.
    pub(super) fn apply_members(&mut self, now: Millis) {
        let list = self.cluster.members.list();
        self.servers.update(now, &list.backend_servers);
        self.peers.update(now, &self.identity.vm, &list.entry_vms);
        self.cluster.servers = self
            .servers
            .iter()
            .map(|server| (ServerLoad::hash(&server.id), server.id.clone()))
            .collect();
        let servers = &self.servers;
        self.cluster.own_loads.retain(|server, _| servers.get(server).is_some());
        self.dispatch_all(now);
    }

    /// Takes in a peer's change of the list and passes it on.
    pub(super) fn on_members(&mut self, now: Millis, from: &PeerName, delta: &MemberDelta) {
        if self.cluster.members.apply(delta) {
            self.apply_members(now);
            if delta.base.is_some() {
                self.spread(&PeerMessage::Members(delta.clone()));
            }
        } else {
            self.want_members(now, &from.vm, delta.stamp);
        }
    }

    /// Fetches the whole list from a peer that has a later one.
    pub(super) fn want_members(&mut self, now: Millis, holder: &VmId, stamp: ListStamp) {
        let lately = |at: Millis| now.since(at) < Millis(LIST_FETCH_MS);
        if stamp <= self.cluster.members.stamp() || self.cluster.members_fetched.is_some_and(lately)
        {
            return;
        }
        self.cluster.members_fetched = Some(now);
        self.send(holder, PeerMessage::FetchMembers);
    }

    /// Reads the load reports of the servers that fall to this VM in its data centre, and of data
    /// centres without an entry VM in reach.
    pub(super) fn read_loads(&mut self, now: Millis) {
        let mut vms: BTreeMap<&DataCentreId, Vec<&VmId>> = BTreeMap::new();
        for peer in self.peers.iter().filter(|peer| peer.may_serve()) {
            vms.entry(&peer.data_centre).or_default().push(&peer.vm);
        }
        vms.entry(&self.identity.data_centre).or_default().push(&self.identity.vm);
        let all: Vec<&VmId> = vms.values().flatten().copied().collect();
        let mut mine = Vec::new();
        for server in self.servers.iter() {
            let sharers = vms.get(&server.data_centre).unwrap_or(&all);
            let reader = first_vm(server.id.as_str(), sharers.iter().copied());
            if reader == Some(&self.identity.vm) {
                mine.push((server.id.clone(), server.address));
            }
        }
        self.cluster.own_loads.retain(|id, _| mine.iter().any(|(mine, _)| mine == id));
        mine.extend(self.placement_loads(now, &mine));
        for (server, address) in mine {
            self.emit(Command::ReadLoad { server, address });
        }
    }
}
