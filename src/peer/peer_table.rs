use super::*;

/// The other entry VMs that this one knows.
///
/// A peer is in reach until several consecutive exchanges with it fail. The membership list lags
/// behind, so the list does not take a peer out of reach; it only decides which peers stay in the
/// table without being heard.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<VmId, PeerState>,
}

impl PeerTable {
    /// The time without a message after which a peer that is not on the membership list is removed.
    pub const FORGET_MS: u64 = 30_000;

    /// Updates the table from the membership list. A peer whose address changed is considered in
    /// reach again.
    pub fn update(&mut self, now: Millis, own: &VmId, members: &[VmMember]) {
        let listed: BTreeSet<&VmId> = members.iter().map(|member| &member.id).collect();
        for peer in self.peers.values_mut() {
            peer.listed = listed.contains(&peer.vm);
        }
        for member in members.iter().filter(|member| member.id != *own) {
            let peer =
                self.peers.entry(member.id.clone()).or_insert_with(|| PeerState::new(member, true));
            if peer.address != member.address {
                peer.consecutive_failures = 0;
                peer.pending_exchange = None;
            }
            peer.address = member.address;
            peer.data_centre = member.data_centre.clone();
            peer.member = member.state;
        }
        self.forget(now);
    }

    /// Removes peers that are not on the membership list and either out of reach or not heard
    /// recently.
    pub fn forget(&mut self, now: Millis) {
        self.peers.retain(|_, peer| {
            let is_recent = |heard: Millis| now.since(heard) <= Millis(Self::FORGET_MS);
            peer.listed || (peer.is_in_reach() && peer.last_heard.is_some_and(is_recent))
        });
    }

    /// Records that a message of a peer was received. Returns false if the message must be ignored,
    /// because it is from an older incarnation.
    pub fn record_message(&mut self, now: Millis, from: &PeerName) -> bool {
        let Some(peer) = self.peers.get_mut(&from.vm) else { return true };
        if peer.incarnation.is_some_and(|known| from.incarnation < known) {
            return false;
        }
        if peer.incarnation.is_some_and(|known| from.incarnation > known) {
            peer.revision = Revision(0);
            peer.pending_exchange = None;
        }
        peer.incarnation = Some(from.incarnation);
        peer.last_heard = Some(now);
        peer.consecutive_failures = 0;
        true
    }

    /// Adds or updates a peer from what it reports of itself, as it may not be on the membership
    /// list yet. A peer that is leaving stays so.
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

    /// Records the configuration revision in force at a peer; an older one than known is ignored.
    pub fn record_revision(&mut self, from: &PeerName, revision: Revision) {
        if let Some(peer) = self.peers.get_mut(&from.vm) {
            peer.revision = peer.revision.max(revision);
        }
    }

    /// Records that an exchange was sent to a peer.
    pub fn record_exchange(&mut self, now: Millis, vm: &VmId, sequence: u64) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.pending_exchange = Some((sequence, now));
        }
    }

    /// Records that an exchange or message to a peer failed. Returns whether the peer is out of
    /// reach from now on.
    pub fn record_failure(&mut self, vm: &VmId) -> bool {
        let Some(peer) = self.peers.get_mut(vm) else { return false };
        peer.pending_exchange = None;
        peer.consecutive_failures = peer.consecutive_failures.saturating_add(1);
        peer.consecutive_failures == PeerState::MAX_CONSECUTIVE_FAILURES
    }

    /// Returns the peers that sent nothing for `timeout` after an exchange was sent to them.
    #[must_use]
    pub fn overdue_peers(&self, now: Millis, timeout: Millis) -> Vec<VmId> {
        let is_overdue = |peer: &&PeerState| {
            peer.pending_exchange.is_some_and(|(_, sent)| {
                now.since(sent) > timeout && peer.last_heard.is_none_or(|heard| heard < sent)
            })
        };
        self.peers.values().filter(is_overdue).map(|peer| peer.vm.clone()).collect()
    }

    /// Drops the pending exchanges without counting them as failed.
    pub fn clear_pending_exchanges(&mut self) {
        for peer in self.peers.values_mut() {
            peer.pending_exchange = None;
        }
    }

    /// Returns a peer, if it is in the table.
    #[must_use]
    pub fn get(&self, vm: &VmId) -> Option<&PeerState> {
        self.peers.get(vm)
    }

    /// Returns all peers, sorted by VM id.
    pub fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Returns the peers in reach, sorted by VM id.
    pub fn in_reach(&self, _now: Millis) -> impl Iterator<Item = &PeerState> {
        self.peers.values().filter(|peer| peer.is_in_reach())
    }

    /// Returns the VMs that may be given tasks, this one included, by rendezvous rank for a key.
    #[must_use]
    pub fn ranked(&self, own: &VmId, key: &str) -> Vec<VmId> {
        let peers = self.peers.values().filter(|peer| peer.may_serve());
        rank_vms(key, peers.map(|peer| &peer.vm).chain([own]))
    }

    /// Returns the VMs of a data centre that may be given tasks, by rendezvous rank for a key. This
    /// VM is included if it is in that data centre.
    #[must_use]
    pub fn ranked_in(&self, own: &VmIdentity, centre: &DataCentreId, key: &str) -> Vec<VmId> {
        let peers = self.peers.values().filter(|peer| peer.may_serve());
        let peers = peers.filter(|peer| peer.data_centre == *centre).map(|peer| &peer.vm);
        let own = (own.data_centre == *centre).then_some(&own.vm);
        rank_vms(key, peers.chain(own))
    }
}
