use super::*;

/// The time between two rounds of exchanges.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;
/// The rounds between two that also go round the data centre, whose tree has messages of its own.
const NEAR_ROUNDS: u64 = 3;
/// The time after which an exchange counts as missed.
const EXCHANGE_TIMEOUT_MS: u64 = 1_000;
/// The exchanges that go to peers suspected or back in reach, each round.
const URGENT_LIMIT: usize = 4;
/// The rumours that travel with an exchange.
const RUMOUR_LIMIT: usize = 8;
/// The time for which a rumour travels.
const RUMOUR_MS: u64 = 10_000;
/// The time within which a peer that was heard needs no urgent exchange.
const CERTAIN_MS: u64 = 1_500;

impl Control {
    /// Sends a message to a peer, if the peer is known.
    pub(super) fn send(&mut self, to: &VmId, message: PeerMessage) {
        let Some(peer) = self.peers.get(to) else { return };
        let address = peer.address;
        self.emit(Command::Send { to: to.clone(), address, message });
    }

    /// Sends a message to the peers that pass news on.
    pub(super) fn spread(&mut self, message: &PeerMessage) {
        for peer in spread_targets(&self.identity, &self.peers) {
            self.send(&peer, message.clone());
        }
    }

    /// Exchanges with a few peers: suspects first, then round the data centre and round all.
    pub(super) fn tick_exchange(&mut self, now: Millis) {
        if self.cluster.exchange_at > now {
            return;
        }
        self.cluster.exchange_at = now + Millis(EXCHANGE_INTERVAL_MS);
        self.note_overdue(now);
        let mut targets: BTreeSet<VmId> = BTreeSet::new();
        while targets.len() < URGENT_LIMIT
            && let Some(peer) = self.cluster.urgent.pop_front()
        {
            targets.insert(peer);
        }
        self.cluster.exchange_round += 1;
        let near_due = self.cluster.exchange_round.is_multiple_of(NEAR_ROUNDS);
        let own = &self.identity.vm;
        let near = self.next_peer(self.cluster.near_cursor.as_ref().unwrap_or(own), true);
        let near = near.filter(|_| near_due).or_else(|| self.cluster.near_cursor.clone());
        let far = self.next_peer(self.cluster.cursor.as_ref().unwrap_or(own), false);
        targets.extend(near.clone().filter(|_| near_due));
        targets.extend(far.clone());
        self.cluster.near_cursor = near;
        self.cluster.cursor = far;
        for peer in targets {
            self.exchange(now, &peer);
        }
    }

    /// Returns the peer after a cursor, round the data centre or round all others.
    ///
    /// Each VM starts after itself, so that VMs that were started together do not all turn to the
    /// same peer.
    fn next_peer(&self, cursor: &VmId, near: bool) -> Option<VmId> {
        let centre = &self.identity.data_centre;
        let fits = |peer: &&PeerState| !near || peer.data_centre == *centre;
        let mut after = self.peers.iter().filter(fits);
        let found = after.find(|peer| peer.vm > *cursor);
        let found = found.or_else(|| self.peers.iter().find(fits));
        found.map(|peer| peer.vm.clone())
    }

    fn exchange(&mut self, now: Millis, peer: &VmId) {
        self.cluster.sequence += 1;
        let sequence = self.cluster.sequence;
        self.peers.probed(now, peer, sequence);
        let digest = self.digest(now, sequence);
        self.send(peer, PeerMessage::Exchange(digest));
    }

    fn digest(&self, now: Millis, sequence: u64) -> ExchangeDigest {
        let address = self.cluster.settings.address;
        let sender = address.map(|address| VmMember {
            id: self.identity.vm.clone(),
            address,
            data_centre: self.identity.data_centre.clone(),
            state: if self.shutdown.is_serving() {
                MemberState::Live
            } else {
                MemberState::Leaving
            },
        });
        let recent = self.cluster.rumours.iter().rev();
        let recent = recent.filter(|(at, _)| now.since(*at) <= Millis(RUMOUR_MS));
        ExchangeDigest {
            sequence,
            sender,
            stamp: self.configuration.stamp(),
            members: self.cluster.members.stamp(),
            withdrawals: self.cluster.withdrawals.digest(),
            log_age: self.log_read.map(|at| now.since(at)),
            members_age: self.members_read.map(|at| now.since(at)),
            rumours: recent.take(RUMOUR_LIMIT).map(|(_, vm)| vm.clone()).collect(),
        }
    }

    /// Counts the exchanges that got no reply, and tries these peers again.
    fn note_overdue(&mut self, now: Millis) {
        for peer in self.peers.overdue(now, Millis(EXCHANGE_TIMEOUT_MS)) {
            self.miss(now, &peer);
        }
    }

