//! Learning what the store has from other entry VMs.
//!
//! Each call to the store has a price, and within a data centre messages have none. So the entry
//! VMs of a data centre ask its hub, the one that ranks first, for what has changed. An answer tells
//! how old the reading is that it rests on, and the lease on what operators publish starts where
//! that reading was sent. Who calls the store, and how often, is decided in [`store_access`].
//!
//! A VM whose hub is silent, or knows only what is old, asks others: those that say that they know
//! more, the next ranks of its data centre and the hubs of others. So does a hub that the store does
//! not serve. Nothing is agreed upon: an answer is taken for what it tells, whoever gives it, and two
//! VMs that ask each other see their answers age and go on to a third.

use super::*;

/// What a VM does to learn what the store has.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayState {
    pub(super) card: Option<PeerCard>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) peers: RelayPeers,
    /// The VM that this one relies on instead of the store.
    pub(super) source: Option<VmId>,
    /// The VM whose reading of the store was last relied on.
    pub(super) origin: Option<VmId>,
    /// Whether this VM is the hub of its data centre.
    pub(super) is_hub: bool,
    /// Whether the store does not serve the hub, by its own word.
    pub(super) hub_lacks_store: bool,
    /// The VMs of other data centres, as their hubs have told this one.
    centre_vms: BTreeMap<DataCentreId, u32>,
    /// The VMs of all data centres, as this one's hub has told.
    all_vms: u32,
    /// The last change that is known of each VM that was asked.
    known: BTreeMap<PeerName, u64>,
    asked: Option<AskedPeer>,
    pub(super) next: Millis,
    pub(super) start: RelayStart,
    pub(super) waiting: Vec<WaitingPoll>,
    pub(super) loads: SharedLoads,
    exchange_next: Millis,
    /// The VMs of other data centres that are being asked.
    exchanging: BTreeSet<VmId>,
    pub(super) servers_read: Option<Millis>,
}

/// A poll for records that is under way.
#[derive(Clone, Debug)]
struct AskedPeer {
    card: PeerCard,
    sent: Millis,
    /// The start of the VM whose changes since an earlier answer were asked for; none if all records
    /// were.
    known: Option<PeerName>,
}

impl RelayState {
    /// Notes how many VMs another data centre has. Those that are cut off count on.
    pub(super) fn note_centre(&mut self, centre: &DataCentreId, vms: u32) {
        self.centre_vms.insert(centre.clone(), vms);
    }
}

impl Gateway {
    /// How long a VM holds an answer back for a change. Short, because a VM whose hub has stopped
    /// learns of it only by the missing answer.
    const RELAY_WAIT_MS: u64 = 100;
    /// The pause between two exchanges of loads with another data centre.
    const EXCHANGE_MS: u64 = 100;
    /// The pause before a VM that has nobody to ask looks again.
    const RELAY_PAUSE_MS: u64 = 100;
    /// The pause before a VM is asked again that has just started itself.
    const STARTING_MS: u64 = 30;
    /// How much older than the pause between two reads the list of servers may be that another VM
    /// tells: a read, and the way over two VMs that hold answers back.
    const SERVERS_SLACK_MS: u64 = 500;
    /// How much older than two reads, one that is answered and one under way, what operators publish
    /// may be that another VM tells: the way over two VMs that hold answers back.
    const OPERATORS_SLACK_MS: u64 = 350;

    /// Lets this VM ask others, and be asked.
    pub fn set_relay(&mut self, card: PeerCard, seeds: Vec<SocketAddr>) {
        self.relay.seeds = seeds.into_iter().filter(|seed| *seed != card.address).collect();
        self.relay.card = Some(card);
        self.relay.is_hub = true;
        if self.relay.seeds.is_empty() || self.knows_all() {
            self.relay.start.decide();
        }
    }

