use super::*;

/// Orders the readings of the membership list; the greater of two prevails.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ListStamp {
    /// Raised by each reader that finds the list changed.
    pub epoch: u64,
    /// The hash of the list.
    pub digest: u64,
}

/// The membership list as the entry VMs pass it on.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    stamp: ListStamp,
    list: MembershipList,
}

/// What changed between two readings of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDelta {
    /// The reading that the change starts from; all entries are given if none.
    pub base: Option<ListStamp>,
    /// The reading that it leads to.
    pub stamp: ListStamp,
    /// The entry VMs that are new or changed.
    pub vms: Vec<VmMember>,
    /// The backend servers that are new or changed.
    pub servers: Vec<ServerMember>,
    /// The entry VMs that are gone.
    pub vms_gone: Vec<VmId>,
    /// The backend servers that are gone.
    pub servers_gone: Vec<ServerId>,
}

impl MemberView {
    /// Returns what identifies the reading.
    #[must_use]
    pub const fn stamp(&self) -> ListStamp {
        self.stamp
    }

    /// Returns the list.
    #[must_use]
    pub const fn list(&self) -> &MembershipList {
        &self.list
    }

    /// Takes in a reading of one's own and returns what changed, if anything has.
    pub fn read(&mut self, mut list: MembershipList) -> Option<MemberDelta> {
        sort(&mut list);
        if list == self.list && self.stamp.epoch > 0 {
            return None;
        }
        let stamp = ListStamp { epoch: self.stamp.epoch + 1, digest: hash(&list) };
        let delta = self.delta_to(&list, stamp);
        self.list = list;
        self.stamp = stamp;
        Some(delta)
    }

    /// Returns the whole list as a change.
    #[must_use]
    pub fn whole(&self) -> MemberDelta {
        MemberDelta {
            base: None,
            stamp: self.stamp,
            vms: self.list.entry_vms.clone(),
            servers: self.list.backend_servers.clone(),
            vms_gone: Vec::new(),
            servers_gone: Vec::new(),
        }
    }

    /// Takes in a peer's change, and returns whether the list changed.
    ///
    /// A change that starts from another reading than the one known here is not taken in.
    pub fn apply(&mut self, delta: &MemberDelta) -> bool {
        let fits = delta.base.is_none_or(|base| base == self.stamp);
        if delta.stamp <= self.stamp || !fits {
            return false;
        }
        let (mut vms, mut servers) = match delta.base {
            None => (BTreeMap::new(), BTreeMap::new()),
            Some(_) => (by_vm(&self.list.entry_vms), by_server(&self.list.backend_servers)),
        };
        vms.extend(by_vm(&delta.vms));
        servers.extend(by_server(&delta.servers));
        let mut list = MembershipList {
            entry_vms: vms.into_values().collect(),
            backend_servers: servers.into_values().collect(),
        };
        list.entry_vms.retain(|member| !delta.vms_gone.contains(&member.id));
        list.backend_servers.retain(|member| !delta.servers_gone.contains(&member.id));
        self.list = list;
        self.stamp = delta.stamp;
        true
    }

    fn delta_to(&self, list: &MembershipList, stamp: ListStamp) -> MemberDelta {
        let vms = by_vm(&self.list.entry_vms);
        let servers = by_server(&self.list.backend_servers);
        let new_vms = by_vm(&list.entry_vms);
        let new_servers = by_server(&list.backend_servers);
        MemberDelta {
            base: Some(self.stamp),
            stamp,
            vms: changed(&vms, &new_vms),
            servers: changed(&servers, &new_servers),
            vms_gone: gone(&vms, &new_vms),
            servers_gone: gone(&servers, &new_servers),
        }
    }
}

fn sort(list: &mut MembershipList) {
    list.entry_vms.sort_by(|a, b| a.id.cmp(&b.id));
    list.backend_servers.sort_by(|a, b| a.id.cmp(&b.id));
}

fn hash(list: &MembershipList) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&serde_json::to_vec(list).unwrap_or_default())
}

fn by_vm(members: &[VmMember]) -> BTreeMap<VmId, VmMember> {
    members.iter().map(|member| (member.id.clone(), member.clone())).collect()
}

fn by_server(members: &[ServerMember]) -> BTreeMap<ServerId, ServerMember> {
    members.iter().map(|member| (member.id.clone(), member.clone())).collect()
}

fn changed<I: Ord, T: Clone + PartialEq>(old: &BTreeMap<I, T>, new: &BTreeMap<I, T>) -> Vec<T> {
    let differs = |(id, member): &(&I, &T)| old.get(*id) != Some(*member);
    new.iter().filter(differs).map(|(_, member)| member.clone()).collect()
}

fn gone<I: Ord + Clone, T>(old: &BTreeMap<I, T>, new: &BTreeMap<I, T>) -> Vec<I> {
    old.keys().filter(|id| !new.contains_key(*id)).cloned().collect()
}
