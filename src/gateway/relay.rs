//! Getting the contents of the store from other entry VMs.
//!
//! Every request to the store costs money, while messages within a data centre are free. The entry
//! VMs of a data centre therefore poll its hub, the VM that ranks first, for changes. An answer
//! states how old the store read is that it is based on, and the lease on what operators publish
//! starts when that read was sent. Which VMs read the store, and how often, is decided in
//! [`store_access`].
//!
//! A VM whose hub does not respond, or has outdated records, polls other VMs: those that report
//! newer records, the next ranks of its data centre and the hubs of other data centres. A hub that
//! the store does not serve does the same. No agreement between the VMs is needed: an answer is
//! used for what it contains, whoever sends it. Two VMs that poll each other see their answers age
//! and then go on to a third one.

use super::*;

/// State of the exchange of store records between the entry VMs.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayState {
    pub(super) card: Option<PeerCard>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) peers: RelayPeers,
    /// The VM that this one polls instead of reading the store. `None` while there is none with
    /// fresh records.
    pub(super) source: Option<VmId>,
    /// The VM that read the records which `source` last passed on from the store.
    pub(super) origin: Option<VmId>,
    /// Whether this VM is the hub of its data centre.
    pub(super) is_hub: bool,
    /// Whether the hub of this data centre has reported that the store does not serve it, or has
    /// sent outdated records.
    pub(super) hub_lacks_store: bool,
    /// Number of VMs in each other data centre, as reported by their hubs.
    centre_vms: BTreeMap<DataCentreId, u32>,
    /// Number of VMs in all data centres, as reported by this data centre's hub.
    all_vms: u32,
    /// The last change received from each VM that was polled.
    known_changes: BTreeMap<PeerName, u64>,
    pending_poll: Option<PendingPoll>,
    pub(super) next: Millis,
    pub(super) start: RelayStart,
    pub(super) waiting: Vec<WaitingPoll>,
    pub(super) loads: PeerLoads,
    next_load_exchange: Millis,
    /// VMs of other data centres whose answer to a poll for loads is pending.
    pending_load_polls: BTreeSet<VmId>,
    pub(super) servers_read: Option<Millis>,
}

/// A poll for records whose answer is pending.
#[derive(Clone, Debug)]
struct PendingPoll {
    card: PeerCard,
    sent: Millis,
    /// The incarnation of the polled VM whose changes since an earlier answer were requested.
    /// `None` if all records were requested.
    known: Option<PeerName>,
}

impl RelayState {
    /// Records the number of VMs of another data centre. A data centre that is cut off keeps its
    /// last number.
    pub(super) fn set_centre_vms(&mut self, centre: &DataCentreId, vms: u32) {
        self.centre_vms.insert(centre.clone(), vms);
    }
}

impl Gateway {
    /// Long-poll timeout of polls for records. It is short because a VM notices only by the missing
    /// answer that its hub has stopped.
    const RECORD_POLL_TIMEOUT_MS: u64 = 100;
    /// Time between two exchanges of loads with another data centre.
    const LOAD_EXCHANGE_INTERVAL_MS: u64 = 100;
    /// Time after which a VM that found no VM to poll looks for one again.
    const PEER_RETRY_MS: u64 = 100;
    /// Time after which a VM that has just started, and has no records yet, is polled again.
    const STARTING_PEER_RETRY_MS: u64 = 30;
    /// Allowance for the age of a server list from another VM, beyond the time between two reads: a
    /// read, and the way over two VMs that delay answers.
    const SERVERS_AGE_ALLOWANCE_MS: u64 = 500;
    /// Allowance for the age of operator records from another VM, beyond two reads, one completed
    /// and one in flight: the way over two VMs that delay answers.
    const OPERATORS_AGE_ALLOWANCE_MS: u64 = 350;

    /// Enables the exchange of records with other VMs. `card` describes this VM, `seeds` are the
    /// addresses used to find others.
    pub fn set_relay(&mut self, card: PeerCard, seeds: Vec<SocketAddr>) {
        self.relay.seeds = seeds.into_iter().filter(|seed| *seed != card.address).collect();
        self.relay.card = Some(card);
        self.relay.is_hub = true;
        if self.relay.seeds.is_empty() || self.knows_all() {
            self.relay.start.decide();
        }
    }

    /// Returns when [`Self::run_relay`] is due next. `None` if the exchange of records is not
    /// enabled.
    pub(super) fn relay_next(&self) -> Option<Millis> {
        self.relay.card.as_ref()?;
        let held = self.relay.waiting.iter().map(WaitingPoll::due);
        let may_ask = self.relay.pending_poll.is_none() && self.relay.start.is_decided();
        let ask = may_ask.then_some(self.relay.next);
        let exchange = self.relay.is_hub.then_some(self.relay.next_load_exchange);
        held.chain(ask).chain(self.greet_next()).chain(exchange).min()
    }

