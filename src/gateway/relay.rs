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
    waiting: Vec<WaitingPoll>,
    loads: SharedLoads,
    exchange_next: Millis,
    /// The VMs of other data centres that are being asked.
    exchanging: BTreeSet<VmId>,
    servers_read: Option<Millis>,
}

/// A poll for records that is under way.
#[derive(Clone, Debug)]
struct AskedReader {
    card: PeerCard,
    sent: Millis,
    /// Whether all records were asked for, and not only the changes since an earlier answer.
    is_whole: bool,
}

#[derive(Clone, Debug)]
struct WaitingPoll {
    call: CallId,
    poll: RelayPoll,
    arrived: Millis,
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
        let held = self.relay.waiting.iter().map(|waiting| waiting.arrived + waiting.poll.wait);
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
            let poll = RelayPoll {
                from: from.clone(),
                purpose: PollPurpose::Loads,
                known: None,
                wait: Millis(0),
                evidence: Vec::new(),
                loads: loads.clone(),
                held_sessions: self.held_news(&card),
                held_known: Some(self.held_known(&card)),
            };
            let (address, peer) = (card.address, card.vm);
            self.emit(GatewayCommand::AskPeer { peer: Some(peer), address, poll: Box::new(poll) });
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
        let evidence = evidence.collect();
        let (purpose, loads) = (PollPurpose::Records, self.servers.own_loads());
        let (held_sessions, held_known) = (self.held_news(&card), Some(self.held_known(&card)));
        let poll =
            RelayPoll { from, purpose, known, wait, evidence, loads, held_sessions, held_known };
        let is_whole = poll.known.is_none();
        self.relay.asked = Some(AskedReader { card: card.clone(), sent: now, is_whole });
        let (address, peer) = (card.address, Some(card.vm));
        self.emit(GatewayCommand::AskPeer { peer, address, poll: Box::new(poll) });
    }

    fn held_news(&self, asked: &PeerCard) -> HeldNews {
        self.held.since(self.held_marks.told_to(&asked.name()))
    }

    fn held_known(&self, asked: &PeerCard) -> (PeerName, u64) {
        let name = asked.name();
        let last = self.held_marks.heard_from(&name);
        (name, last)
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
        let (known, wait) = (None, Millis(0));
        let purpose = PollPurpose::Greeting;
        let (evidence, loads) = (Vec::new(), LoadSum::default());
        let (held_sessions, held_known) = (HeldNews::default(), None);
        let poll =
            RelayPoll { from, purpose, known, wait, evidence, loads, held_sessions, held_known };
        self.emit(GatewayCommand::AskPeer { peer: None, address, poll: Box::new(poll) });
    }

    /// Takes in another VM's question.
    pub(super) fn on_poll(&mut self, now: Millis, call: CallId, mut poll: RelayPoll) {
        self.relay.peers.heard(now, &poll.from);
        let loads = std::mem::take(&mut poll.loads);
        match poll.purpose {
            PollPurpose::Records => self.relay.loads.take_follower(now, &poll.from.vm, loads),
            PollPurpose::Loads => self.relay.loads.take_centre(now, &poll.from.data_centre, loads),
            PollPurpose::Greeting => {}
        }
        if poll.purpose != PollPurpose::Greeting {
            self.take_held(poll.from.name(), &poll.held_sessions);
        }
        for evidence in &poll.evidence {
            if let Some(track) = self.rollouts.get_mut(&evidence.pool) {
                track.take_follower(evidence);
            }
        }
        self.relay.waiting.push(WaitingPoll { call, poll, arrived: now });
    }

    /// Answers the questions for which there is a change, or whose wait is over.
    fn answer_polls(&mut self, now: Millis) {
        let change = self.records.last_change();
        let Some(own) = self.relay.card.as_ref().map(PeerCard::name) else { return };
        let is_due = |waiting: &WaitingPoll| {
            let known = waiting.poll.known.as_ref().filter(|(name, _)| *name == own);
            let has_news = known.is_none_or(|(_, known)| *known < change);
            let is_plain = waiting.poll.purpose != PollPurpose::Records;
            is_plain || has_news || now.since(waiting.arrived) >= waiting.poll.wait
        };
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.relay.waiting).into_iter().partition(is_due);
        self.relay.waiting = waiting;
        for waiting in due {
            self.answer_poll(now, &own, waiting);
        }
    }

    fn answer_poll(&mut self, now: Millis, own: &PeerName, waiting: WaitingPoll) {
        let Some(from) = self.relay.card.clone() else { return };
        let WaitingPoll { call, poll, arrived } = waiting;
        let known = poll.known.filter(|(name, _)| name == own).map_or(0, |(_, change)| change);
        let records = match poll.purpose {
            PollPurpose::Records => self.records.since(known),
            PollPurpose::Greeting | PollPurpose::Loads => Vec::new(),
        };
        let own_loads = self.servers.own_loads();
        let loads = match poll.purpose {
            PollPurpose::Records => self.relay.loads.all_but(now, &own_loads, &poll.from.vm),
            PollPurpose::Loads => self.relay.loads.of_centre(now, &own_loads),
            PollPurpose::Greeting => LoadSum::default(),
        };
        let held_known = poll.held_known.filter(|(name, _)| name == own);
        let held_sessions = match poll.purpose {
            PollPurpose::Greeting => HeldNews::default(),
            PollPurpose::Records | PollPurpose::Loads => {
                self.held.since(held_known.map_or(0, |(_, last)| last))
            }
        };
        let held_heard = self.held_marks.heard_from(&poll.from.name());
        let cards = match poll.purpose {
            PollPurpose::Greeting => self.relay.peers.for_greeting(&poll.from.data_centre),
            PollPurpose::Records | PollPurpose::Loads => Vec::new(),
        };
        let answer = RelayAnswer {
            from,
            change: self.records.last_change(),
            records,
            held: now.since(arrived),
            operators: self.feed_age(now, StoreStream::Operators),
            servers: self.feed_age(now, StoreStream::Servers),
            loads,
            held_sessions,
            held_heard,
            reads_store: self.relay.reader.is_none(),
            cards,
        };
        self.emit(GatewayCommand::AnswerPeer { call, answer: Box::new(answer) });
    }

    fn feed_age(&self, now: Millis, stream: StoreStream) -> Option<FeedAge> {
        let end = self.feeds.get(&stream)?.end()?;
        let age = match stream {
            StoreStream::Operators => self.lease.age(now)?,
            _ => now.since(self.relay.servers_read?),
        };
        Some(FeedAge { age, end })
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
