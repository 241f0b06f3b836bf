//! A simulated cluster of entry VMs, with a fake log, fake connections between the VMs and fake
//! servers that count how often each request runs.

use guavapass::{
    billing::{BillFold, BillReport, UnsettledRule},
    configuration::{ConfigurationChange, ConfigurationDocument, ConfigurationRecord, hash_key},
    control::*,
    ids::*,
    peer::{KeyRing, PeerMessage, PeerName},
    ports::*,
    routing::CheapestPolicy,
    units::{Millis, Tokens},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// The latency of a message between entry VMs and of an operation on the log.
pub const LATENCIES_MS: (u64, u64) = (LINK_MS, LOG_MS);
pub const WALL_START_MS: u64 = 1_760_000_000_000;
const LINK_MS: u64 = 1;
const LOG_MS: u64 = 3;
const CALL_MS: u64 = 20;

const DOCUMENT: &str = r#"{
    "schema": 1,
    "pools": { "booking": {
        "kind": "service", "slots": 64, "long_slots": 64, "progress_timeout_ms": 5000
    } },
    "models": {},
    "services": {
        "booking": { "pool": "booking", "repeatable": false, "cost_per_call": 1.0, "expected_ms": 20 },
        "status": { "pool": "booking", "repeatable": true, "cost_per_call": 1.0, "expected_ms": 20 }
    },
    "teams": { "crews": {
        "keys": [{ "subscriber": "ana", "sha256": "KEY" }],
        "services": ["booking", "status"], "quality_target": 0.85, "deadline_ms": 10000
    } },
    "presets": { "ordinary": {} },
    "preset": "ordinary"
}"#;

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerAnswer {
    /// The complete answer of a server to the request with this label.
    Whole(u64),
    /// A refusal by an entry VM.
    Refused(Refusal),
    /// The text of an issued ticket.
    Ticket(String),
}

/// A request as its caller sends it. The label stands for the body.
#[derive(Clone, Debug)]
pub struct Call {
    pub service: &'static str,
    pub label: u64,
    pub key: Option<String>,
    pub deadline: Option<Millis>,
}

impl Call {
    pub fn booking(label: u64, key: &str) -> Self {
        Self { service: "booking", label, key: Some(key.into()), deadline: None }
    }

    pub fn status(label: u64) -> Self {
        Self { service: "status", label, key: None, deadline: None }
    }
}

/// A request at one entry VM: the index of the VM and the number of the request there.
pub type Place = (usize, RequestNumber);

pub struct Node {
    pub control: Option<Control>,
    pub name: PeerName,
    pub zone: usize,
    pub paused: bool,
    pub stopped: bool,
    queued_events: Vec<Event>,
    stored_answers: BTreeMap<RequestNumber, u64>,
    last_number: u64,
}

#[derive(Debug)]
enum Due {
    Event(usize, Incarnation, Event),
    Write(usize, Incarnation, AttemptStart),
    Answer(Place, CallerAnswer),
}

#[derive(Default)]
pub struct FakeLog {
    pub streams: BTreeMap<StreamId, Vec<bytes::Bytes>>,
    pub down: bool,
    pub lose_next: u32,
    pub appends: BTreeMap<StreamId, u64>,
    waiting: Vec<(usize, Incarnation, StreamId, Offset, Millis)>,
}

/// The faults to inject at servers.
#[derive(Default)]
pub struct ServerFaults {
    /// The number of next calls that run but whose answers are lost.
    pub lose_answers: u32,
    /// The number of next calls whose connections fail.
    pub unreachable: u32,
    /// The labels of requests that crash their server.
    pub crash_labels: BTreeSet<u64>,
}

pub struct OnceCluster {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub log: FakeLog,
    pub faults: ServerFaults,
    pub runs: BTreeMap<u64, u32>,
    pub crashes: Vec<ServerId>,
    pub answers: BTreeMap<Place, CallerAnswer>,
    pub answered: BTreeMap<Place, Millis>,
    pub labels: BTreeMap<Place, u64>,
    keys: BTreeMap<Place, String>,
    pub false_not_run: Vec<(Place, Refusal)>,
    pub drop_per_mille: u64,
    pub duplicate_per_mille: u64,
    pub cut: bool,
    /// The number of messages between entry VMs and their bytes, by kind.
    pub traffic: BTreeMap<&'static str, (u64, u64)>,
    /// When each request was first sent to a server.
    pub started: BTreeMap<Place, Millis>,
    pub in_flight: BTreeMap<(Place, AttemptId), ServerId>,
    forwarded: BTreeMap<Place, (Place, Refusal)>,
    due: BTreeMap<(Millis, u64), Due>,
    due_count: u64,
    seed: u64,
    zones: usize,
    servers: usize,
}

