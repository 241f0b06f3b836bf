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

    /// Returns whether a VM has been heard of.
    #[must_use]
    pub fn knows(&self, vm: &VmId) -> bool {
        self.peers.contains_key(vm)
    }

    /// Forgets the VMs that have not been heard of for long.
    pub fn forget_silent(&mut self, now: Millis) {
        self.peers.retain(|_, track| now.since(track.heard).0 < Self::FORGET_MS);
    }

    /// Returns the VMs of a data centre, and of each other one those that rank first.
    #[must_use]
    pub fn for_greeting(&self, data_centre: &DataCentreId) -> Vec<PeerCard> {
        /// Enough that one is left when another has just ended.
        const OF_OTHERS: usize = 2;
        let mut centres: BTreeMap<&DataCentreId, Vec<&PeerCard>> = BTreeMap::new();
        for track in self.peers.values() {
            centres.entry(&track.card.data_centre).or_default().push(&track.card);
        }
        let mut cards = Vec::new();
        for (centre, mut known) in centres {
            known.sort_by_key(|card| Self::rank(&card.vm));
            let limit = if centre == data_centre { known.len() } else { OF_OTHERS };
            cards.extend(known.into_iter().take(limit).cloned());
        }
        cards
    }

    /// Returns the VMs to exchange loads with: of each data centre with a later name, the one that
    /// ranks first among those that answer.
    #[must_use]
    pub fn exchange_partners(&self, now: Millis, own: &DataCentreId) -> Vec<PeerCard> {
        let mut first: BTreeMap<&DataCentreId, &PeerCard> = BTreeMap::new();
        for track in self.peers.values().filter(|track| now >= track.avoid_until) {
            let card = &track.card;
            let best = first.entry(&card.data_centre).or_insert(card);
            if Self::rank(&card.vm) < Self::rank(&best.vm) {
                *best = card;
            }
        }
        let later = first.into_iter().filter(|(centre, _)| *centre > own);
        later.map(|(_, card)| card.clone()).collect()
    }

    fn rank(vm: &VmId) -> u64 {
        xxh3_64(vm.as_str().as_bytes())
    }

    /// Returns the VM of a data centre that reads the store for the others: the one that ranks
    /// first among those that answer. None if that is the VM itself.
    #[must_use]
    pub fn reader(&self, now: Millis, own: &VmIdentity) -> Option<&PeerCard> {
        let own_rank = Self::rank(&own.vm);
        let fit = self.peers.values().filter(|track| {
            track.card.data_centre == own.data_centre
                && track.card.vm != own.vm
                && now >= track.avoid_until
                && Self::rank(&track.card.vm) < own_rank
        });
        fit.min_by_key(|track| Self::rank(&track.card.vm)).map(|track| &track.card)
    }
}
