use super::*;

/// The time between two rounds of exchanges.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;
/// Every this many rounds, one exchange also goes to a peer in the own data centre. The data
/// centre's report tree carries messages of its own, so it needs fewer.
const ROUNDS_PER_NEAR_EXCHANGE: u64 = 3;
/// The time after which an exchange without a reply counts as missed.
const EXCHANGE_TIMEOUT_MS: u64 = 1_000;
/// The exchanges per round with peers whose reachability is in doubt.
const URGENT_LIMIT: usize = 4;
/// The rumours sent with an exchange.
const RUMOUR_LIMIT: usize = 8;
/// The time for which a rumour is passed on.
const RUMOUR_MS: u64 = 10_000;
/// The time after a peer's last message in which rumours about it are ignored.
const CERTAIN_MS: u64 = 1_500;

impl Control {
    /// Sends a message to a peer. Does nothing if the peer is not known.
    pub(super) fn send(&mut self, to: &VmId, message: PeerMessage) {
        let Some(peer) = self.peers.get(to) else { return };
        let address = peer.address;
        self.emit(Command::Send { to: to.clone(), address, message });
    }

    /// Sends a message to the peers that relay it to the others.
    pub(super) fn gossip(&mut self, message: &PeerMessage) {
        for peer in broadcast_targets(&self.identity, &self.peers) {
            self.send(&peer, message.clone());
        }
    }

    /// Sends the exchanges that are due: to peers whose reachability is in doubt, to the next peer
    /// of the data centre in some rounds, and to the next of all peers.
    pub(super) fn tick_exchange(&mut self, now: Millis) {
        if self.cluster.exchange_at > now {
            return;
        }
        self.cluster.exchange_at = now + Millis(EXCHANGE_INTERVAL_MS);
        self.count_overdue_exchanges(now);
        let mut targets: BTreeSet<VmId> = BTreeSet::new();
        while targets.len() < URGENT_LIMIT
            && let Some(peer) = self.cluster.urgent.pop_front()
        {
            targets.insert(peer);
        }
        self.cluster.exchange_round += 1;
        let near_due = self.cluster.exchange_round.is_multiple_of(ROUNDS_PER_NEAR_EXCHANGE);
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

    /// Returns the peer after a cursor, among the own data centre's peers or all peers.
    ///
    /// Each VM starts after its own name, so that VMs started together do not all choose the same
    /// peer.
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
        self.peers.record_exchange(now, peer, sequence);
        let digest = self.digest(now, sequence);
        self.send(peer, PeerMessage::Exchange(digest));
    }

    /// Returns the state that an exchange tells to a peer.
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

    /// Counts exchanges that got no reply in time as missed.
    fn count_overdue_exchanges(&mut self, now: Millis) {
        for peer in self.peers.overdue_peers(now, Millis(EXCHANGE_TIMEOUT_MS)) {
            self.count_miss(now, &peer);
        }
    }

    /// Counts a missed exchange. The peer is tried again soon, or is out of reach after several
    /// misses.
    fn count_miss(&mut self, now: Millis, peer: &VmId) {
        if self.peers.record_failure(peer) {
            tracing::warn!(%peer, "peer out of reach");
            self.add_rumour(now, peer);
        } else if self.peers.get(peer).is_some_and(PeerState::is_in_reach) {
            self.queue_urgent(peer);
        }
    }

    /// Counts an undelivered message as a missed exchange.
    pub(super) fn on_unsent(&mut self, now: Millis, to: &VmId) {
        self.count_miss(now, to);
    }

    /// Records that a peer went out of reach or came back, to pass it on with the next exchanges.
    fn add_rumour(&mut self, now: Millis, peer: &VmId) {
        const MAX_HELD: usize = 64;
        self.cluster.rumours.retain(|(_, rumoured)| rumoured != peer);
        self.cluster.rumours.push_back((now, peer.clone()));
        if self.cluster.rumours.len() > MAX_HELD {
            self.cluster.rumours.pop_front();
        }
    }

    /// Puts a peer in line for one of the next exchanges.
    fn queue_urgent(&mut self, peer: &VmId) {
        const MAX_HELD: usize = 512;
        if self.cluster.urgent.len() < MAX_HELD && !self.cluster.urgent.contains(peer) {
            self.cluster.urgent.push_back(peer.clone());
        }
    }

