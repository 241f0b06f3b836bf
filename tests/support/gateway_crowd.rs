//! Simulates many gateway cores in virtual time; queues in memory replace the store and the
//! network.

use guavapass::{
    control::VmIdentity,
    gateway::*,
    health::CrashUpdate,
    ids::{CallId, DataCentreId, Incarnation, Offset, Revision, VmId},
    units::Millis,
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    sync::Arc,
};

use super::gateway_world::{BOOKINGS, ENGINES, bounds, document, said, server, text};

/// How the store responds to an entry VM's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers normally.
    Serves,
    /// It refuses each call at once.
    Refuses,
    /// It never answers.
    Silent,
}

#[derive(Clone, Debug)]
enum Delivery {
    /// An event for an entry VM; discarded if the VM has restarted since `start`.
    Event { vm: usize, start: u64, event: Box<GatewayEvent> },
    /// A call arrives at the store.
    Call { vm: usize, start: u64, read: FeedRead },
    /// The wait of a long poll at the store is over.
    LongPollExpired { id: u64 },
    /// A poll arrives at an entry VM.
    Poll { id: u64, to: usize, poll: Box<RelayPoll> },
    /// A poll has timed out unless it was answered.
    PollTimeout { id: u64 },
}

struct SimulatedVm {
    gateway: Gateway,
    card: PeerCard,
    start: u64,
    is_running: bool,
    frozen_until: Millis,
    /// When it last got a tick.
    ticked: Millis,
    /// The times of its calls to the store.
    pub calls: Vec<Millis>,
}

struct PendingPoll {
    from: usize,
    start: u64,
    peer: Option<VmId>,
    purpose: PollPurpose,
}

struct LongPoll {
    id: u64,
    vm: usize,
    start: u64,
    stream: StoreStream,
    from: Offset,
}

/// The entry VMs of some data centres, and the store.
pub struct GatewaySimulation {
    pub now: Millis,
    vms: Vec<SimulatedVm>,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    deliveries: BTreeMap<u64, Delivery>,
    sequence: u64,
    polls: BTreeMap<u64, PendingPoll>,
    calls: u64,
    reads: Vec<LongPoll>,
    operators: Vec<StreamRecord>,
    servers: Vec<StreamRecord>,
    /// When each revision was published.
    published: Vec<(Revision, Millis)>,
    pub store_modes: BTreeMap<usize, StoreMode>,
    /// Entry VMs that cannot reach the others.
    pub cut: BTreeSet<usize>,
    /// Whether the VMs that are cut off can reach each other.
    pub can_cut_vms_connect: bool,
    seeds: Vec<SocketAddr>,
    /// The number of requests for permits that each VM has received.
    pub permit_queries: BTreeMap<usize, usize>,
    /// The encoded bytes of crash news that each VM has sent to or received from others.
    pub crash_bytes: BTreeMap<usize, u64>,
    /// The commands of entry VMs other than calls to the store and polls.
    pub outbox: Vec<(usize, GatewayCommand)>,
}

impl GatewaySimulation {
    const NETWORK_DELAY_MS: u64 = 1;
    const STORE_ROUND_TRIP_MS: u64 = 4;
    const CALL_TIMEOUT_MS: u64 = 1_200;
    const POLL_TIMEOUT_MS: u64 = 250;

    /// Returns entry VMs that have not started, `size` in each data centre.
    pub fn new(centres: &[&str], size: usize) -> Self {
        Self::with_engines(centres, size, 6)
    }

    /// The same, with a number of model engines.
    pub fn with_engines(centres: &[&str], size: usize, engines: usize) -> Self {
        let names = centres.iter().flat_map(|centre| (0..size).map(move |vm| (*centre, vm)));
        let cards: Vec<PeerCard> = names
            .enumerate()
            .map(|(index, (centre, vm))| PeerCard {
                vm: text::<VmId>(&format!("{centre}-{vm}")),
                incarnation: Incarnation(0),
                data_centre: text::<DataCentreId>(centre),
                address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
                processor: 12,
            })
            .collect();
        let seeds = cards.iter().step_by(size.max(2) - 1).map(|card| card.address).take(3);
        let seeds = seeds.collect();
        let vms = cards.into_iter().map(|card| SimulatedVm {
            gateway: Gateway::new(Self::identity(&card), bounds()),
            card,
            start: 0,
            is_running: false,
            frozen_until: Millis(0),
            ticked: Millis(0),
            calls: Vec::new(),
        });
        let vms = vms.collect();
        let engines =
            (1..=engines).map(|number| said(server(&format!("e{number}"), ENGINES, "v1")));
        let bookings = (1..=4).map(|number| said(server(&format!("b{number}"), BOOKINGS, "v1")));
        let servers = engines
            .chain(bookings)
            .enumerate()
            .map(|(offset, record)| StreamRecord { offset: Offset(offset as u64), record });
        let servers = servers.collect();
        let mut crowd = Self {
            now: Millis(1_000),
            vms,
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            sequence: 0,
            polls: BTreeMap::new(),
            calls: 0,
            reads: Vec::new(),
            operators: Vec::new(),
            servers,
            published: Vec::new(),
            store_modes: BTreeMap::new(),
            cut: BTreeSet::new(),
            can_cut_vms_connect: false,
            seeds,
            permit_queries: BTreeMap::new(),
            crash_bytes: BTreeMap::new(),
            outbox: Vec::new(),
        };
        crowd.publish();
        crowd
    }

