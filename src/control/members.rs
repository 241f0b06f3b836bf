use super::*;

/// The time between two reads of the membership list, counted over all VMs in reach.
const LIST_INTERVAL_MS: u64 = 500;
/// The time from a VM's first read to its second.
const SECOND_LIST_READ_MS: u64 = 1_000;
/// The time before the whole list is requested from a peer again.
const LIST_FETCH_PAUSE_MS: u64 = 1_000;
/// The rendezvous-hash key that ranks the VMs for reading the list.
const LIST_RANK_KEY: &str = "members";

impl Control {
    /// Schedules this VM's next read of the membership list.
    ///
    /// The VMs in reach share the reads. The third read of a VM follows its rank, so that VMs
    /// started together spread out; later intervals vary by an eighth.
    pub(super) fn schedule_list_read(&mut self, now: Millis) {
        let ranked = self.peers.ranked(&self.identity.vm, LIST_RANK_KEY);
        let rank = ranked.iter().position(|vm| *vm == self.identity.vm).unwrap_or(0) as u64;
        let all = LIST_INTERVAL_MS * ranked.len() as u64;
        self.cluster.list_reads += 1;
        self.cluster.list_read_at = now;
        let interval = match self.cluster.list_reads {
            1 => SECOND_LIST_READ_MS,
            2 => LIST_INTERVAL_MS * (rank + 1),
            read_number => {
                let name = self.identity.vm.as_str().as_bytes();
                let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name, read_number);
                all * 7 / 8 + hash % (all / 4).max(1)
            }
        };
        self.next_list_read = Some(now + Millis(interval));
    }

    /// Moves the next read forward if fewer VMs are in reach now than when it was scheduled.
    pub(super) fn advance_list_read(&mut self) {
        let sharers = self.peers.iter().filter(|peer| peer.may_serve()).count() as u64 + 1;
        let all = LIST_INTERVAL_MS * sharers;
        let latest = self.cluster.list_read_at + Millis(all + all / 4);
        self.next_list_read = self.next_list_read.map(|at| at.min(latest));
    }

    /// Applies the current membership list to the servers and peers.
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

    /// Applies a peer's change of the list and relays it, or requests the whole list if the change
    /// does not fit the one held here.
    pub(super) fn on_members(&mut self, now: Millis, from: &PeerName, delta: &MemberDelta) {
        if self.cluster.members.apply(delta) {
            self.apply_members(now);
            if delta.base.is_some() {
                self.gossip(&PeerMessage::Members(delta.clone()));
            }
        } else {
            self.fetch_members(now, &from.vm, delta.stamp);
        }
    }

    /// Requests the whole list from a peer that has a newer one.
    pub(super) fn fetch_members(&mut self, now: Millis, holder: &VmId, stamp: ListStamp) {
        let recently = |at: Millis| now.since(at) < Millis(LIST_FETCH_PAUSE_MS);
        if stamp <= self.cluster.members.stamp()
            || self.cluster.members_fetched.is_some_and(recently)
        {
            return;
        }
        self.cluster.members_fetched = Some(now);
        self.send(holder, PeerMessage::FetchMembers);
    }

    /// Requests the load reports assigned to this VM: a share of its own data centre's servers, and
    /// of those in data centres without an entry VM in reach.
    pub(super) fn read_loads(&mut self, now: Millis) {
        let mut vms: BTreeMap<&DataCentreId, Vec<&VmId>> = BTreeMap::new();
        for peer in self.peers.iter().filter(|peer| peer.may_serve()) {
            vms.entry(&peer.data_centre).or_default().push(&peer.vm);
        }
        vms.entry(&self.identity.data_centre).or_default().push(&self.identity.vm);
        let all: Vec<&VmId> = vms.values().flatten().copied().collect();
        let mut assigned = Vec::new();
        for server in self.servers.iter() {
            let sharers = vms.get(&server.data_centre).unwrap_or(&all);
            let reader = first_vm(server.id.as_str(), sharers.iter().copied());
            if reader == Some(&self.identity.vm) {
                assigned.push((server.id.clone(), server.address));
            }
        }
        self.cluster.own_loads.retain(|id, _| assigned.iter().any(|(assigned, _)| assigned == id));
        assigned.extend(self.placement_load_reads(now, &assigned));
        for (server, address) in assigned {
            self.emit(Command::ReadLoadReport { server, address });
        }
    }
}
