use super::*;

/// The entry VMs that this one has heard of.
///
/// In each data centre they are ranked, by their share of a processor and then by a hash of their
/// names, alike on all VMs that know the same ones. The first that answers is the data centre's hub.
#[derive(Clone, Debug, Default)]
pub struct RelayPeers {
    peers: BTreeMap<VmId, PeerTrack>,
    /// The polls in a row, to whichever VM, that were not answered.
    silences: u32,
}

#[derive(Clone, Debug)]
struct PeerTrack {
    card: PeerCard,
    heard: Millis,
    /// Until when it is not asked, because it did not answer.
    silent_until: Millis,
    /// The times in a row that it did not answer.
    silences: u32,
    /// Until when it is not asked for what the store has, because its knowledge is old.
    old_until: Millis,
    /// When its knowledge of the store was as young as it is now here, by its own word.
    offered: Option<Millis>,
}

impl PeerTrack {
    const fn answers(&self, now: Millis) -> bool {
        now.0 >= self.silent_until.0
    }

    const fn may_know(&self, now: Millis) -> bool {
        self.answers(now) && now.0 >= self.old_until.0
    }
}

impl RelayPeers {
    /// The time after which a VM that was not heard of again is forgotten: more than the longest
    /// pause between two greetings of seeds.
    const FORGET_MS: u64 = 60_000;
    /// The time for which a VM that did not answer is not asked again; twice as long later on. Long enough
    /// for VMs that are cut off together to find the first rank among them, past those out of reach.
    const FIRST_SILENT_MS: u64 = 4_000;
    /// The same for a VM that reaches no other one, which has to learn soon that it does again.
    const CUT_OFF_MS: u64 = 1_000;
    /// The time for which a VM whose knowledge is old is not asked again.
    const OLD_MS: u64 = 300;
    /// The time for which a VM's word counts that its knowledge is younger.
    const OFFER_MS: u64 = 1_500;
    /// The VMs of one's own data centre that are asked for what the store has: a hub, the one that
    /// stands by, and one more.
    const OWN_CANDIDATES: usize = 3;
    /// The VMs of each other data centre that are known and asked: enough that one is left when
    /// another has just ended.
    const OTHER_CANDIDATES: usize = 2;
    /// The polls in a row without an answer after which a VM takes itself to be cut off from all
    /// others: hardly ever are so many of those that rank first gone at once.
    const CUT_OFF_SILENCES: u32 = 5;

    /// Notes that a VM has been heard of.
    pub fn heard(&mut self, now: Millis, card: &PeerCard) {
        let known = self.peers.get_mut(&card.vm);
        if let Some(known) = known {
            if known.card.incarnation > card.incarnation {
                return;
            }
            if known.card == *card {
                known.heard = now;
                return;
            }
        }
        let track = PeerTrack {
            card: card.clone(),
            heard: now,
            silent_until: Millis(0),
            silences: 0,
            old_until: Millis(0),
            offered: None,
        };
        self.peers.insert(card.vm.clone(), track);
    }

    /// Notes that a VM has answered.
    pub fn answered(&mut self, vm: &VmId) {
        self.silences = 0;
        if let Some(track) = self.peers.get_mut(vm) {
            track.silences = 0;
            track.silent_until = Millis(0);
        }
    }

    /// Notes that a VM has not answered.
    pub fn silent(&mut self, now: Millis, vm: &VmId) {
        self.silences = self.silences.saturating_add(1);
        let is_cut_off = self.is_cut_off();
        if let Some(track) = self.peers.get_mut(vm) {
            let doubled = Self::FIRST_SILENT_MS << track.silences.min(1);
            let pause = if is_cut_off { Self::CUT_OFF_MS } else { doubled };
            track.silent_until = now + Millis(pause);
            track.silences = track.silences.saturating_add(1);
            track.offered = None;
        }
        if self.silences == Self::CUT_OFF_SILENCES {
            let soon = now + Millis(Self::CUT_OFF_MS);
            for track in self.peers.values_mut() {
                track.silent_until = track.silent_until.min(soon);
            }
        }
    }

    /// Notes that what a VM knows of the store is old.
    pub fn old(&mut self, now: Millis, vm: &VmId) {
        if let Some(track) = self.peers.get_mut(vm) {
            track.old_until = now + Millis(Self::OLD_MS);
            track.offered = None;
        }
    }

    /// Notes that a VM says its knowledge of the store is younger than that of this one.
    pub fn offers(&mut self, now: Millis, vm: &VmId) {
        if let Some(track) = self.peers.get_mut(vm) {
            track.offered = Some(now);
            track.old_until = Millis(0);
        }
    }

    /// Returns whether no other VM seems to be in reach.
    #[must_use]
    pub const fn is_cut_off(&self) -> bool {
        self.silences >= Self::CUT_OFF_SILENCES
    }

    /// Returns whether no other VM has been heard of.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns how many VMs of a data centre are known.
    #[must_use]
    pub fn count(&self, data_centre: &DataCentreId) -> u32 {
        let known = self.peers.values().filter(|track| track.card.data_centre == *data_centre);
        known.count() as u32
    }