    fn identity(card: &PeerCard) -> VmIdentity {
        let PeerCard { vm, incarnation, data_centre, .. } = card.clone();
        VmIdentity { vm, incarnation, data_centre }
    }

    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// Publishes a configuration with the next revision.
    pub fn publish(&mut self) {
        let revision = self.operators.len() as u64 + 1;
        let record = StoreRecord::Configuration(Arc::new(document(revision)));
        self.published.push((Revision(revision), self.now));
        self.order(record);
    }

    /// Appends a record to the operators' stream.
    pub fn order(&mut self, record: StoreRecord) {
        let offset = Offset(self.operators.len() as u64);
        self.operators.push(StreamRecord { offset, record });
        let (due, waiting) = std::mem::take(&mut self.reads)
            .into_iter()
            .partition::<Vec<_>, _>(|poll| poll.stream == StoreStream::Operators);
        self.reads = waiting;
        for poll in due {
            self.answer_read(poll.vm, poll.start, poll.stream, poll.from);
        }
    }

    /// Replaces the entry of a server.
    pub fn register(&mut self, entry: ServerEntry) {
        let offset = Offset(self.servers.len() as u64);
        self.servers.push(StreamRecord { offset, record: said(entry) });
    }

    /// Returns the core of an entry VM.
    pub fn gateway(&self, vm: usize) -> &Gateway {
        &self.vms[vm].gateway
    }

    /// Starts or restarts an entry VM without any state.
    pub fn start(&mut self, vm: usize) {
        let (now, seeds) = (self.now, self.seeds.clone());
        let state = &mut self.vms[vm];
        state.start += 1;
        state.is_running = true;
        state.card.incarnation = Incarnation(now.0);
        state.gateway = Gateway::new(Self::identity(&state.card), bounds());
        state.gateway.set_relay(state.card.clone(), seeds);
        self.handle(vm, GatewayEvent::Tick);
    }