    /// Returns when the relay has something to do.
    pub(super) fn relay_next(&self) -> Option<Millis> {
        self.relay.card.as_ref()?;
        let held = self.relay.waiting.iter().map(WaitingPoll::due);
        let may_ask = self.relay.asked.is_none() && self.relay.start.is_decided();
        let ask = may_ask.then_some(self.relay.next);
        let exchange = self.relay.is_hub.then_some(self.relay.exchange_next);
        held.chain(ask).chain(self.greet_next()).chain(exchange).min()
    }

    pub(super) fn run_relay(&mut self, now: Millis) {
        self.answer_polls(now);
        self.greet_seed(now);
        self.ask_source(now);
        self.exchange_loads(now);
    }

    /// Exchanges loads with the hubs of other data centres, if this VM is one.
    fn exchange_loads(&mut self, now: Millis) {
        if !self.relay.is_hub || now < self.relay.exchange_next {
            return;
        }
        self.relay.exchange_next = now + Millis(Self::EXCHANGE_MS);
        self.servers.note_others(&self.relay.loads.others(now));
        let Some(from) = self.relay.card.clone() else { return };
        let partners = self.relay.peers.exchange_partners(now, &self.identity.data_centre);
        let loads = self.relay.loads.of_centre(now, &self.servers.own_loads());
        let evidence = self.own_evidence(now);
        for card in partners {
            if !self.relay.exchanging.insert(card.vm.clone()) {
                continue;
            }
            let poll = self.poll_with_news(now, from.clone(), PollPurpose::Loads, &card);
            let centre_vms = self.centre_vms();
            let (loads, evidence) = (loads.clone(), evidence.clone());
            self.ask_peer(&card, RelayPoll { centre_vms, evidence, loads, ..poll });
        }
    }

    /// Asks another VM for what the store has: the hub, or another one while that knows too little.
    fn ask_source(&mut self, now: Millis) {
        if self.relay.asked.is_some() || now < self.relay.next || !self.relay.start.is_decided() {
            return;
        }
        let Some(from) = self.relay.card.clone() else { return };
        self.note_hub(now, &from);
        let Some(card) = self.next_asked(now, &from) else {
            self.relay.next = now + Millis(Self::RELAY_PAUSE_MS);
            return;
        };
        let is_followed = self.relay.source.as_ref() == Some(&card.vm) || self.is_reading(now);
        let wait = if is_followed { Millis(Self::RELAY_WAIT_MS) } else { Millis(0) };
        let known = self.relay.known.get(&card.name()).map(|change| (card.name(), *change));
        let evidence = self.own_evidence(now);
        let asked = known.as_ref().map(|(name, _)| name.clone());
        let is_near = card.data_centre == from.data_centre;
        let poll = RelayPoll {
            known,
            wait,
            age: self.lease.age(now),
            evidence,
            loads: if is_near { self.servers.own_loads() } else { LoadSum::default() },
            ..self.poll_with_news(now, from, PollPurpose::Records, &card)
        };
        self.ask_peer(&card, poll);
        self.relay.asked = Some(AskedPeer { card, sent: now, known: asked });
    }

    /// Returns what this VM and its followers have seen of versions that are brought in.
    fn own_evidence(&mut self, now: Millis) -> Vec<EvidenceRecord> {
        let identity = &self.identity;
        self.rollouts.values_mut().filter_map(|track| track.own_evidence(now, identity)).collect()
    }

    /// Notes whether this VM is the hub of its data centre.
    fn note_hub(&mut self, now: Millis, own: &PeerCard) {
        let hub = self.relay.peers.hub(now, own).map(|card| card.vm.clone());
        if hub.is_none() != self.relay.is_hub {
            self.relay.is_hub = hub.is_none();
            let hub = hub.as_ref().map(VmId::as_str);
            tracing::info!(
                hub,
                "this data centre's hub is another VM, or this one if none is named"
            );
        }
    }

