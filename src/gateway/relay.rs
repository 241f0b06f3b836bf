//! Reading the store once for a data centre.
//!
//! Each call to the store has a price, and within a data centre messages have none. So the entry
//! VMs of a data centre let the one that ranks first read the store, and ask it for what has
//! changed. An answer tells how old the reading is, and the lease on what operators publish starts
//! where that reading was sent. A VM whose reader does not answer at once, or has not heard from
//! the store lately, reads the store itself; so does each VM at its start, and one that knows no
//! other. Nothing is agreed upon: two readers only cost calls, and two VMs that ask each other see
//! their answers age and go back to the store.

use super::*;

/// What a VM does to learn what the store has.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayState {
    pub(super) card: Option<PeerCard>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) peers: RelayPeers,
    /// The VM that this one relies on instead of the store.
    pub(super) reader: Option<VmId>,
    /// Whether the reader is one that has just followed another and is yet to answer.
    is_handed_over: bool,
    known: Option<(PeerName, u64)>,
    asked: Option<AskedReader>,
    next: Millis,
    greetings: u32,
    greet_next: Millis,
    pub(super) waiting: Vec<WaitingPoll>,
    pub(super) loads: SharedLoads,
    exchange_next: Millis,
    /// The VMs of other data centres that are being asked.
    exchanging: BTreeSet<VmId>,
    pub(super) servers_read: Option<Millis>,
}

/// A poll for records that is under way.
#[derive(Clone, Debug)]
struct AskedReader {
    card: PeerCard,
    sent: Millis,
    /// Whether all records were asked for, and not only the changes since an earlier answer.
    is_whole: bool,
}

impl Gateway {
    /// How long a reader holds an answer back for a change. Short, because a VM whose reader has
    /// stopped learns of it only by the missing answer.
    const RELAY_WAIT_MS: u64 = 100;
    /// The pause between two exchanges of loads with another data centre.
    const EXCHANGE_MS: u64 = 100;
    /// The pause between two polls after one that failed, or led to no reader.
    const RELAY_PAUSE_MS: u64 = 500;
    /// The pauses between the greetings of a seed: the first ones find VMs that start together.
    const GREETINGS_MS: [u64; 4] = [300, 1_500, 4_000, 20_000];
    /// How long a VM whose reader has an old reading waits before it asks the next one, which has
    /// noticed as much and reads the store: an answer that is held, and a call to the store.
    const HANDOVER_MS: u64 = 250;
    /// How much older than the pause between two reads a reader's list of servers may be.
    const SERVERS_SLACK_MS: u64 = 350;

    /// Lets this VM ask others, and be asked.
    pub fn set_relay(&mut self, card: PeerCard, seeds: Vec<SocketAddr>) {
        self.relay.seeds = seeds.into_iter().filter(|seed| *seed != card.address).collect();
        self.relay.card = Some(card);
    }

    /// Returns when the relay has something to do.
    pub(super) fn relay_next(&self) -> Option<Millis> {
        self.relay.card.as_ref()?;
        let held = self.relay.waiting.iter().map(WaitingPoll::due);
        let ask = self.relay.asked.is_none().then_some(self.relay.next);
        let greet = (!self.relay.seeds.is_empty()).then_some(self.relay.greet_next);
        let exchange = self.relay.reader.is_none().then_some(self.relay.exchange_next);
        held.chain(ask).chain(greet).chain(exchange).min()
    }

    pub(super) fn run_relay(&mut self, now: Millis) {
        self.answer_polls(now);
        self.greet_seed(now);
        self.ask_reader(now);
        self.exchange_loads(now);
    }

    /// Exchanges loads with the readers of other data centres, if this VM reads the store itself.
    fn exchange_loads(&mut self, now: Millis) {
        if self.relay.reader.is_some() || now < self.relay.exchange_next {
            return;
        }
        self.relay.exchange_next = now + Millis(Self::EXCHANGE_MS);
        self.servers.note_others(&self.relay.loads.others(now));
        let Some(from) = self.relay.card.clone() else { return };
        let partners = self.relay.peers.exchange_partners(now, &self.identity.data_centre);
        let loads = self.relay.loads.of_centre(now, &self.servers.own_loads());
        for card in partners {
            if !self.relay.exchanging.insert(card.vm.clone()) {
                continue;
            }
            let poll = self.poll_with_held(from.clone(), PollPurpose::Loads, &card);
            self.ask_peer(&card, RelayPoll { loads: loads.clone(), ..poll });
        }
    }

