use super::*;

/// The other entry VMs that this one knows.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<VmId, PeerState>,
}

impl PeerTable {
    /// The time without a message after which a peer counts as out of reach.
    pub const REACH_MS: u64 = 3_000;

    /// Takes in the membership list.
    pub fn update(&mut self, own: &VmId, members: &[VmMember]) {
        let listed: BTreeSet<&VmId> = members.iter().map(|member| &member.id).collect();
        self.peers.retain(|vm, _| listed.contains(vm));
        for member in members.iter().filter(|member| member.id != *own) {
            let peer = self.peers.entry(member.id.clone()).or_insert_with(|| PeerState {
                vm: member.id.clone(),
                incarnation: None,
                address: member.address,
                data_centre: member.data_centre.clone(),
                member: member.state,
                heard: None,
                revision: Revision(0),
            });
            peer.address = member.address;
            peer.member = member.state;
        }
    }

    /// Notes a message of a peer.
    pub fn heard(&mut self, now: Millis, from: &PeerName) {
        if let Some(peer) = self.peers.get_mut(&from.vm) {
            peer.heard = Some(now);
            peer.incarnation = peer.incarnation.max(Some(from.incarnation));
        }
    }

    /// Notes the revision in force at a peer.
    pub fn note_revision(&mut self, from: &PeerName, revision: Revision) {
        if let Some(peer) = self.peers.get_mut(&from.vm) {
            peer.revision = peer.revision.max(revision);
        }
    }

    /// Returns a peer.
    #[must_use]
    pub fn get(&self, vm: &VmId) -> Option<&PeerState> {
        self.peers.get(vm)
    }

    /// Returns all peers, sorted.
    pub fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Returns the peers that have been heard of late, sorted.
    pub fn in_reach(&self, now: Millis) -> impl Iterator<Item = &PeerState> {
        self.peers.values().filter(move |peer| {
            peer.heard.is_some_and(|heard| now.since(heard) <= Millis(Self::REACH_MS))
        })
    }
}