    fn miss(&mut self, now: Millis, peer: &VmId) {
        if self.peers.missed(peer) {
            tracing::warn!(%peer, "peer out of reach");
            self.rumour(now, peer);
        } else if self.peers.get(peer).is_some_and(PeerState::is_in_reach) {
            self.hurry(peer);
        }
    }

    /// Takes in that a message could not be delivered.
    pub(super) fn on_unsent(&mut self, now: Millis, to: &VmId) {
        self.miss(now, to);
    }

    fn rumour(&mut self, now: Millis, peer: &VmId) {
        const HELD: usize = 64;
        self.cluster.rumours.retain(|(_, known)| known != peer);
        self.cluster.rumours.push_back((now, peer.clone()));
        if self.cluster.rumours.len() > HELD {
            self.cluster.rumours.pop_front();
        }
    }

    fn hurry(&mut self, peer: &VmId) {
        const HELD: usize = 512;
        if self.cluster.urgent.len() < HELD && !self.cluster.urgent.contains(peer) {
            self.cluster.urgent.push_back(peer.clone());
        }
    }

    /// Tries a peer of whom another VM says that it went out of reach or came back.
    fn take_rumour(&mut self, now: Millis, vm: &VmId) {
        let Some(peer) = self.peers.get(vm) else { return };
        let certain = peer.heard.is_some_and(|at| now.since(at) <= Millis(CERTAIN_MS));
        let known = self
            .cluster
            .rumours
            .iter()
            .any(|(at, known)| known == vm && now.since(*at) <= Millis(RUMOUR_MS));
        if !certain && !known {
            self.rumour(now, vm);
            self.hurry(vm);
        }
    }

    pub(super) fn on_peer(&mut self, now: Millis, from: &PeerName, message: PeerMessage) {
        let was_away = self.peers.get(&from.vm).is_some_and(|peer| !peer.is_in_reach());
        if !self.peers.heard(now, from) {
            tracing::debug!(%from, kind = message.kind(), "message of an older incarnation dropped");
            return;
        }
        if was_away {
            tracing::info!(peer = %from, "peer back in reach");
            self.rumour(now, &from.vm);
        }
        match message {
            PeerMessage::Introduce => {}
            PeerMessage::Exchange(digest) => {
                self.take_digest(now, from, &digest);
                let reply = self.digest(now, digest.sequence);
                self.send(&from.vm, PeerMessage::ExchangeReply(reply));
            }
            PeerMessage::ExchangeReply(digest) => self.take_digest(now, from, &digest),
            PeerMessage::Announce(stamp) => {
                self.peers.note_revision(from, stamp.revision);
                self.want(now, &from.vm, stamp);
            }
            PeerMessage::FetchConfiguration(have) => self.hand_over(from, have),
            PeerMessage::Configuration(state) => self.on_state(now, &state),
            PeerMessage::Members(delta) => self.on_members(now, from, &delta),
            PeerMessage::FetchMembers => {
                let whole = self.cluster.members.whole();
                self.send(&from.vm, PeerMessage::Members(whole));
            }
            PeerMessage::Withdrawals(notices) => self.on_withdrawals(now, notices),
            PeerMessage::Shares(message) => self.on_shares(now, from, message),
            PeerMessage::Pin(message) => self.on_pin(now, from, message),
            PeerMessage::Claim(message) => self.on_claim_message(now, from, message),
            PeerMessage::Bill(message) => self.on_bill_message(now, from, &message),
            PeerMessage::Suspects(notices) => {
                for notice in &notices {
                    self.suspects.take(now, notice);
                }
            }
            PeerMessage::Placement(message) => self.on_placement_message(now, from, &message),
            PeerMessage::Policy(digest) => self.merge_digest(now, from, &digest),
        }
    }

    fn take_digest(&mut self, now: Millis, from: &PeerName, digest: &ExchangeDigest) {
        if let Some(sender) = &digest.sender
            && sender.id == from.vm
        {
            let own = self.identity.vm.clone();
            self.peers.introduce(&own, sender);
            self.peers.heard(now, from);
        }
        self.peers.note_revision(from, digest.stamp.revision);
        self.want(now, &from.vm, digest.stamp);
        self.want_members(now, &from.vm, digest.members);
        if digest.withdrawals != self.cluster.withdrawals.digest() {
            let notices: Vec<Withdrawal> = self.cluster.withdrawals.iter().cloned().collect();
            if !notices.is_empty() {
                self.send(&from.vm, PeerMessage::Withdrawals(notices));
            }
        }
        self.log_read = latest_read(now, self.log_read, digest.log_age);
        self.members_read = latest_read(now, self.members_read, digest.members_age);
        for vm in &digest.rumours {
            self.take_rumour(now, vm);
        }
    }
}

/// Returns the later of a reading of one's own and one that a peer tells the age of.
fn latest_read(now: Millis, own: Option<Millis>, age: Option<Millis>) -> Option<Millis> {
    own.max(age.map(|age| now.since(age)))
}