    /// Asks the VM that reads the store, once this VM knows everything from the store itself.
    fn ask_reader(&mut self, now: Millis) {
        if self.relay.asked.is_some() || now < self.relay.next || self.relay.card.is_none() {
            return;
        }
        if !self.knows_all() {
            self.relay.next = now + Millis(Self::RELAY_PAUSE_MS);
            return;
        }
        let Some(card) = self.relay.peers.reader(now, &self.identity).cloned() else {
            self.read_store_again(now, "this VM ranks first");
            self.relay.next = now + Millis(Self::RELAY_PAUSE_MS);
            return;
        };
        let is_reader = self.relay.reader.as_ref() == Some(&card.vm);
        let wait = if is_reader { Millis(Self::RELAY_WAIT_MS) } else { Millis(0) };
        let Some(from) = self.relay.card.clone() else { return };
        let known = self.relay.known.clone().filter(|(name, _)| *name == card.name());
        let evidence =
            self.rollouts.values().filter_map(|track| track.own_evidence(&self.identity));
        let is_whole = known.is_none();
        let poll = RelayPoll {
            known,
            wait,
            evidence: evidence.collect(),
            loads: self.servers.own_loads(),
            ..self.poll_with_held(from, PollPurpose::Records, &card)
        };
        self.ask_peer(&card, poll);
        self.relay.asked = Some(AskedReader { card, sent: now, is_whole });
    }

    fn ask_peer(&mut self, asked: &PeerCard, poll: RelayPoll) {
        let (peer, address) = (Some(asked.vm.clone()), asked.address);
        self.emit(GatewayCommand::AskPeer { peer, address, poll: Box::new(poll) });
    }

    /// Returns a poll that tells of the held sessions that are new to who is asked.
    fn poll_with_held(&self, from: PeerCard, purpose: PollPurpose, asked: &PeerCard) -> RelayPoll {
        let name = asked.name();
        let last = self.held_marks.heard_from(&name);
        RelayPoll {
            held_sessions: self.held.since(self.held_marks.told_to(&name)),
            held_known: Some((name, last)),
            ..RelayPoll::new(from, purpose)
        }
    }

    pub(super) fn knows_all(&self) -> bool {
        let knows_servers =
            self.feeds.get(&StoreStream::Servers).is_some_and(StoreFeed::is_following);
        self.document.is_some() && knows_servers
    }