    /// Exchanges with a peer that another VM reports as gone or back, unless it was heard lately or
    /// the rumour is known.
    fn on_rumour(&mut self, now: Millis, vm: &VmId) {
        let Some(peer) = self.peers.get(vm) else { return };
        let is_certain = peer.last_heard.is_some_and(|at| now.since(at) <= Millis(CERTAIN_MS));
        let is_known = self
            .cluster
            .rumours
            .iter()
            .any(|(at, rumoured)| rumoured == vm && now.since(*at) <= Millis(RUMOUR_MS));
        if !is_certain && !is_known {
            self.add_rumour(now, vm);
            self.queue_urgent(vm);
        }
    }

    /// Handles a message from a peer. Messages of an older incarnation are dropped.
    pub(super) fn on_peer(&mut self, now: Millis, from: &PeerName, message: PeerMessage) {
        let was_out_of_reach = self.peers.get(&from.vm).is_some_and(|peer| !peer.is_in_reach());
        if !self.peers.record_message(now, from) {
            tracing::debug!(%from, kind = message.kind(), "message of an older incarnation dropped");
            return;
        }
        if was_out_of_reach {
            tracing::info!(peer = %from, "peer back in reach");
            self.add_rumour(now, &from.vm);
        }
        match message {
            PeerMessage::Introduce => {}
            PeerMessage::Exchange(digest) => {
                self.apply_digest(now, from, &digest);
                let reply = self.digest(now, digest.sequence);
                self.send(&from.vm, PeerMessage::ExchangeReply(reply));
            }
            PeerMessage::ExchangeReply(digest) => self.apply_digest(now, from, &digest),
            PeerMessage::Announce(stamp) => {
                self.peers.record_revision(from, stamp.revision);
                self.want_configuration(now, &from.vm, stamp);
            }
            PeerMessage::FetchConfiguration(have) => self.send_configuration(from, have),
            PeerMessage::Configuration(state) => self.on_configuration_state(now, &state),
            PeerMessage::Members(delta) => self.on_members(now, from, &delta),
            PeerMessage::FetchMembers => {
                let whole = self.cluster.members.full_delta();
                self.send(&from.vm, PeerMessage::Members(whole));
            }
            PeerMessage::Withdrawals(notices) => self.on_withdrawals(now, notices),
            PeerMessage::Shares(message) => self.on_report_message(now, from, message),
            PeerMessage::Pin(message) => self.on_pin(now, from, message),
            PeerMessage::Claim(message) => self.on_claim_message(now, from, message),
            PeerMessage::Bill(message) => self.on_bill_message(now, from, &message),
            PeerMessage::Suspects(notices) => {
                for notice in &notices {
                    self.suspects.apply(now, notice);
                }
            }
            PeerMessage::Placement(message) => self.on_placement_message(now, from, &message),
            PeerMessage::Policy(digest) => self.merge_digest(now, from, &digest),
        }
    }

    /// Compares a peer's state with this VM's, requests what is newer and sends the withdrawals
    /// that differ.
    fn apply_digest(&mut self, now: Millis, from: &PeerName, digest: &ExchangeDigest) {
        if let Some(sender) = &digest.sender
            && sender.id == from.vm
        {
            let own = self.identity.vm.clone();
            self.peers.introduce(&own, sender);
            self.peers.record_message(now, from);
        }
        self.peers.record_revision(from, digest.stamp.revision);
        self.want_configuration(now, &from.vm, digest.stamp);
        self.fetch_members(now, &from.vm, digest.members);
        if digest.withdrawals != self.cluster.withdrawals.digest() {
            let notices: Vec<Withdrawal> = self.cluster.withdrawals.iter().cloned().collect();
            if !notices.is_empty() {
                self.send(&from.vm, PeerMessage::Withdrawals(notices));
            }
        }
        self.log_read = latest_read(now, self.log_read, digest.log_age);
        self.members_read = latest_read(now, self.members_read, digest.members_age);
        for vm in &digest.rumours {
            self.on_rumour(now, vm);
        }
    }
}

/// Returns the later of this VM's own read and one that a peer did `age` ago.
fn latest_read(now: Millis, own: Option<Millis>, age: Option<Millis>) -> Option<Millis> {
    own.max(age.map(|age| now.since(age)))
}