impl OnceCluster {
    pub fn new(vms: usize, zones: usize, servers: usize, seed: u64) -> Self {
        let mut cluster = Self {
            now: Millis(1_000),
            nodes: Vec::new(),
            log: FakeLog::default(),
            faults: ServerFaults::default(),
            runs: BTreeMap::new(),
            crashes: Vec::new(),
            answers: BTreeMap::new(),
            answered: BTreeMap::new(),
            labels: BTreeMap::new(),
            keys: BTreeMap::new(),
            false_not_run: Vec::new(),
            drop_per_mille: 0,
            duplicate_per_mille: 0,
            cut: false,
            traffic: BTreeMap::new(),
            started: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            due: BTreeMap::new(),
            due_count: 0,
            seed,
            zones,
            servers,
        };
        cluster.publish();
        for index in 0..vms {
            let name = PeerName {
                vm: format!("vm-{index:03}").parse().unwrap(),
                incarnation: Incarnation(1),
            };
            let control = Self::control(&name, index, index % zones);
            cluster.nodes.push(Node {
                control: Some(control),
                name,
                zone: index % zones,
                paused: false,
                stopped: false,
                queued_events: Vec::new(),
                stored_answers: BTreeMap::new(),
                last_number: 0,
            });
        }
        cluster.run(2_500);
        cluster
    }

    fn control(name: &PeerName, index: usize, zone: usize) -> Control {
        let identity = VmIdentity {
            vm: name.vm.clone(),
            incarnation: name.incarnation,
            data_centre: format!("dc-{zone}").parse().unwrap(),
        };
        let mut control = Control::new(identity, Box::new(CheapestPolicy));
        control.set_cluster(ClusterSettings {
            address: Some(Self::address(index)),
            seeds: Vec::new(),
            session_keys: KeyRing::new([&b"a secret of the peers"[..]]),
        });
        control.set_balancer_lag(Millis(200));
        control
    }

    fn publish(&mut self) {
        let text = DOCUMENT.replace("KEY", &hash_key("secret"));
        let document: ConfigurationDocument = serde_json::from_str(&text).unwrap();
        let record = ConfigurationRecord {
            schema: 1,
            publication: "first".into(),
            base: Revision(0),
            change: ConfigurationChange::Document(Box::new(document)),
        };
        let record = serde_json::to_vec(&record).unwrap().into();
        self.log.streams.insert("configuration".parse().unwrap(), vec![record]);
    }

    fn chance(&mut self, per_mille: u64) -> bool {
        self.seed = xxhash_rust::xxh3::xxh3_64(&self.seed.to_le_bytes());
        self.seed % 1_000 < per_mille
    }

    pub fn address(index: usize) -> SocketAddr {
        SocketAddr::from(([127, 0, (index >> 8) as u8, index as u8], 9))
    }

    fn by_address(address: SocketAddr) -> usize {
        let SocketAddr::V4(address) = address else { unreachable!() };
        let [_, _, high, low] = address.ip().octets();
        usize::from(high) << 8 | usize::from(low)
    }

    fn members(&self) -> MembershipList {
        let entry_vms = self.nodes.iter().enumerate().map(|(index, node)| VmMember {
            id: node.name.vm.clone(),
            address: Self::address(index),
            data_centre: format!("dc-{}", node.zone).parse().unwrap(),
            state: MemberState::Live,
        });
        let backend_servers = (0..self.servers).map(|index| ServerMember {
            id: format!("server-{index}").parse().unwrap(),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: "dc-0".parse().unwrap(),
            pool: "booking".parse().unwrap(),
            state: MemberState::Live,
        });
        MembershipList {
            entry_vms: entry_vms.collect(),
            backend_servers: backend_servers.collect(),
        }
    }