    pub(super) fn run_relay(&mut self, now: Millis) {
        self.answer_polls(now);
        self.greet_seed(now);
        self.poll_source(now);
        self.exchange_loads(now);
        self.expire_loads(now);
    }

    /// Forgets the loads of other VMs if the hub that told them has fallen silent.
    fn expire_loads(&mut self, now: Millis) {
        if !self.relay.is_hub && self.relay.loads.is_reader_silent(now) {
            self.servers.forget_others();
        }
    }

    /// Exchanges loads with the hubs of other data centres, if this VM is the hub of its own.
    fn exchange_loads(&mut self, now: Millis) {
        if !self.relay.is_hub || now < self.relay.next_load_exchange {
            return;
        }
        self.relay.next_load_exchange = now + Millis(Self::LOAD_EXCHANGE_INTERVAL_MS);
        self.servers.note_others(&self.relay.loads.others(now));
        let Some(from) = self.relay.card.clone() else { return };
        let partners = self.relay.peers.exchange_partners(now, &self.identity.data_centre);
        let loads = self.relay.loads.of_centre(now, &self.servers.own_loads());
        let evidence = self.own_evidence(now);
        for card in partners {
            if !self.relay.pending_load_polls.insert(card.vm.clone()) {
                continue;
            }
            let poll = self.poll_with_news(now, from.clone(), PollPurpose::Loads, &card);
            let centre_vms = self.centre_vms();
            let (loads, evidence) = (loads.clone(), evidence.clone());
            self.send_poll(&card, RelayPoll { centre_vms, evidence, loads, ..poll });
        }
    }

    /// Polls another VM for records: the hub, or another VM while the hub has outdated records.
    fn poll_source(&mut self, now: Millis) {
        if self.relay.pending_poll.is_some()
            || now < self.relay.next
            || !self.relay.start.is_decided()
        {
            return;
        }
        let Some(from) = self.relay.card.clone() else { return };
        self.update_hub(now, &from);
        let Some(card) = self.next_polled(now, &from) else {
            self.relay.next = now + Millis(Self::PEER_RETRY_MS);
            return;
        };
        let may_wait = self.relay.source.as_ref() == Some(&card.vm) || self.is_reading(now);
        let wait = if may_wait { Millis(Self::RECORD_POLL_TIMEOUT_MS) } else { Millis(0) };
        let known = self.relay.known_changes.get(&card.name()).map(|change| (card.name(), *change));
        let evidence = self.own_evidence(now);
        let polled = known.as_ref().map(|(name, _)| name.clone());
        let is_same_centre = card.data_centre == from.data_centre;
        let poll = RelayPoll {
            known,
            wait,
            age: self.lease.age(now),
            evidence,
            loads: if is_same_centre { self.servers.own_loads() } else { LoadTotals::default() },
            ..self.poll_with_news(now, from, PollPurpose::Records, &card)
        };
        self.send_poll(&card, poll);
        self.relay.pending_poll = Some(PendingPoll { card, sent: now, known: polled });
    }

    /// Returns the rollout evidence of this VM and its followers that is due to be reported.
    fn own_evidence(&mut self, now: Millis) -> Vec<EvidenceRecord> {
        let identity = &self.identity;
        self.rollouts.values_mut().filter_map(|track| track.own_evidence(now, identity)).collect()
    }

    /// Updates whether this VM is the hub of its data centre.
    fn update_hub(&mut self, now: Millis, own: &PeerCard) {
        let hub = self.relay.peers.hub(now, own).map(|card| card.vm.clone());
        if hub.is_none() != self.relay.is_hub {
            self.relay.is_hub = hub.is_none();
            let hub = hub.as_ref().map(VmId::as_str);
            tracing::info!(hub, "hub of this data centre changed; without a name it is this VM");
        }
    }

    /// Returns the VM to poll for records now. `None` if this VM reads the store for the others, or
    /// if no candidate is left.
    fn next_polled(&self, now: Millis, own: &PeerCard) -> Option<PeerCard> {
        let peers = &self.relay.peers;
        if let Some(hub) = peers.hub(now, own).filter(|hub| peers.may_know(now, &hub.vm)) {
            return Some(hub.clone());
        }
        if self.relay.is_hub && self.is_reading(now) {
            return None;
        }
        let source = self.relay.source.as_ref().filter(|vm| peers.may_know(now, vm));
        let card = source.and_then(|vm| peers.card(vm)).or_else(|| peers.candidate(now, own));
        card.cloned()
    }

    fn send_poll(&mut self, polled: &PeerCard, poll: RelayPoll) {
        let (peer, address) = (Some(polled.vm.clone()), polled.address);
        self.emit(GatewayCommand::AskPeer { peer, address, poll: Box::new(poll) });
    }

