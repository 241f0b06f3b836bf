use super::*;

/// The other entry VMs that this one knows.
///
/// The VMs of each data centre are ranked by processor capacity and then by a hash of their names.
/// VMs that know the same peers rank them alike. The first VM that answers polls is the data
/// centre's hub.
#[derive(Clone, Debug, Default)]
pub struct RelayPeers {
    peers: BTreeMap<VmId, PeerTrack>,
    /// Number of consecutive polls, to any VM, that were not answered.
    failures: u32,
}

#[derive(Clone, Debug)]
struct PeerTrack {
    card: PeerCard,
    heard: Millis,
    /// When the VM itself last sent a message to this one; at first, when this VM learned of it.
    messaged: Millis,
    /// When the VM last polled this one for records.
    followed: Option<Millis>,
    /// Until when the VM is not polled because it did not answer.
    backoff_until: Millis,
    /// Number of consecutive polls that this VM did not answer.
    failures: u32,
    /// Until when the VM is not polled for records because its records were outdated.
    outdated_until: Millis,
    /// When the VM last reported that its records were newer than those of this VM.
    offered_at: Option<Millis>,
}

impl PeerTrack {
    const fn answers(&self, now: Millis) -> bool {
        now.0 >= self.backoff_until.0
    }

    const fn may_know(&self, now: Millis) -> bool {
        self.answers(now) && now.0 >= self.outdated_until.0
    }
}

impl RelayPeers {
    /// Time after which a VM that has not been heard from is forgotten: more than the longest time
    /// between two greetings of seeds.
    const FORGET_AFTER_MS: u64 = 60_000;
    /// Time after the last message of a VM for which this one lists it to others: more than the time
    /// in which each VM greets each of three seeds.
    const LISTED_FOR_MS: u64 = 90_000;
    /// Time for which a VM that did not answer is not polled again; twice as long from the second
    /// failure on. It is long enough for VMs that are cut off together to find the first rank among
    /// them, past those that are out of reach.
    const SILENCE_BACKOFF_MS: u64 = 4_000;
    /// The same time for a VM that reaches no other VM, as it must learn soon that others can be
    /// reached again.
    const CUT_OFF_BACKOFF_MS: u64 = 1_000;
    /// Time for which a VM with outdated records is not polled for records again.
    const OUTDATED_BACKOFF_MS: u64 = 300;
    /// Time for which a VM's report that its records are newer is valid.
    const OFFER_VALID_MS: u64 = 1_500;
    /// Number of VMs of the own data centre that are polled for records: the hub, its standby, and
    /// one more.
    const OWN_CENTRE_CANDIDATES: usize = 3;
    /// Number of VMs of each other data centre that are known and polled: enough that one is left
    /// when another has just stopped.
    const OTHER_CENTRE_CANDIDATES: usize = 2;
    /// Number of consecutive unanswered polls after which a VM considers itself cut off from all
    /// others. That many of the VMs that rank first hardly ever fail at once.
    const CUT_OFF_FAILURES: u32 = 5;