    /// Returns an idempotency key that was generated `age` milliseconds ago.
    pub fn key(&self, number: u64, age: u64) -> String {
        let time = WALL_START_MS + self.now.0 - age;
        let mut random = [7; 10];
        random[2..].copy_from_slice(&number.to_be_bytes());
        uuid::Builder::from_unix_timestamp_millis(time, &random).into_uuid().to_string()
    }

    fn push(&mut self, after: u64, due: Due) {
        self.due_count += 1;
        self.due.insert((self.now + Millis(after), self.due_count), due);
    }

    /// Sends a call to a VM and returns its place.
    pub fn send(&mut self, vm: usize, call: &Call) -> Place {
        let target = ArrivalTarget::Service(call.service.into());
        self.arrive(vm, call, target, ArrivalSource::Caller)
    }

    /// Requests a ticket from a VM; none if it does not issue one within 1 ms.
    pub fn ticket(&mut self, vm: usize) -> Option<String> {
        let call = Call { service: "booking", label: u64::MAX, key: None, deadline: None };
        let place = self.arrive(vm, &call, ArrivalTarget::Ticket, ArrivalSource::Caller);
        self.run(1);
        match self.answers.remove(&place) {
            Some(CallerAnswer::Ticket(ticket)) => Some(ticket),
            _ => None,
        }
    }

    fn arrive(
        &mut self,
        vm: usize,
        call: &Call,
        target: ArrivalTarget,
        source: ArrivalSource,
    ) -> Place {
        let node = &mut self.nodes[vm];
        node.last_number += 1;
        let request = RequestNumber(node.last_number + (node.name.incarnation.0 << 32));
        let incarnation = node.name.incarnation;
        let arrival = Arrival {
            request,
            key: Some(hash_key("secret")),
            target,
            mode: AnswerMode::Whole,
            prompt_tokens: Tokens(1),
            max_tokens: Tokens(1),
            prefix: 0,
            fingerprint: call.label,
            session: None,
            idempotency_key: call.key.as_ref().map(Into::into),
            deadline: call.deadline,
            source,
        };
        self.labels.insert((vm, request), call.label);
        if let Some(key) = &call.key {
            self.keys.insert((vm, request), key.clone());
        }
        self.push(0, Due::Event(vm, incarnation, Event::Arrived(arrival)));
        (vm, request)
    }

    /// Ends a VM like a crash, without answers to its callers.
    pub fn kill(&mut self, vm: usize) {
        self.nodes[vm].control = None;
    }

    /// Replaces a VM by a new incarnation, which has lost all state.
    pub fn restart(&mut self, vm: usize) {
        let mut name = self.nodes[vm].name.clone();
        name.incarnation.0 += 1;
        let zone = self.nodes[vm].zone;
        let control = Self::control(&name, vm, zone);
        let last_number = self.nodes[vm].last_number;
        self.nodes[vm] = Node {
            control: Some(control),
            name,
            zone,
            paused: false,
            stopped: false,
            queued_events: Vec::new(),
            stored_answers: BTreeMap::new(),
            last_number,
        };
    }

    pub fn pause(&mut self, vm: usize) {
        self.nodes[vm].paused = true;
    }

    pub fn resume(&mut self, vm: usize) {
        self.nodes[vm].paused = false;
        let incarnation = self.nodes[vm].name.incarnation;
        for event in std::mem::take(&mut self.nodes[vm].queued_events) {
            self.push(0, Due::Event(vm, incarnation, event));
        }
    }

    pub fn shut_down(&mut self, vm: usize) {
        let incarnation = self.nodes[vm].name.incarnation;
        self.push(0, Due::Event(vm, incarnation, Event::Shutdown));
    }

    pub fn caller_gone(&mut self, place: Place) {
        let incarnation = self.nodes[place.0].name.incarnation;
        let event = Event::CallerGone { request: place.1 };
        self.push(0, Due::Event(place.0, incarnation, event));
    }

