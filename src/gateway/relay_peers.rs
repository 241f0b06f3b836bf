use super::*;

/// The entry VMs that this one has heard of.
#[derive(Clone, Debug, Default)]
pub struct RelayPeers {
    peers: BTreeMap<VmId, PeerTrack>,
}

#[derive(Clone, Debug)]
struct PeerTrack {
    card: PeerCard,
    heard: Millis,
    avoid_until: Millis,
}

impl RelayPeers {
    /// The time after which a VM that was not heard of again is forgotten: more than the longest
    /// pause between two greetings of seeds.
    const FORGET_MS: u64 = 60_000;
    /// The time for which a VM that did not answer is not asked again.
    const AVOID_MS: u64 = 8_000;

    /// Notes that a VM has been heard of.
    pub fn heard(&mut self, now: Millis, card: &PeerCard) {
        let known = self.peers.get(&card.vm);
        if known.is_some_and(|known| known.card.incarnation > card.incarnation) {
            return;
        }
        let is_new = known.is_none_or(|known| known.card != *card);
        let avoid_until = known.filter(|_| !is_new).map_or(Millis(0), |known| known.avoid_until);
        let track = PeerTrack { card: card.clone(), heard: now, avoid_until };
        self.peers.insert(card.vm.clone(), track);
    }

    /// Notes that a VM has not answered, or could not tell anything fresh.
    pub fn failed(&mut self, now: Millis, vm: &VmId) {
        if let Some(track) = self.peers.get_mut(vm) {
            track.avoid_until = now + Millis(Self::AVOID_MS);
        }
    }

    /// Forgets the VMs that have not been heard of for long.
    pub fn forget_silent(&mut self, now: Millis) {
        self.peers.retain(|_, track| now.since(track.heard).0 < Self::FORGET_MS);
    }

    /// Returns the cards of a data centre.
    #[must_use]
    pub fn of(&self, data_centre: &DataCentreId) -> Vec<PeerCard> {
        let tracks = self.peers.values().filter(|track| track.card.data_centre == *data_centre);
        tracks.map(|track| track.card.clone()).collect()
    }

    /// Returns the VM of a data centre that reads the store for the others: the one that ranks
    /// first among those that answer. None if that is the VM itself.
    #[must_use]
    pub fn reader(&self, now: Millis, own: &VmIdentity) -> Option<&PeerCard> {
        let rank = |vm: &VmId| xxh3_64(vm.as_str().as_bytes());
        let own_rank = rank(&own.vm);
        let fit = self.peers.values().filter(|track| {
            track.card.data_centre == own.data_centre
                && track.card.vm != own.vm
                && now >= track.avoid_until
                && rank(&track.card.vm) < own_rank
        });
        fit.min_by_key(|track| rank(&track.card.vm)).map(|track| &track.card)
    }
}