    /// Starts all entry VMs, ten per millisecond.
    pub fn start_all(&mut self) {
        for vm in 0..self.len() {
            self.start(vm);
            if vm % 10 == 9 {
                self.run(1);
            }
        }
    }

    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].is_running = false;
        self.vms[vm].start += 1;
    }

    pub fn freeze(&mut self, vm: usize, ms: u64) {
        self.vms[vm].frozen_until = self.now + Millis(ms);
    }

    pub fn is_ready(&self, vm: usize) -> bool {
        self.vms[vm].is_running && self.vms[vm].gateway.is_ready(self.now)
    }

    pub fn ready(&self) -> usize {
        (0..self.len()).filter(|vm| self.is_ready(*vm)).count()
    }

    /// Returns the number of calls to the store since a time.
    pub fn calls_since(&self, from: Millis) -> usize {
        self.vms.iter().flat_map(|vm| &vm.calls).filter(|at| **at >= from).count()
    }

    /// Returns the entry VMs that called the store since a time.
    pub fn callers_since(&self, from: Millis) -> Vec<usize> {
        let calls = |vm: &usize| self.vms[*vm].calls.iter().any(|at| *at >= from);
        (0..self.len()).filter(calls).collect()
    }

    /// Returns the revision of an entry VM's current configuration.
    pub fn revision(&self, vm: usize) -> Option<Revision> {
        self.vms[vm].gateway.document().map(|document| document.revision)
    }

    /// Advances time. Fails if an entry VM is ready with a configuration that was replaced longer
    /// ago than the bound on key removal.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + Millis(ms);
        loop {
            let delivery = self.queue.peek().map(|Reverse((at, _))| *at);
            let wake = (0..self.len()).filter(|vm| self.is_awake(*vm)).map(|vm| {
                let state = &self.vms[vm];
                // At most one tick a millisecond, even if the core asks to be woken at once.
                let least = u64::from(state.ticked == self.now);
                (state.gateway.next_wake(self.now).max(self.now + Millis(least)), vm)
            });
            let wake = wake.min();
            let next = delivery.into_iter().chain(wake.map(|(at, _)| at)).min();
            let Some(next) = next.filter(|next| *next <= end) else { break };
            self.now = self.now.max(next);
            if delivery.is_some_and(|at| at <= next) {
                let Some(Reverse((_, id))) = self.queue.pop() else { break };
                let delivery = self.deliveries.remove(&id).unwrap();
                self.deliver(delivery);
            } else if let Some((_, vm)) = wake {
                self.vms[vm].ticked = self.now;
                self.handle(vm, GatewayEvent::Tick);
            }
            self.check();
        }
        self.now = end;
    }

    fn check(&self) {
        let bound = bounds().key_removal_ms;
        let due = self.published.iter().rfind(|(_, at)| *at + bound < self.now);
        let Some((due, _)) = due else { return };
        for vm in (0..self.len()).filter(|vm| self.is_awake(*vm) && self.is_ready(*vm)) {
            let known = self.revision(vm);
            assert!(
                known >= Some(*due),
                "VM {vm} is ready with {known:?}, at least {due:?} is required"
            );
        }
    }

    fn count_crash_bytes(&mut self, vms: [usize; 2], news: &CrashUpdate) {
        if !news.notices.is_empty() {
            let bytes = rmp_serde::to_vec(news).unwrap().len() as u64;
            for vm in vms {
                *self.crash_bytes.entry(vm).or_default() += bytes;
            }
        }
    }

    fn is_awake(&self, vm: usize) -> bool {
        self.vms[vm].is_running && self.now >= self.vms[vm].frozen_until
    }

    fn send(&mut self, at: Millis, delivery: Delivery) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.deliveries.insert(self.sequence, delivery);
    }

    fn send_event(&mut self, after: u64, vm: usize, start: u64, event: GatewayEvent) {
        let event = Box::new(event);
        self.send(self.now + Millis(after), Delivery::Event { vm, start, event });
    }

    fn deliver(&mut self, delivery: Delivery) {
        let target = match &delivery {
            Delivery::Event { vm, .. } => Some(*vm),
            Delivery::Poll { to, .. } => Some(*to),
            Delivery::Call { .. }
            | Delivery::LongPollExpired { .. }
            | Delivery::PollTimeout { .. } => None,
        };
        if let Some(frozen) = target.map(|vm| self.vms[vm].frozen_until)
            && self.now < frozen
        {
            self.send(frozen, delivery);
            return;
        }
        match delivery {
            Delivery::Event { vm, start, event } => {
                if self.vms[vm].is_running && self.vms[vm].start == start {
                    self.handle(vm, *event);
                }
            }
            Delivery::Call { vm, start, read } => self.on_store_call(vm, start, &read),
            Delivery::LongPollExpired { id } => {
                let Some(index) = self.reads.iter().position(|read| read.id == id) else { return };
                let poll = self.reads.swap_remove(index);
                self.answer_read(poll.vm, poll.start, poll.stream, poll.from);
            }
            Delivery::Poll { id, to, poll } => {
                if self.vms[to].is_running {
                    self.handle(to, GatewayEvent::Polled { call: CallId(id), poll });
                }
            }
            Delivery::PollTimeout { id } => {
                if let Some(asked) = self.polls.remove(&id) {
                    let PendingPoll { from, start, peer, purpose } = asked;
                    let event = GatewayEvent::PeerAnswered { peer, purpose, answer: None };
                    self.send_event(0, from, start, event);
                }
            }
        }
    }

    fn on_store_call(&mut self, vm: usize, start: u64, read: &FeedRead) {
        let (stream, from, wait) = match read {
            FeedRead::Newest { stream, .. } => (*stream, None, Millis(0)),
            FeedRead::From { stream, from, wait } => (*stream, Some(*from), *wait),
        };
        let Some(from) = from else {
            let all = self.stream(stream);
            let is_newest = |index: usize| {
                let record = &all[index].record;
                let is_dropped =
                    matches!(record, StoreRecord::Evacuation(EvacuationOrder::TakeBack(_)));
                let later = &all[index + 1..];
                !is_dropped && !later.iter().any(|other| other.record.key() == record.key())
            };
            let records = (0..all.len()).filter(|index| is_newest(*index));
            let page = NewestPage {
                records: records.map(|index| all[index].clone()).collect(),
                end: Offset(all.len() as u64),
                more_after: None,
            };
            let answer = FeedAnswer::Newest(Ok(page));
            let event = GatewayEvent::Read { stream, answer };
            self.send_event(Self::STORE_ROUND_TRIP_MS / 2, vm, start, event);
            return;
        };
        let has_news = (from.0 as usize) < self.stream(stream).len();
        if has_news || wait == Millis(0) {
            self.answer_read(vm, start, stream, from);
            return;
        }
        self.calls += 1;
        let id = self.calls;
        self.reads.push(LongPoll { id, vm, start, stream, from });
        self.send(self.now + wait, Delivery::LongPollExpired { id });
    }

    fn stream(&self, stream: StoreStream) -> &[StreamRecord] {
        match stream {
            StoreStream::Operators => &self.operators,
            StoreStream::Servers => &self.servers,
            StoreStream::Rollouts | StoreStream::Evidence => &[],
        }
    }

    fn answer_read(&mut self, vm: usize, start: u64, stream: StoreStream, from: Offset) {
        let all = self.stream(stream);
        let end = Offset(all.len() as u64);
        let records = all[(from.0 as usize).min(all.len())..].to_vec();
        let answer = FeedAnswer::From(Ok(StorePage { records, next: end, end }));
        self.send_event(
            Self::STORE_ROUND_TRIP_MS / 2,
            vm,
            start,
            GatewayEvent::Read { stream, answer },
        );
    }

    fn handle(&mut self, vm: usize, event: GatewayEvent) {
        let start = self.vms[vm].start;
        let commands = self.vms[vm].gateway.handle(self.now, event);
        for command in commands {
            match command {
                GatewayCommand::Read(read) => self.call_store(vm, start, read),
                GatewayCommand::AskPeer { peer, address, poll } => {
                    self.ask(vm, peer, address, poll);
                }
                GatewayCommand::AnswerPeer { call, answer } => {
                    let Some(asked) = self.polls.get(&call.0) else { continue };
                    if self.is_cut(vm, asked.from) {
                        continue;
                    }
                    let Some(asked) = self.polls.remove(&call.0) else { continue };
                    let PendingPoll { from, start, purpose, .. } = asked;
                    let peer = Some(answer.from.vm.clone());
                    self.count_crash_bytes([vm, from], &answer.crashes);
                    let event = GatewayEvent::PeerAnswered { peer, purpose, answer: Some(answer) };
                    self.send_event(Self::NETWORK_DELAY_MS, from, start, event);
                }
                other => self.outbox.push((vm, other)),
            }
        }
    }

    /// Delivers an event to an entry VM after a delay in milliseconds, unless it restarts before.
    pub fn tell(&mut self, vm: usize, after: u64, event: GatewayEvent) {
        self.send_event(after, vm, self.vms[vm].start, event);
    }

    fn call_store(&mut self, vm: usize, start: u64, read: FeedRead) {
        self.vms[vm].calls.push(self.now);
        let (stream, is_newest, wait) = match &read {
            FeedRead::Newest { stream, .. } => (*stream, true, Millis(0)),
            FeedRead::From { stream, wait, .. } => (*stream, false, *wait),
        };
        let (error, after) = match self.store_modes.get(&vm).copied().unwrap_or(StoreMode::Serves) {
            StoreMode::Serves => {
                let at = self.now + Millis(Self::STORE_ROUND_TRIP_MS / 2);
                self.send(at, Delivery::Call { vm, start, read });
                return;
            }
            StoreMode::Refuses => (StoreError::Refused { status: 503 }, Self::STORE_ROUND_TRIP_MS),
            StoreMode::Silent => {
                let cause = "no answer in time".into();
                (StoreError::Lost { cause }, Self::CALL_TIMEOUT_MS + wait.0)
            }
        };
        let answer =
            if is_newest { FeedAnswer::Newest(Err(error)) } else { FeedAnswer::From(Err(error)) };
        self.send_event(after, vm, start, GatewayEvent::Read { stream, answer });
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let (one_cut, other_cut) = (self.cut.contains(&one), self.cut.contains(&other));
        one != other && (one_cut != other_cut || (one_cut && !self.can_cut_vms_connect))
    }

    fn ask(&mut self, from: usize, peer: Option<VmId>, address: SocketAddr, poll: Box<RelayPoll>) {
        let start = self.vms[from].start;
        let to = usize::from(address.port()) - 1_000;
        self.calls += 1;
        let id = self.calls;
        self.count_crash_bytes([from, to], &poll.crashes);
        if poll.purpose == PollPurpose::Permits {
            *self.permit_queries.entry(to).or_default() += 1;
        }
        let asked = PendingPoll { from, start, peer, purpose: poll.purpose };
        self.polls.insert(id, asked);
        let is_cut = self.is_cut(from, to);
        let refuses = !is_cut && !self.vms[to].is_running;
        let timeout =
            if refuses { Self::NETWORK_DELAY_MS } else { poll.wait.0 + Self::POLL_TIMEOUT_MS };
        self.send(self.now + Millis(timeout), Delivery::PollTimeout { id });
        if !is_cut {
            let at = self.now + Millis(Self::NETWORK_DELAY_MS);
            self.send(at, Delivery::Poll { id, to, poll });
        }
    }
}