    /// Returns the VM to ask now.
    fn next_asked(&self, now: Millis, own: &PeerCard) -> Option<PeerCard> {
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

    fn ask_peer(&mut self, asked: &PeerCard, poll: RelayPoll) {
        let (peer, address) = (Some(asked.vm.clone()), asked.address);
        self.emit(GatewayCommand::AskPeer { peer, address, poll: Box::new(poll) });
    }

    /// Returns a poll that tells of the held sessions and crashes that are new to who is asked.
    fn poll_with_news(
        &self,
        now: Millis,
        from: PeerCard,
        purpose: PollPurpose,
        asked: &PeerCard,
    ) -> RelayPoll {
        let name = asked.name();
        let last = self.held_marks.heard_from(&name);
        RelayPoll {
            held_sessions: self.held.since(self.held_marks.told_to(&name)),
            held_known: Some((name.clone(), last)),
            crashes: self.crash_news_for(now, &name),
            crashes_known: Some((name.clone(), self.crashes_heard_from(&name))),
            leaving: self.leaving_servers(),
            ..RelayPoll::new(from, purpose)
        }
    }

    /// Returns how many VMs are known of this data centre.
    pub(super) fn centre_vms(&self) -> u32 {
        self.relay.peers.count(&self.identity.data_centre) + 1
    }

    /// Returns how many VMs are known; none as long as that of other data centres is not.
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

    /// Notes when the newest read of the list of servers was sent.
    pub(super) fn note_servers_read(&mut self, sent: Millis) {
        self.relay.servers_read = self.relay.servers_read.max(Some(sent));
    }

    /// Takes in another VM's answer.
    pub(super) fn on_peer_answer(
        &mut self,
        now: Millis,
        peer: Option<VmId>,
        purpose: PollPurpose,
        result: Option<RelayAnswer>,
    ) {
        if let Some(answer) = &result {
            self.relay.peers.heard(now, &answer.from);
            self.relay.peers.answered(&answer.from.vm);
            let others = answer.cards.iter().filter(|card| card.vm != self.identity.vm);
            for card in others {
                self.relay.peers.heard(now, card);
            }
        }
        if let Some(answer) = result.as_ref().filter(|_| purpose != PollPurpose::Greeting) {
            self.take_held(answer.from.name(), &answer.held_sessions);
            self.held_marks.note_told(answer.from.name(), answer.held_heard);
            self.take_crashes(now, answer.from.name(), &answer.crashes);
            self.take_leaving(&answer.from.vm, &answer.leaving);
            self.note_crashes_told(answer.from.name(), answer.crashes_heard);
        }
        match (purpose, peer) {
            (PollPurpose::Records, _) => self.on_records(now, result),
            (PollPurpose::Loads, Some(peer)) => self.on_loads(now, &peer, result),
            (PollPurpose::Loads, None) => {}
            (PollPurpose::Greeting, _) => self.on_greeting(now, result.as_ref()),
        }
    }

    fn on_loads(&mut self, now: Millis, peer: &VmId, result: Option<RelayAnswer>) {
        self.relay.exchanging.remove(peer);
        match result {
            Some(answer) if answer.is_hub => {
                let centre = &answer.from.data_centre;
                self.relay.note_centre(centre, answer.centre_vms);
                self.relay.loads.take_centre(now, centre, answer.loads);
            }
            // Whoever answers for it next may be the hub.
            _ => self.relay.peers.silent(now, peer),
        }
    }

    fn on_records(&mut self, now: Millis, result: Option<RelayAnswer>) {
        let Some(asked) = self.relay.asked.take() else { return };
        let vm = asked.card.vm.clone();
        let Some(answer) = result else {
            self.relay.peers.silent(now, &vm);
            self.leave_source(&vm, "it does not answer");
            self.relay.next = now;
            return;
        };
        let is_fresh = self.is_fresh_answer(&answer);
        self.take_answer(now, &asked, &answer);
        let is_own = answer.origin.as_ref() == Some(&self.identity.vm);
        if self.is_of_hub(&answer) && answer.operators.is_some() {
            self.relay.hub_lacks_store = answer.lacks_store || !is_fresh;
        }
        if is_fresh && !is_own {
            self.follow(now, &answer);
        } else if is_fresh && self.is_reading(now) {
            // The others rely on this VM.
            self.relay.next = now;
        } else if answer.operators.is_none() && self.relay.start.is_recent(now) {
            self.relay.next = now + Millis(Self::STARTING_MS);
        } else {
            self.relay.peers.old(now, &vm);
            self.leave_source(&vm, "what it knows of the store is old");
            self.relay.next = now;
        }
    }

    /// Returns whether an answer is one of the hub of this VM's data centre.
    fn is_of_hub(&self, answer: &RelayAnswer) -> bool {
        answer.is_hub && answer.from.data_centre == self.identity.data_centre
    }

    /// Returns whether a VM's knowledge is young enough to be relied on.
    fn is_fresh_answer(&self, answer: &RelayAnswer) -> bool {
        let (Some(operators), Some(servers)) = (answer.operators, answer.servers) else {
            return false;
        };
        let servers_limit = self.server_pause() + Millis(Self::SERVERS_SLACK_MS);
        servers.age <= servers_limit && operators.age <= self.old_age()
    }

    /// Returns the age from which knowledge of what operators publish is old.
    pub(super) const fn old_age(&self) -> Millis {
        Millis(self.operator_wait().0 * 2 + Self::OPERATORS_SLACK_MS)
    }

    /// Takes in what an answer tells, however old it is.
    fn take_answer(&mut self, now: Millis, asked: &AskedPeer, answer: &RelayAnswer) {
        if self.is_of_hub(answer) {
            self.relay.all_vms = answer.all_vms;
            self.relay.loads.take_reader(now, answer.loads.clone());
            self.servers.note_others(&answer.loads);
        }
        self.take_records(now, &answer.records);
        let (Some(operators), Some(servers)) = (answer.operators, answer.servers) else { return };
        self.relay.known.insert(answer.from.name(), answer.change);
        // A VM that has started anew since tells all it knows, whatever it was asked for.
        if asked.known.as_ref() != Some(&answer.from.name()) {
            // A VM that has just started never knew servers that were removed before.
            let listed = answer.records.iter().filter_map(KeptRecord::listed_server).collect();
            self.remove_unlisted(now, servers.end, &listed);
            self.listed = None;
        }
        let answered = asked.sent + answer.held;
        self.lease.renew(answered.since(operators.age));
        self.note_servers_read(answered.since(servers.age));
        for (stream, age) in [(StoreStream::Operators, operators), (StoreStream::Servers, servers)]
        {
            if let Some(feed) = self.feeds.get_mut(&stream) {
                feed.skip_to(age.end);
            }
        }
    }

    /// Relies on a VM that has told what is fresh.
    fn follow(&mut self, now: Millis, answer: &RelayAnswer) {
        let from = &answer.from.vm;
        if self.relay.source.as_ref() != Some(from) {
            let origin = answer.origin.as_ref().map(VmId::as_str);
            tracing::info!(source = %from, origin, "another VM tells what the store has");
            self.relay.source = Some(from.clone());
        }
        self.relay.origin.clone_from(&answer.origin);
        self.relay.next = now;
    }

    fn leave_source(&mut self, vm: &VmId, reason: &'static str) {
        if self.relay.source.as_ref() == Some(vm) {
            tracing::info!(source = %vm, reason, "source of records left");
            self.relay.source = None;
        }
    }

    /// Forgets what concerns VMs that have not been heard of for long.
    pub(super) fn forget_silent_peers(&mut self, now: Millis) {
        self.relay.peers.forget_silent(now);
        self.held_marks.keep(|vm| self.relay.peers.knows(vm));
        self.crashes.keep_marks(|vm| self.relay.peers.knows(vm));
        let peers = &self.relay.peers;
        self.relay.known.retain(|name, _| peers.knows(&name.vm));
    }
}