    /// Records that a VM has been heard from, possibly through another VM. Information from an earlier incarnation of the VM is
    /// ignored.
    pub fn record_contact(&mut self, now: Millis, card: &PeerCard) {
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
            messaged: now,
            followed: None,
            backoff_until: Millis(0),
            failures: 0,
            outdated_until: Millis(0),
            offered_at: None,
        };
        self.peers.insert(card.vm.clone(), track);
    }

    /// Records a message from a VM.
    pub fn record_message(&mut self, now: Millis, card: &PeerCard) {
        self.record_contact(now, card);
        if let Some(track) = self.peers.get_mut(&card.vm) {
            track.messaged = now;
        }
    }

    /// Records that a VM has polled this one for records.
    pub fn record_follower(&mut self, now: Millis, vm: &VmId) {
        if let Some(track) = self.peers.get_mut(vm) {
            track.followed = Some(now);
        }
    }

    /// Records that a VM has answered a poll.
    pub fn record_answer(&mut self, vm: &VmId) {
        self.failures = 0;
        if let Some(track) = self.peers.get_mut(vm) {
            track.failures = 0;
            track.backoff_until = Millis(0);
        }
    }

    /// Records that a VM has not answered a poll.
    pub fn record_timeout(&mut self, now: Millis, vm: &VmId) {
        self.failures = self.failures.saturating_add(1);
        let is_cut_off = self.is_cut_off();
        if let Some(track) = self.peers.get_mut(vm) {
            let doubled = Self::SILENCE_BACKOFF_MS << track.failures.min(1);
            let backoff = if is_cut_off { Self::CUT_OFF_BACKOFF_MS } else { doubled };
            track.backoff_until = now + Millis(backoff);
            track.failures = track.failures.saturating_add(1);
            track.offered_at = None;
        }
        if self.failures == Self::CUT_OFF_FAILURES {
            let soon = now + Millis(Self::CUT_OFF_BACKOFF_MS);
            for track in self.peers.values_mut() {
                track.backoff_until = track.backoff_until.min(soon);
            }
        }
    }

    /// Records that a VM's store records are outdated.
    pub fn record_outdated(&mut self, now: Millis, vm: &VmId) {
        if let Some(track) = self.peers.get_mut(vm) {
            track.outdated_until = now + Millis(Self::OUTDATED_BACKOFF_MS);
            track.offered_at = None;
        }
    }

    /// Records that a VM has reported newer store records than those of this VM.
    pub fn record_offer(&mut self, now: Millis, vm: &VmId) {
        if let Some(track) = self.peers.get_mut(vm) {
            track.offered_at = Some(now);
            track.outdated_until = Millis(0);
        }
    }

    /// Returns whether no other VM seems to be reachable.
    #[must_use]
    pub const fn is_cut_off(&self) -> bool {
        self.failures >= Self::CUT_OFF_FAILURES
    }

    /// Returns whether no other VM is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the number of known VMs in a data centre, this one not included.
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

    /// Returns the card of a VM, or `None` if the VM is not known.
    #[must_use]
    pub fn card(&self, vm: &VmId) -> Option<&PeerCard> {
        self.peers.get(vm).map(|track| &track.card)
    }

    /// Returns whether a VM can be polled for records now: it answers, and its records are not
    /// known to be outdated.
    #[must_use]
    pub fn may_know(&self, now: Millis, vm: &VmId) -> bool {
        self.peers.get(vm).is_some_and(|track| track.may_know(now))
    }

    /// Returns whether a VM is known.
    #[must_use]
    pub fn knows(&self, vm: &VmId) -> bool {
        self.peers.contains_key(vm)
    }

    /// Forgets the VMs that have not been heard from for `FORGET_AFTER_MS`.
    pub fn forget_silent(&mut self, now: Millis) {
        self.peers.retain(|_, track| now.since(track.heard).0 < Self::FORGET_AFTER_MS);
    }

    /// Returns the data centres of the known VMs.
    #[must_use]
    pub fn centres(&self) -> BTreeSet<DataCentreId> {
        self.peers.values().map(|track| track.card.data_centre.clone()).collect()
    }

    /// Returns the first rank of a data centre that answers, which is its hub as far as this VM
    /// knows.
    #[must_use]
    pub fn first_rank(&self, now: Millis, centre: &DataCentreId) -> Option<&PeerCard> {
        let answering = self.peers.values().filter(|track| track.answers(now));
        let cards = answering.map(|track| &track.card);
        cards.filter(|card| card.data_centre == *centre).min_by_key(|card| card.rank())
    }

    /// Returns the VMs to list in the answer to a greeting: all of the given data centre, and those
    /// that rank first in each other one. Only VMs that have sent messages to this one are listed,
    /// as VMs that list a dead one to each other would never forget it.
    #[must_use]
    pub fn for_greeting(&self, now: Millis, data_centre: &DataCentreId) -> Vec<PeerCard> {
        let is_alive = |track: &PeerTrack| now.since(track.messaged).0 < Self::LISTED_FOR_MS;
        let mut cards = Vec::new();
        for (centre, known) in self.by_centre(is_alive) {
            let limit =
                if centre == data_centre { known.len() } else { Self::OTHER_CENTRE_CANDIDATES };
            cards.extend(known.into_iter().take(limit).cloned());
        }
        cards
    }

    /// Returns the VMs to exchange loads with: in each data centre whose name sorts after this
    /// one's, the first rank that answers. The exchange between two data centres is thus started by
    /// one of them only.
    #[must_use]
    pub fn exchange_partners(&self, now: Millis, own: &DataCentreId) -> Vec<PeerCard> {
        let known = self.by_centre(|track| track.answers(now));
        let later = known.into_iter().filter(|(centre, _)| *centre > own);
        later.filter_map(|(_, cards)| cards.first().map(|card| PeerCard::clone(card))).collect()
    }

    /// Returns the hub of this VM's data centre, the first rank that answers. `None` if that is
    /// this VM.
    #[must_use]
    pub fn hub(&self, now: Millis, own: &PeerCard) -> Option<&PeerCard> {
        self.ranked_before(now, own).min_by_key(|card| card.rank())
    }

    /// Returns the number of VMs in this VM's data centre that rank before it and answer.
    #[must_use]
    pub fn rank_index(&self, now: Millis, own: &PeerCard) -> usize {
        self.ranked_before(now, own).count()
    }

    /// Returns how many VMs of this VM's data centre get their records from it, if it is the hub.
    #[must_use]
    pub fn hub_support(&self, now: Millis, own: &PeerCard) -> HubSupport {
        /// A few times the interval at which a follower polls its hub.
        const FOLLOWER_EXPIRY_MS: u64 = 600;
        let others = self.peers.values().filter(|track| track.card.data_centre == own.data_centre);
        let mut support = HubSupport { followers: 0, others: 0, is_first_rank: true };
        for track in others {
            support.others += 1;
            let is_follower = track.followed.is_some_and(|at| now.since(at).0 < FOLLOWER_EXPIRY_MS);
            support.followers += u32::from(is_follower);
            support.is_first_rank &= own.rank() < track.card.rank();
        }
        support
    }

    /// Returns the number of VMs in this VM's data centre that are believed to answer, this one
    /// included; 1 if this VM is cut off.
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

    /// Returns the VM to poll next for records: one that has reported newer records, else the next
    /// rank of this VM's data centre, else a VM of another data centre. `None` if all candidates
    /// were polled a short time ago.
    #[must_use]
    pub fn candidate(&self, now: Millis, own: &PeerCard) -> Option<&PeerCard> {
        let may_know = |track: &PeerTrack| track.may_know(now) && track.card.vm != own.vm;
        let is_offer = |track: &&PeerTrack| {
            may_know(track)
                && track.offered_at.is_some_and(|at| now.since(at).0 < Self::OFFER_VALID_MS)
        };
        if let Some(track) =
            self.peers.values().filter(is_offer).max_by_key(|track| track.offered_at)
        {
            return Some(&track.card);
        }
        let known = self.by_centre(|track| track.answers(now) && track.card.vm != own.vm);
        let fit = |card: &&PeerCard| self.peers.get(&card.vm).is_some_and(may_know);
        let of_own = known.get(&own.data_centre).into_iter().flatten().copied();
        if let Some(card) = of_own.take(Self::OWN_CENTRE_CANDIDATES).find(fit) {
            return Some(card);
        }
        let others = known.iter().filter(|(centre, _)| **centre != &own.data_centre);
        let fit = others
            .flat_map(|(_, cards)| cards.iter().take(Self::OTHER_CENTRE_CANDIDATES).copied())
            .filter(fit);
        // Each VM has an order of its own, so that not all poll the same VM.
        fit.min_by_key(|card| xxh3_64(format!("{}/{}", own.vm, card.vm).as_bytes()))
    }

    fn ranked_before<'a, 'b>(
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

    /// Returns the matching VMs by data centre, each list ordered by rank.
    fn by_centre(
        &self,
        matches: impl Fn(&PeerTrack) -> bool,
    ) -> BTreeMap<&DataCentreId, Vec<&PeerCard>> {
        let mut centres: BTreeMap<&DataCentreId, Vec<&PeerCard>> = BTreeMap::new();
        for track in self.peers.values().filter(|track| matches(track)) {
            centres.entry(&track.card.data_centre).or_default().push(&track.card);
        }
        for known in centres.values_mut() {
            known.sort_by_key(|card| card.rank());
        }
        centres
    }
}