    /// Tells a seed about this VM, and learns the VMs of its data centre.
    fn greet_seed(&mut self, now: Millis) {
        if now < self.relay.greet_next || self.relay.seeds.is_empty() {
            return;
        }
        let Some(from) = self.relay.card.clone() else { return };
        let turn = self.relay.greetings as usize;
        let last = Self::GREETINGS_MS.len() - 1;
        self.relay.greetings += 1;
        self.relay.greet_next = now + Millis(Self::GREETINGS_MS[turn.min(last)]);
        self.relay.peers.forget_silent(now);
        self.held_marks.keep(|vm| self.relay.peers.knows(vm));
        let address = self.relay.seeds[turn % self.relay.seeds.len()];
        let poll = RelayPoll::new(from, PollPurpose::Greeting);
        self.emit(GatewayCommand::AskPeer { peer: None, address, poll: Box::new(poll) });
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
            let others = answer.cards.iter().filter(|card| card.vm != self.identity.vm);
            for card in others {
                self.relay.peers.heard(now, card);
            }
        }
        if let Some(answer) = result.as_ref().filter(|_| purpose != PollPurpose::Greeting) {
            self.take_held(answer.from.name(), &answer.held_sessions);
            self.held_marks.note_told(answer.from.name(), answer.held_heard);
        }
        match (purpose, peer) {
            (PollPurpose::Records, _) => self.on_records(now, result),
            (PollPurpose::Loads, Some(peer)) => self.on_loads(now, &peer, result),
            (PollPurpose::Loads, None) | (PollPurpose::Greeting, _) => {}
        }
    }

    fn on_loads(&mut self, now: Millis, peer: &VmId, result: Option<RelayAnswer>) {
        self.relay.exchanging.remove(peer);
        match result {
            Some(answer) if answer.reads_store => {
                let centre = &answer.from.data_centre;
                self.relay.loads.take_centre(now, centre, answer.loads);
            }
            _ => self.relay.peers.failed(now, peer),
        }
    }

    fn on_records(&mut self, now: Millis, result: Option<RelayAnswer>) {
        let Some(asked) = self.relay.asked.take() else { return };
        let reader = asked.card.vm.clone();
        match result {
            Some(answer) if self.is_fresh_answer(&answer) => self.follow(now, &asked, &answer),
            Some(_) => self.leave_old_reader(now, &reader),
            None => self.leave_reader(now, &reader, "it does not answer"),
        }
    }

    /// Returns whether a VM has heard from the store lately enough to be relied on.
    fn is_fresh_answer(&self, answer: &RelayAnswer) -> bool {
        let (Some(operators), Some(servers)) = (answer.operators, answer.servers) else {
            return false;
        };
        let pause = self.server_pause();
        let operators_limit = Millis(self.operator_wait().0 * 2 + Self::SERVERS_SLACK_MS);
        servers.age <= pause + Millis(Self::SERVERS_SLACK_MS) && operators.age <= operators_limit
    }

    fn follow(&mut self, now: Millis, asked: &AskedReader, answer: &RelayAnswer) {
        let from = &answer.from;
        if self.relay.reader.as_ref() != Some(&from.vm) {
            tracing::info!(reader = %from.vm, "another VM reads the store for this one");
            self.relay.reader = Some(from.vm.clone());
        }
        self.relay.is_handed_over = false;
        self.relay.known = Some((from.name(), answer.change));
        self.relay.next = now;
        self.relay.loads.take_reader(now, answer.loads.clone());
        self.servers.note_others(&answer.loads);
        self.take_records(now, &answer.records);
        if let Some(servers) = answer.servers.filter(|_| asked.is_whole) {
            // A reader that has just started never knew servers that were removed before.
            let listed = answer.records.iter().filter_map(KeptRecord::listed_server).collect();
            self.remove_unlisted(now, servers.end, &listed);
        }
        let answered = asked.sent + answer.held;
        if let Some(operators) = answer.operators {
            self.lease.renew(answered.since(operators.age));
            self.pause_feed(StoreStream::Operators, operators.end);
        }
        if let Some(servers) = answer.servers {
            self.note_servers_read(answered.since(servers.age));
            self.pause_feed(StoreStream::Servers, servers.end);
        }
        self.feeds.remove(&StoreStream::Rollouts);
        self.feeds.remove(&StoreStream::Evidence);
    }

    fn pause_feed(&mut self, stream: StoreStream, end: Offset) {
        if let Some(feed) = self.feeds.get_mut(&stream) {
            feed.pause_at(end);
        }
    }

    /// Goes on to the next VM that reads the store, unless that has just been done: if a reader is
    /// cut off from the store, one of its followers has to call there and not all of them. What this
    /// VM knows is young enough to wait so long.
    fn leave_old_reader(&mut self, now: Millis, reader: &VmId) {
        let reason = "its reading of the store is old";
        self.relay.peers.failed(now, reader);
        let is_followed = self.relay.reader.as_ref() == Some(reader) && !self.relay.is_handed_over;
        let next = self.relay.peers.reader(now, &self.identity).filter(|_| is_followed);
        let Some(next) = next.map(|card| card.vm.clone()) else {
            self.leave_reader(now, reader, reason);
            return;
        };
        tracing::info!(%reader, %next, reason, "the next VM is asked for what the store has");
        self.relay.reader = Some(next);
        self.relay.is_handed_over = true;
        self.relay.next = now + Millis(Self::HANDOVER_MS);
    }

    fn leave_reader(&mut self, now: Millis, reader: &VmId, reason: &'static str) {
        self.relay.peers.failed(now, reader);
        self.relay.next = now + Millis(Self::RELAY_PAUSE_MS);
        self.read_store_again(now, reason);
    }

    /// Goes back to reading the store.
    fn read_store_again(&mut self, now: Millis, reason: &'static str) {
        let Some(reader) = self.relay.reader.take() else { return };
        self.relay.is_handed_over = false;
        self.relay.exchange_next = now;
        tracing::info!(%reader, reason, "this VM reads the store itself again");
        for feed in self.feeds.values_mut() {
            feed.resume(now);
        }
        self.follow_rollouts();
    }
}
