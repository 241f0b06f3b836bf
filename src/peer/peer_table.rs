use super::*;

/// The other entry VMs that this one knows.
///
/// A peer is in reach until exchanges with it stay without a reply: direct evidence goes before the
/// membership list, which lags. The list decides only about peers that were never heard.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<VmId, PeerState>,
}

impl PeerTable {
    /// The time without a message after which a peer that is not listed is forgotten.
    pub const FORGET_MS: u64 = 30_000;

    /// Takes in the membership list.
    pub fn update(&mut self, now: Millis, own: &VmId, members: &[VmMember]) {
        let listed: BTreeSet<&VmId> = members.iter().map(|member| &member.id).collect();
        for peer in self.peers.values_mut() {
            peer.listed = listed.contains(&peer.vm);
        }
        for member in members.iter().filter(|member| member.id != *own) {
            let peer =
                self.peers.entry(member.id.clone()).or_insert_with(|| PeerState::new(member, true));
            if peer.address != member.address {
                peer.misses = 0;
                peer.probe = None;
            }
            peer.address = member.address;
            peer.data_centre = member.data_centre.clone();
            peer.member = member.state;
        }
        self.forget(now);
    }

    /// Drops peers that are neither listed nor heard of late.
    pub fn forget(&mut self, now: Millis) {
        self.peers.retain(|_, peer| {
            let lately = |heard: Millis| now.since(heard) <= Millis(Self::FORGET_MS);
            peer.listed || (peer.is_in_reach() && peer.heard.is_some_and(lately))
        });
    }

    /// Notes a message of a peer and returns whether it counts: not from an older incarnation.
    pub fn heard(&mut self, now: Millis, from: &PeerName) -> bool {
        let Some(peer) = self.peers.get_mut(&from.vm) else { return true };
        if peer.incarnation.is_some_and(|known| from.incarnation < known) {
            return false;
        }
        if peer.incarnation.is_some_and(|known| from.incarnation > known) {
            peer.revision = Revision(0);
            peer.probe = None;
        }
        peer.incarnation = Some(from.incarnation);
        peer.heard = Some(now);
        peer.misses = 0;
        true
    }

    /// Takes in what a peer says of itself; the list may not have it yet.
    pub fn introduce(&mut self, own: &VmId, member: &VmMember) {
        if member.id == *own {
            return;
        }
        let peer =
            self.peers.entry(member.id.clone()).or_insert_with(|| PeerState::new(member, false));
        peer.address = member.address;
        peer.data_centre = member.data_centre.clone();
        if member.state == MemberState::Leaving {
            peer.member = MemberState::Leaving;
        }
    }

    /// Notes the revision in force at a peer.
    pub fn note_revision(&mut self, from: &PeerName, revision: Revision) {
        if let Some(peer) = self.peers.get_mut(&from.vm) {
            peer.revision = peer.revision.max(revision);
        }
    }

    /// Notes that an exchange was sent.
    pub fn probed(&mut self, now: Millis, vm: &VmId, sequence: u64) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.probe = Some((sequence, now));
        }
    }

    /// Notes that a message could not be delivered, and returns whether that puts the peer out of
    /// reach.
    pub fn missed(&mut self, vm: &VmId) -> bool {
        let Some(peer) = self.peers.get_mut(vm) else { return false };
        peer.probe = None;
        peer.misses = peer.misses.saturating_add(1);
        peer.misses == PeerState::MAX_MISSES
    }

    /// Returns the peers whose reply has been awaited too long.
    #[must_use]
    pub fn overdue(&self, now: Millis, timeout: Millis) -> Vec<VmId> {
        let late = |peer: &&PeerState| {
            peer.probe.is_some_and(|(_, sent)| {
                now.since(sent) > timeout && peer.heard.is_none_or(|heard| heard < sent)
            })
        };
        self.peers.values().filter(late).map(|peer| peer.vm.clone()).collect()
    }

    /// Forgets the exchanges under way without counting them as missed.
    pub fn excuse(&mut self) {
        for peer in self.peers.values_mut() {
            peer.probe = None;
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

    /// Returns the peers that nothing shows to be out of reach, sorted.
    pub fn in_reach(&self, _now: Millis) -> impl Iterator<Item = &PeerState> {
        self.peers.values().filter(|peer| peer.is_in_reach())
    }

    /// Returns the VMs that may serve, this one included, best first for a key.
    #[must_use]
    pub fn ranked(&self, own: &VmId, key: &str) -> Vec<VmId> {
        let peers = self.peers.values().filter(|peer| peer.may_serve());
        rank_vms(key, peers.map(|peer| &peer.vm).chain([own]))
    }

    /// Returns the VMs of a data centre that may serve, this one included, best first for a key.
    #[must_use]
    pub fn ranked_in(&self, own: &VmIdentity, centre: &DataCentreId, key: &str) -> Vec<VmId> {
        let peers = self.peers.values().filter(|peer| peer.may_serve());
        let peers = peers.filter(|peer| peer.data_centre == *centre).map(|peer| &peer.vm);
        let own = (own.data_centre == *centre).then_some(&own.vm);
        rank_vms(key, peers.chain(own))
    }
}
