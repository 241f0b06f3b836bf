use super::*;

/// Identifies a revision of the membership list. Of two revisions, the greater one replaces the
/// other.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ListStamp {
    /// Incremented by each VM that reads the list and finds it changed.
    pub epoch: u64,
    /// The hash of the list, which orders different readings with the same epoch.
    pub digest: u64,
}

/// The membership list as it is shared among the entry VMs.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    stamp: ListStamp,
    list: MembershipList,
}

/// The difference between two revisions of the membership list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDelta {
    /// The revision that the difference applies to; if none, it contains the whole list.
    pub base: Option<ListStamp>,
    /// The revision that results.
    pub stamp: ListStamp,
    /// The entry VMs that were added or changed.
    pub vms: Vec<VmMember>,
    /// The backend servers that were added or changed.
    pub servers: Vec<ServerMember>,
    /// The entry VMs that were removed.
    pub vms_gone: Vec<VmId>,
    /// The backend servers that were removed.
    pub servers_gone: Vec<ServerId>,
}

impl MemberView {
    /// Returns the revision of the list.
    #[must_use]
    pub const fn stamp(&self) -> ListStamp {
        self.stamp
    }

    /// Returns the list; empty before the first reading.
    #[must_use]
    pub const fn list(&self) -> &MembershipList {
        &self.list
    }

    /// Updates the list to what this VM read from the platform, and returns the difference if there
    /// is one.
    pub fn update(&mut self, mut list: MembershipList) -> Option<MemberDelta> {
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

    /// Returns a difference that contains the whole list.
    #[must_use]
    pub fn full_delta(&self) -> MemberDelta {
        MemberDelta {
            base: None,
            stamp: self.stamp,
            vms: self.list.entry_vms.clone(),
            servers: self.list.backend_servers.clone(),
            vms_gone: Vec::new(),
            servers_gone: Vec::new(),
        }
    }

    /// Applies a difference from a peer and returns whether the list changed.
    ///
    /// A difference that is not newer, or whose base is not the current revision, is ignored.
    pub fn apply(&mut self, delta: &MemberDelta) -> bool {
        let base_matches = delta.base.is_none_or(|base| base == self.stamp);
        if delta.stamp <= self.stamp || !base_matches {
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