    /// Advances the simulated time by some milliseconds and handles what falls due.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + Millis(millis);
        while self.now < end {
            self.now = self.now + Millis(1);
            while let Some(entry) = self.due.first_entry()
                && entry.key().0 <= self.now
            {
                let due = entry.remove();
                self.handle_due(due);
            }
            if self.now.0.is_multiple_of(10) {
                self.tick();
            }
        }
    }

    fn tick(&mut self) {
        let (late, waiting) = std::mem::take(&mut self.log.waiting)
            .into_iter()
            .partition::<Vec<_>, _>(|(.., until)| *until <= self.now);
        self.log.waiting = waiting;
        for (vm, incarnation, stream, from, _) in late {
            self.read(vm, incarnation, stream, from, Millis(0));
        }
        for vm in 0..self.nodes.len() {
            let incarnation = self.nodes[vm].name.incarnation;
            if self.now.0.is_multiple_of(1_000) {
                let unix = Millis(WALL_START_MS + self.now.0);
                self.handle(vm, incarnation, Event::WallClock { unix });
            }
            if !self.nodes[vm].paused {
                self.handle(vm, incarnation, Event::Tick);
            }
        }
    }

    fn handle_due(&mut self, due: Due) {
        match due {
            Due::Event(vm, incarnation, event) => self.handle(vm, incarnation, event),
            Due::Write(vm, incarnation, start) => self.write(vm, incarnation, start),
            Due::Answer(place, answer) => self.answer(place, answer),
        }
    }

    fn handle(&mut self, vm: usize, incarnation: Incarnation, event: Event) {
        let node = &mut self.nodes[vm];
        if node.name.incarnation != incarnation || node.stopped {
            return;
        }
        if node.paused {
            node.queued_events.push(event);
            return;
        }
        let Some(control) = &mut node.control else { return };
        for command in control.handle(self.now, event) {
            self.execute(vm, incarnation, command);
        }
    }

    fn execute(&mut self, vm: usize, incarnation: Incarnation, command: Command) {
        match command {
            Command::Start(start) => {
                self.started.entry((vm, start.request)).or_insert(self.now);
                self.push(1, Due::Write(vm, incarnation, start));
            }
            Command::Refuse { request, refusal } => {
                self.answer((vm, request), CallerAnswer::Refused(refusal));
            }
            Command::IssueTicket { request, ticket } => {
                self.answer((vm, request), CallerAnswer::Ticket(ticket.into()));
            }
            Command::Replay { request, first, otherwise } => {
                let kept = self.nodes[vm].stored_answers.get(&first).copied();
                let answer = kept.map_or(CallerAnswer::Refused(otherwise), CallerAnswer::Whole);
                self.answer((vm, request), answer);
            }
            Command::Forward { request, address, otherwise } => {
                self.forward((vm, request), Self::by_address(address), otherwise);
            }
            Command::Append { append, stream, records } => {
                self.append(vm, incarnation, append, &stream, records);
            }
            Command::ReadLog { stream, from, wait } => {
                self.read(vm, incarnation, stream, from, wait);
            }
            Command::ReadMembers => {
                let list = self.members();
                self.push(LOG_MS, Due::Event(vm, incarnation, Event::MembersRead(Ok(list))));
            }
            Command::Send { address, message, .. } => self.send_message(vm, address, message),
            Command::Cancel { request, attempt } => {
                self.fail_attempt((vm, request), attempt, AttemptFault::Cancelled);
            }
            Command::Stop => self.nodes[vm].stopped = true,
            _ => {}
        }
    }

    fn forward(&mut self, from: Place, to: usize, otherwise: Refusal) {
        let reachable = self.nodes[to].control.is_some()
            && !self.nodes[to].stopped
            && !self.is_partitioned(from.0, to);
        if !reachable {
            self.answer(from, CallerAnswer::Refused(otherwise));
            return;
        }
        let label = self.labels[&from];
        let call = self.forwarded_call(from, label);
        let target = ArrivalTarget::Service("booking".into());
        let place = self.arrive(to, &call, target, ArrivalSource::Peer);
        self.forwarded.insert(place, (from, otherwise));
    }

    fn forwarded_call(&self, place: Place, label: u64) -> Call {
        Call { service: "booking", label, key: self.keys.get(&place).cloned(), deadline: None }
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.cut && (self.nodes[a].zone == 0) != (self.nodes[b].zone == 0)
    }

    fn send_message(&mut self, from: usize, address: SocketAddr, message: PeerMessage) {
        let to = Self::by_address(address);
        let name = self.nodes[from].name.clone();
        let size = rmp_serde::to_vec(&(&name, &message)).unwrap().len() as u64;
        let traffic = self.traffic.entry(message.kind()).or_default();
        *traffic = (traffic.0 + 1, traffic.1 + size);
        if self.is_partitioned(from, to)
            || self.nodes[to].control.is_none()
            || self.nodes[to].stopped
        {
            let (vm, incarnation) =
                (self.nodes[to].name.vm.clone(), self.nodes[from].name.incarnation);
            let event = Event::SendFailed { to: vm };
            self.push(LINK_MS, Due::Event(from, incarnation, event));
            return;
        }
        if self.chance(self.drop_per_mille) {
            return;
        }
        let incarnation = self.nodes[to].name.incarnation;
        let event = Event::FromPeer { from: name, message };
        if self.chance(self.duplicate_per_mille) {
            self.push(LINK_MS * 40, Due::Event(to, incarnation, event.clone()));
        }
        self.push(LINK_MS, Due::Event(to, incarnation, event));
    }

    fn append(
        &mut self,
        vm: usize,
        incarnation: Incarnation,
        append: AppendId,
        stream: &StreamId,
        records: Vec<bytes::Bytes>,
    ) {
        let address = "log".into();
        let result = if self.log.down {
            Err(PlatformError::Refused { address, status: 503 })
        } else {
            *self.log.appends.entry(stream.clone()).or_default() += 1;
            let kept = self.log.streams.entry(stream.clone()).or_default();
            let offset = Offset(kept.len() as u64);
            kept.extend(records);
            self.answer_waiting_reads(stream);
            if self.log.lose_next > 0 {
                self.log.lose_next -= 1;
                Err(PlatformError::Lost { address, cause: "lost".into() })
            } else {
                Ok(offset)
            }
        };
        self.push(LOG_MS, Due::Event(vm, incarnation, Event::Appended { append, result }));
    }

    fn answer_waiting_reads(&mut self, stream: &StreamId) {
        let (answered_reads, waiting) = std::mem::take(&mut self.log.waiting)
            .into_iter()
            .partition::<Vec<_>, _>(|(_, _, waited, ..)| waited == stream);
        self.log.waiting = waiting;
        for (vm, incarnation, stream, from, _) in answered_reads {
            self.read(vm, incarnation, stream, from, Millis(0));
        }
    }

    fn read(
        &mut self,
        vm: usize,
        incarnation: Incarnation,
        stream: StreamId,
        from: Offset,
        wait: Millis,
    ) {
        let kept = self.log.streams.get(&stream).map_or(0, Vec::len) as u64;
        if !self.log.down && from.0 >= kept && wait > Millis(0) {
            self.log.waiting.push((vm, incarnation, stream, from, self.now + wait));
            return;
        }
        let result = if self.log.down {
            Err(PlatformError::Refused { address: "log".into(), status: 503 })
        } else {
            let kept = self.log.streams.get(&stream).map_or(&[][..], Vec::as_slice);
            let records = (from.0..kept.len() as u64)
                .map(|at| LogRecord { offset: Offset(at), record: kept[at as usize].clone() });
            let next = Offset(from.0.max(kept.len() as u64));
            Ok(LogPage { oldest: Offset(0), next, records: records.collect() })
        };
        self.push(LOG_MS, Due::Event(vm, incarnation, Event::LogRead { stream, result }));
    }

    /// Sends a request to its server, unless the VM was killed or replaced. A paused VM sends it
    /// after the pause.
    fn write(&mut self, vm: usize, incarnation: Incarnation, start: AttemptStart) {
        let node = &self.nodes[vm];
        if node.name.incarnation != incarnation || node.control.is_none() {
            return;
        }
        if node.paused {
            self.push(1, Due::Write(vm, incarnation, start));
            return;
        }
        let (request, attempt) = (start.request, start.attempt);
        let place = (vm, request);
        let report = |report| Event::Attempt { request, attempt, report };
        let failed = |fault| {
            let output_tokens = Tokens(0);
            report(AttemptReport::Ended(AttemptOutcome::Failed { fault, output_tokens }))
        };
        if self.faults.unreachable > 0 {
            self.faults.unreachable -= 1;
            let event = failed(AttemptFault::Unreachable);
            self.push(1, Due::Event(vm, incarnation, event));
            return;
        }
        let label = self.labels[&place];
        *self.runs.entry(label).or_default() += 1;
        self.push(0, Due::Event(vm, incarnation, report(AttemptReport::Writing)));
        if self.faults.crash_labels.contains(&label) {
            self.crashes.push(start.server.clone());
            self.crash(&start.server);
            self.push(CALL_MS, Due::Event(vm, incarnation, failed(AttemptFault::Closed)));
            return;
        }
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            self.push(CALL_MS, Due::Event(vm, incarnation, failed(AttemptFault::Closed)));
            return;
        }
        self.in_flight.insert((place, attempt), start.server);
        let outcome = AttemptOutcome::Whole { status: 200, usage: TokenUsage::default() };
        self.push(CALL_MS - 1, Due::Event(vm, incarnation, report(AttemptReport::Head)));
        let ended = report(AttemptReport::Ended(outcome));
        self.push(CALL_MS, Due::Answer(place, CallerAnswer::Whole(label)));
        self.push(CALL_MS, Due::Event(vm, incarnation, ended));
    }

    /// Fails the other attempts that run on a crashed server.
    fn crash(&mut self, server: &ServerId) {
        let broken = self.in_flight.iter().filter(|(_, on)| *on == server);
        let broken: Vec<(Place, AttemptId)> = broken.map(|(key, _)| *key).collect();
        for (place, attempt) in broken {
            self.fail_attempt(place, attempt, AttemptFault::Closed);
        }
    }

    fn fail_attempt(&mut self, place: Place, attempt: AttemptId, fault: AttemptFault) {
        self.in_flight.remove(&(place, attempt));
        let stale = self.due.iter().filter(|(_, due)| match due {
            Due::Answer(at, CallerAnswer::Whole(_)) => *at == place,
            Due::Event(vm, _, Event::Attempt { request, attempt: id, .. }) => {
                (*vm, *request, *id) == (place.0, place.1, attempt)
            }
            _ => false,
        });
        let stale: Vec<(Millis, u64)> = stale.map(|(key, _)| *key).collect();
        for key in stale {
            self.due.remove(&key);
        }
        let outcome = AttemptOutcome::Failed { fault, output_tokens: Tokens(0) };
        let report = AttemptReport::Ended(outcome);
        let event = Event::Attempt { request: place.1, attempt, report };
        let incarnation = self.nodes[place.0].name.incarnation;
        self.push(0, Due::Event(place.0, incarnation, event));
    }

    fn answer(&mut self, place: Place, answer: CallerAnswer) {
        if let CallerAnswer::Whole(label) = answer {
            self.in_flight.retain(|(at, _), _| *at != place);
            if self.nodes[place.0].control.is_none() {
                return;
            }
            self.nodes[place.0].stored_answers.entry(place.1).or_insert(label);
        }
        if let CallerAnswer::Refused(refusal) = &answer {
            let label = self.labels[&place];
            let ran = self.runs.get(&label).is_some_and(|runs| *runs > 0);
            if refusal.run == RunState::NotRun && ran {
                self.false_not_run.push((place, refusal.clone()));
            }
        }
        if let Some((from, _)) = self.forwarded.remove(&place) {
            self.answer(from, answer);
            return;
        }
        if self.answers.contains_key(&place) {
            return;
        }
        self.answered.insert(place, self.now);
        self.answers.insert(place, answer);
    }

    /// Returns the bills that result from the log.
    pub fn bills(&self) -> BillFold {
        let mut fold = BillFold::default();
        let stream: StreamId = "bills".parse().unwrap();
        for (offset, record) in self.log.streams.get(&stream).into_iter().flatten().enumerate() {
            fold.fold(&LogRecord { offset: Offset(offset as u64), record: record.clone() });
        }
        fold
    }

    pub fn report(&self) -> BillReport {
        BillReport::of(&self.bills(), UnsettledRule::Estimate, None, Millis(0))
    }

    /// Returns the number of bills and how many of them are unsettled.
    pub fn billed(&self) -> (u64, u64) {
        let teams = self.report().teams;
        teams.values().fold((0, 0), |sum, total| (sum.0 + total.requests, sum.1 + total.unsettled))
    }

    pub fn run_state(&self, place: Place) -> Option<RunState> {
        match self.answers.get(&place) {
            Some(CallerAnswer::Refused(refusal)) => Some(refusal.run),
            _ => None,
        }
    }

    pub fn is_whole(&self, place: Place) -> bool {
        self.answers.get(&place) == Some(&CallerAnswer::Whole(self.labels[&place]))
    }

    pub fn most_runs(&self) -> u32 {
        self.runs.values().copied().max().unwrap_or(0)
    }
}