    /// Returns a poll with the held sessions, crash events and leaving servers that the polled VM
    /// does not know yet.
    fn poll_with_news(
        &self,
        now: Millis,
        from: PeerCard,
        purpose: PollPurpose,
        polled: &PeerCard,
    ) -> RelayPoll {
        let name = polled.name();
        let last = self.held_positions.received_from(&name);
        RelayPoll {
            held_sessions: self.held.since(self.held_positions.confirmed_by(&name)),
            held_known: Some((name.clone(), last)),
            crashes: self.crash_news_for(now, &name),
            crashes_known: Some((name.clone(), self.crashes_received_from(&name))),
            leaving: self.leaving_servers(),
            limits: LimitQuery {
                reports: self.limit_news(now),
                cold: self.cold_news(now),
                ..LimitQuery::default()
            },
            ..RelayPoll::new(from, purpose)
        }
    }

    /// Returns the number of VMs known in this data centre, this one included.
    pub(super) fn centre_vms(&self) -> u32 {
        self.relay.peers.count(&self.identity.data_centre) + 1
    }

    /// Returns the number of VMs known in all data centres, or 0 while the number of VMs in the
    /// other data centres is unknown.
    pub(super) fn known_vms(&self) -> u32 {
        if self.relay.card.is_none() {
            return 1;
        }
        let others: u32 = self.relay.centre_vms.values().sum();
        let own = self.centre_vms() + others;
        let has_others = self.relay.peers.has_other_centre(&self.identity.data_centre);
        let is_known = !has_others || others > 0 || self.relay.all_vms > 0;
        if is_known { own.max(self.relay.all_vms) } else { 0 }
    }

    pub(super) fn knows_all(&self) -> bool {
        let knows_servers =
            self.feeds.get(&StoreStream::Servers).is_some_and(StoreFeed::is_following);
        self.document.is_some() && knows_servers
    }

    /// Records when the newest read of the server list was sent.
    pub(super) fn record_servers_read(&mut self, sent: Millis) {
        self.relay.servers_read = self.relay.servers_read.max(Some(sent));
    }

    /// Handles another VM's answer to a poll. `result` is `None` if the VM did not answer.
    pub(super) fn on_peer_answer(
        &mut self,
        now: Millis,
        peer: Option<VmId>,
        purpose: PollPurpose,
        result: Option<RelayAnswer>,
    ) {
        if let Some(answer) = &result {
            self.relay.peers.record_message(now, &answer.from);
            self.relay.peers.record_answer(&answer.from.vm);
            let others = answer.cards.iter().filter(|card| card.vm != self.identity.vm);
            for card in others {
                self.relay.peers.record_contact(now, card);
            }
        }
        if let Some(answer) = &result {
            self.apply_limit_reports(now, &answer.from.vm, &answer.limits.reports);
            self.apply_cold_reports(now, &answer.limits.cold);
        }
        if let Some(answer) = result.as_ref().filter(|_| purpose.carries_news()) {
            self.apply_held_sessions(answer.from.name(), &answer.held_sessions);
            self.held_positions.set_confirmed(answer.from.name(), answer.held_heard);
            self.apply_crashes(now, answer.from.name(), &answer.crashes);
            self.apply_leaving(&answer.from.vm, &answer.leaving);
            self.set_crashes_confirmed(answer.from.name(), answer.crashes_heard);
        }
        match (purpose, peer) {
            (PollPurpose::Records, _) => self.on_record_answer(now, result),
            (PollPurpose::Loads, Some(peer)) => self.on_load_answer(now, &peer, result),
            (PollPurpose::Permits, Some(peer)) => {
                self.on_permit_answer(now, &peer, result.as_ref());
            }
            (PollPurpose::Loads | PollPurpose::Permits, None) => {}
            (PollPurpose::Greeting, _) => self.on_greeting(now, result.as_ref()),
        }
    }

    fn on_load_answer(&mut self, now: Millis, peer: &VmId, result: Option<RelayAnswer>) {
        self.relay.pending_load_polls.remove(peer);
        match result {
            Some(answer) if answer.is_hub => {
                let centre = &answer.from.data_centre;
                self.relay.set_centre_vms(centre, answer.centre_vms);
                self.relay.loads.set_centre(now, centre, answer.loads);
            }
            // The VM did not answer or is no longer the hub. The next rank of its data centre is
            // polled instead.
            _ => self.relay.peers.record_timeout(now, peer),
        }
    }