    /// Returns whether a VM of another data centre is known.
    #[must_use]
    pub fn has_other_centre(&self, data_centre: &DataCentreId) -> bool {
        self.peers.values().any(|track| track.card.data_centre != *data_centre)
    }

    /// Returns how a VM is reached.
    #[must_use]
    pub fn card(&self, vm: &VmId) -> Option<&PeerCard> {
        self.peers.get(vm).map(|track| &track.card)
    }

    /// Returns whether a VM answers and may know what the store has.
    #[must_use]
    pub fn may_know(&self, now: Millis, vm: &VmId) -> bool {
        self.peers.get(vm).is_some_and(|track| track.may_know(now))
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
        let mut cards = Vec::new();
        for (centre, known) in self.by_centre(|_| true) {
            let limit = if centre == data_centre { known.len() } else { Self::OTHER_CANDIDATES };
            cards.extend(known.into_iter().take(limit).cloned());
        }
        cards
    }

    /// Returns the VMs to exchange loads with: of each data centre with a later name, the one that
    /// ranks first among those that answer.
    #[must_use]
    pub fn exchange_partners(&self, now: Millis, own: &DataCentreId) -> Vec<PeerCard> {
        let known = self.by_centre(|track| track.answers(now));
        let later = known.into_iter().filter(|(centre, _)| *centre > own);
        later.filter_map(|(_, cards)| cards.first().map(|card| PeerCard::clone(card))).collect()
    }

    /// Returns the hub of a VM's data centre: the VM that ranks first among those that answer. None
    /// if that is the VM itself.
    #[must_use]
    pub fn hub(&self, now: Millis, own: &PeerCard) -> Option<&PeerCard> {
        self.before(now, own).min_by_key(|card| card.rank())
    }

    /// Returns how many VMs of a VM's data centre rank before it and answer.
    #[must_use]
    pub fn place(&self, now: Millis, own: &PeerCard) -> usize {
        self.before(now, own).count()
    }

    /// Returns how many VMs of a data centre answer, as far as is known, with this one.
    #[must_use]
    pub fn centre_size(&self, now: Millis, own: &PeerCard) -> usize {
        if self.is_cut_off() {
            return 1;
        }
        let others = self
            .peers
            .values()
            .filter(|track| track.card.data_centre == own.data_centre && track.answers(now));
        others.count() + 1
    }

    /// Returns the VM to ask next for what the store has: one that says it knows more, one of this
    /// VM's data centre, or one of another, the nearest rank first. None if all were asked just now.
    #[must_use]
    pub fn candidate(&self, now: Millis, own: &PeerCard) -> Option<&PeerCard> {
        let may_know = |track: &PeerTrack| track.may_know(now) && track.card.vm != own.vm;
        let is_offer = |track: &&PeerTrack| {
            may_know(track) && track.offered.is_some_and(|at| now.since(at).0 < Self::OFFER_MS)
        };
        if let Some(track) = self.peers.values().filter(is_offer).max_by_key(|track| track.offered)
        {
            return Some(&track.card);
        }
        let known = self.by_centre(|track| track.answers(now) && track.card.vm != own.vm);
        let fit = |card: &&PeerCard| self.peers.get(&card.vm).is_some_and(may_know);
        let of_own = known.get(&own.data_centre).into_iter().flatten().copied();
        if let Some(card) = of_own.take(Self::OWN_CANDIDATES).find(fit) {
            return Some(card);
        }
        let others = known.iter().filter(|(centre, _)| **centre != &own.data_centre);
        let fit = others
            .flat_map(|(_, cards)| cards.iter().take(Self::OTHER_CANDIDATES).copied())
            .filter(fit);
        // Each VM begins at another one, so that not all ask the same.
        fit.min_by_key(|card| xxh3_64(format!("{}/{}", own.vm, card.vm).as_bytes()))
    }

    fn before<'a, 'b>(
        &'a self,
        now: Millis,
        own: &'b PeerCard,
    ) -> impl Iterator<Item = &'a PeerCard> + use<'a, 'b> {
        let fit = self.peers.values().filter(move |track| {
            track.card.data_centre == own.data_centre
                && track.card.vm != own.vm
                && track.answers(now)
                && track.card.rank() < own.rank()
        });
        fit.map(|track| &track.card)
    }

    /// Returns VMs by data centre, in the order of their ranks.
    fn by_centre(
        &self,
        is_fit: impl Fn(&PeerTrack) -> bool,
    ) -> BTreeMap<&DataCentreId, Vec<&PeerCard>> {
        let mut centres: BTreeMap<&DataCentreId, Vec<&PeerCard>> = BTreeMap::new();
        for track in self.peers.values().filter(|track| is_fit(track)) {
            centres.entry(&track.card.data_centre).or_default().push(&track.card);
        }
        for known in centres.values_mut() {
            known.sort_by_key(|card| card.rank());
        }
        centres
    }
}