    fn on_record_answer(&mut self, now: Millis, result: Option<RelayAnswer>) {
        let Some(polled) = self.relay.pending_poll.take() else { return };
        let vm = polled.card.vm.clone();
        let Some(answer) = result else {
            self.relay.peers.record_timeout(now, &vm);
            self.drop_source(&vm, "no answer to a poll");
            self.relay.next = now;
            return;
        };
        let is_fresh = self.is_fresh_answer(&answer);
        self.apply_answer(now, &polled, &answer);
        let is_own = answer.origin.as_ref() == Some(&self.identity.vm);
        if self.is_from_hub(&answer) && answer.operators.is_some() {
            self.relay.hub_lacks_store = answer.lacks_store || !is_fresh;
        }
        if is_fresh && !is_own {
            self.follow(now, &answer);
        } else if is_fresh && self.is_reading(now) {
            // Other VMs get their records from this one.
            self.relay.next = now;
        } else if answer.operators.is_none() && self.relay.start.is_recent(now) {
            self.relay.next = now + Millis(Self::STARTING_PEER_RETRY_MS);
        } else {
            self.relay.peers.record_outdated(now, &vm);
            self.drop_source(&vm, "its store records are outdated");
            self.relay.next = now;
        }
    }

    /// Returns whether an answer came from the hub of this VM's data centre.
    fn is_from_hub(&self, answer: &RelayAnswer) -> bool {
        answer.is_hub && answer.from.data_centre == self.identity.data_centre
    }

    /// Returns whether the records behind an answer are recent enough for this VM to rely on its
    /// sender.
    fn is_fresh_answer(&self, answer: &RelayAnswer) -> bool {
        let (Some(operators), Some(servers)) = (answer.operators, answer.servers) else {
            return false;
        };
        let servers_limit = self.server_pause() + Millis(Self::SERVERS_AGE_ALLOWANCE_MS);
        servers.age <= servers_limit && operators.age <= self.old_age()
    }

    /// Returns the age beyond which operator records are outdated.
    pub(super) const fn old_age(&self) -> Millis {
        Millis(self.operator_wait().0 * 2 + Self::OPERATORS_AGE_ALLOWANCE_MS)
    }

    /// Applies the contents of an answer, whatever their age.
    fn apply_answer(&mut self, now: Millis, polled: &PendingPoll, answer: &RelayAnswer) {
        if self.is_from_hub(answer) {
            self.relay.all_vms = answer.all_vms;
            self.relay.loads.set_reader(now, answer.loads.clone());
            self.servers.note_others(&answer.loads);
        }
        self.apply_records(now, &answer.records);
        let (Some(operators), Some(servers)) = (answer.operators, answer.servers) else { return };
        self.relay.known_changes.insert(answer.from.name(), answer.change);
        // A VM that has restarted sends all its records, even if only changes were requested.
        if polled.known.as_ref() != Some(&answer.from.name()) {
            // It never had the servers that were removed before it started, and so sends no removal
            // for them.
            let listed = answer.records.iter().filter_map(StreamRecord::listed_server).collect();
            self.remove_unlisted(now, servers.end, &listed);
            self.listed = None;
            let listed =
                answer.records.iter().filter_map(StreamRecord::listed_evacuation).collect();
            self.end_unlisted_evacuations(now, operators.end, &listed);
        }
        let answered = polled.sent + answer.held;
        self.lease.renew(answered.since(operators.age));
        self.record_servers_read(answered.since(servers.age));
        for (stream, age) in [(StoreStream::Operators, operators), (StoreStream::Servers, servers)]
        {
            if let Some(feed) = self.feeds.get_mut(&stream) {
                feed.skip_to(age.end);
            }
        }
    }

    /// Makes the sender of an answer with fresh records the source of this VM's records.
    fn follow(&mut self, now: Millis, answer: &RelayAnswer) {
        let from = &answer.from.vm;
        if self.relay.source.as_ref() != Some(from) {
            let origin = answer.origin.as_ref().map(VmId::as_str);
            tracing::info!(source = %from, origin, "getting store records from another VM");
            self.relay.source = Some(from.clone());
        }
        self.relay.origin.clone_from(&answer.origin);
        self.relay.next = now;
    }

    fn drop_source(&mut self, vm: &VmId, reason: &'static str) {
        if self.relay.source.as_ref() == Some(vm) {
            tracing::info!(source = %vm, reason, "stopped getting store records from another VM");
            self.relay.source = None;
        }
    }

    /// Drops the state of VMs that have not been heard from for long.
    pub(super) fn forget_silent_peers(&mut self, now: Millis) {
        self.relay.peers.forget_silent(now);
        self.held_positions.retain_peers(|vm| self.relay.peers.knows(vm));
        self.crashes.retain_peers(|vm| self.relay.peers.knows(vm));
        let peers = &self.relay.peers;
        self.relay.known_changes.retain(|name, _| peers.knows(&name.vm));
    }
}
