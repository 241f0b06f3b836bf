//! A simulation of entry VMs, a log and engines with faults, for tests of placement.

#![allow(dead_code)]

use guavapass::{
    configuration::{
        ConfigurationChange, ConfigurationDocument, ConfigurationRecord, FenceRule, hash_key,
    },
    control::*,
    ids::*,
    peer::{PeerMessage, PeerName},
    placement::{EngineOrder, LeaseRecord, OrderKind},
    ports::*,
    routing::CheapestPolicy,
    units::Millis,
};
use std::collections::{BTreeMap, BTreeSet};

/// The one-way latency of every call.
const LATENCY_MS: u64 = 2;
const STEP_MS: u64 = 100;

/// A message or call that has not arrived yet.
enum InFlight {
    ToVm(usize, Event),
    Order(usize, EngineOrder),
    Append(usize, AppendId, StreamId, Vec<bytes::Bytes>),
}

pub struct Vm {
    pub name: PeerName,
    control: Control,
    /// The difference between its clock and the simulated time.
    offset: u64,
    pub paused_until: u64,
    /// Orders that the VM has issued before this time are delayed until then on their way to
    /// engines.
    pub stalled_until: u64,
    pub cut_from_log: bool,
    queued_events: Vec<Event>,
}

pub struct Engine {
    pub id: ServerId,
    pub fence: Fence,
    pub accepted: Vec<(Fence, usize)>,
    pub loaded: BTreeSet<VersionId>,
    loading: BTreeMap<VersionId, u64>,
    pub member: MemberState,
    /// Whether orders to the engine are lost on their way.
    pub loses_orders: bool,
    pub runs: BTreeMap<(usize, RequestNumber), VersionId>,
}

pub struct World {
    pub now: u64,
    pub vms: Vec<Vm>,
    pub engines: Vec<Engine>,
    pub rule: FenceRule,
    pub load_ms: u64,
    /// The duration of a request.
    pub run_ms: u64,
    pub loads_per_minute: u64,
    pub log_down: bool,
    pub lose_appends: bool,
    pub lose_orders: bool,
    /// The number of appends to the `placement` stream.
    pub appends: u64,
    pub orders: u64,
    pub refused: u64,
    pub downloads: Vec<u64>,
    /// The live versions whose last copy was unloaded by an order, once for each such order.
    pub last_copies_lost: Vec<VersionId>,
    /// The number of orders that unloaded a version before all live engines refused the orders of
    /// earlier holders.
    pub early_unloads: u64,
    /// The number of requests that were refused, found their version not loaded, or lost it while
    /// they ran.
    pub failed_requests: u64,
    /// The number of refusals, by message.
    pub refusals: BTreeMap<String, u64>,
    pub started: u64,
    pub answered: u64,
    streams: BTreeMap<StreamId, Vec<bytes::Bytes>>,
    pending_reads: Vec<(usize, StreamId, Offset, u64)>,
    in_flight: Vec<(u64, InFlight)>,
    document: ConfigurationDocument,
    requests: u64,
}

pub fn version(text: &str) -> VersionId {
    text.parse().unwrap()
}

pub fn document(text: &str) -> ConfigurationDocument {
    serde_json::from_str(&text.replace("KEY", &hash_key("secret"))).unwrap()
}

impl World {
    pub fn new(
        vms: usize,
        engines: usize,
        rule: FenceRule,
        document: ConfigurationDocument,
    ) -> Self {
        let vms = (0..vms).map(Vm::new).collect();
        let engines = (0..engines).map(Engine::new).collect();
        let mut world = Self {
            now: 0,
            vms,
            engines,
            rule,
            load_ms: 5_000,
            run_ms: 3_000,
            loads_per_minute: 60,
            log_down: false,
            lose_appends: false,
            lose_orders: false,
            appends: 0,
            orders: 0,
            refused: 0,
            downloads: Vec::new(),
            last_copies_lost: Vec::new(),
            early_unloads: 0,
            failed_requests: 0,
            refusals: BTreeMap::new(),
            started: 0,
            answered: 0,
            streams: BTreeMap::new(),
            pending_reads: Vec::new(),
            in_flight: Vec::new(),
            document: document.clone(),
            requests: 0,
        };
        world.publish(document);
        world
    }

    /// Publishes a configuration document on the log.
    pub fn publish(&mut self, document: ConfigurationDocument) {
        let stream: StreamId = "configuration".parse().unwrap();
        let records = self.streams.entry(stream).or_default();
        let record = ConfigurationRecord {
            publication: format!("p{}", records.len()).into(),
            base: Revision(records.len() as u64),
            change: ConfigurationChange::Document(Box::new(document.clone())),
            schema: 1,
        };
        records.push(serde_json::to_vec(&record).unwrap().into());
        self.document = document;
    }

    pub fn document(&self) -> ConfigurationDocument {
        self.document.clone()
    }

    /// Loads a version on some engines without an order.
    pub fn preload(&mut self, engines: std::ops::Range<usize>, id: &str) {
        for engine in &mut self.engines[engines] {
            engine.loaded.insert(version(id));
        }
    }

    /// Empties an engine, as a restart does. Its fencing number is kept, as engines that refuse
    /// older ones have to store it.
    pub fn restart_engine(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        engine.loaded.clear();
        engine.loading.clear();
        engine.runs.clear();
    }

    /// Replaces a VM by a new incarnation, which has lost all state.
    pub fn replace_vm(&mut self, index: usize) {
        let incarnation = self.vms[index].name.incarnation.0 + 1;
        self.vms[index] = Vm::with_incarnation(index, incarnation);
        self.pending_reads.retain(|(vm, ..)| *vm != index);
        self.in_flight
            .retain(|(_, arriving)| !matches!(arriving, InFlight::ToVm(vm, _) if *vm == index));
    }

    pub fn copies(&self, id: &str) -> usize {
        self.engines.iter().filter(|engine| engine.loaded.contains(&version(id))).count()
    }

    /// Returns the first VM that considers itself the holder of the lease, with its fencing number.
    pub fn holder(&self) -> Option<(usize, Fence)> {
        (0..self.vms.len()).find_map(|index| {
            let statuses = self.status(index);
            let status = statuses.iter().find(|status| status.held_here)?;
            Some((index, status.fence?))
        })
    }

    pub fn status(&self, vm: usize) -> Vec<guavapass::placement::PlacementStatus> {
        let vm = &self.vms[vm];
        vm.control.placement_status(Millis(self.now + vm.offset))
    }

    /// Advances the simulated time and handles what falls due.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.end_runs();
            self.deliver();
            self.load_engines();
            self.answer_reads();
            for index in 0..self.vms.len() {
                self.handle_event(index, Event::Tick);
            }
        }
    }

    /// Advances the simulated time until a condition holds, and returns how long that took; none if
    /// the limit was reached.
    pub fn run_until(&mut self, limit_ms: u64, holds: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now < start + limit_ms {
            if holds(self) {
                return Some(self.now - start);
            }
            self.run(STEP_MS);
        }
        None
    }

    /// Sends a caller's request to a VM.
    pub fn ask(&mut self, vm: usize, model: &str) {
        self.requests += 1;
        let arrival = Arrival {
            request: RequestNumber(self.requests),
            key: Some(hash_key("secret")),
            target: ArrivalTarget::Model(model.into()),
            mode: AnswerMode::Whole,
            prompt_tokens: guavapass::units::Tokens(10),
            max_tokens: guavapass::units::Tokens(10),
            prefix: 0,
            fingerprint: self.requests,
            session: None,
            idempotency_key: None,
            deadline: None,
            source: ArrivalSource::Caller,
        };
        self.handle_event(vm, Event::Arrived(arrival));
    }

    fn schedule(&mut self, delay: u64, arriving: InFlight) {
        self.in_flight.push((self.now + delay, arriving));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (mut due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = rest;
        due.sort_by_key(|(at, _)| *at);
        for (_, arriving) in due {
            match arriving {
                InFlight::ToVm(vm, event) => self.handle_event(vm, event),
                InFlight::Order(vm, order) => self.receive_order(vm, &order),
                InFlight::Append(vm, append, stream, records) => {
                    self.receive_append(vm, append, stream, records);
                }
            }
        }
    }

    fn handle_event(&mut self, index: usize, event: Event) {
        let vm = &mut self.vms[index];
        if self.now < vm.paused_until {
            if !matches!(event, Event::Tick) {
                vm.queued_events.push(event);
            }
            return;
        }
        let mut events = std::mem::take(&mut vm.queued_events);
        events.push(event);
        for event in events {
            let vm = &mut self.vms[index];
            let commands = vm.control.handle(Millis(self.now + vm.offset), event);
            for command in commands {
                self.execute(index, command);
            }
        }
    }

    fn execute(&mut self, vm: usize, command: Command) {
        match command {
            Command::Append { append, stream, records } => {
                self.schedule(LATENCY_MS, InFlight::Append(vm, append, stream, records));
            }
            Command::ReadLog { stream, from, wait } => {
                let until = self.now + wait.0;
                self.pending_reads.push((vm, stream, from, until));
            }
            Command::ReadMembers => {
                let list = self.members();
                self.schedule(2 * LATENCY_MS, InFlight::ToVm(vm, Event::MembersRead(Ok(list))));
            }
            Command::ReadLoadReport { server, .. } => {
                let Some(engine) = self.engines.iter().find(|engine| engine.id == server) else {
                    return;
                };
                let report = LoadReport {
                    running: engine.runs.len() as u32,
                    versions: Some(engine.loaded.iter().cloned().collect()),
                    ..LoadReport::default()
                };
                let event = Event::LoadReportRead { server, result: Ok(report) };
                self.schedule(2 * LATENCY_MS, InFlight::ToVm(vm, event));
            }
            Command::Order(order) => {
                let delay = self.vms[vm].stalled_until.saturating_sub(self.now);
                self.schedule(LATENCY_MS + delay, InFlight::Order(vm, order));
            }
            Command::Send { to, message, .. } => self.send(vm, &to, message),
            Command::Start(start) => self.start(vm, &start),
            Command::Refuse { refusal, .. } => {
                self.failed_requests += 1;
                *self.refusals.entry(refusal.message.to_string()).or_default() += 1;
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &VmId, message: PeerMessage) {
        let name = self.vms[from].name.clone();
        let Some(to) = self.vms.iter().position(|vm| vm.name.vm == *to) else { return };
        self.schedule(LATENCY_MS, InFlight::ToVm(to, Event::FromPeer { from: name, message }));
    }

    fn start(&mut self, vm: usize, start: &AttemptStart) {
        let WorkTarget::Version(version) = &start.target else { return };
        let engine = self.engines.iter_mut().find(|engine| engine.id == start.server).unwrap();
        let (request, attempt) = (start.request, start.attempt);
        self.started += 1;
        let outcome = if engine.loaded.contains(version) {
            engine.runs.insert((vm, request), version.clone());
            for report in [AttemptReport::Writing, AttemptReport::Head] {
                let event = Event::Attempt { request, attempt, report };
                self.in_flight.push((self.now + LATENCY_MS, InFlight::ToVm(vm, event)));
            }
            AttemptOutcome::Whole { status: 200, usage: TokenUsage::default() }
        } else {
            self.failed_requests += 1;
            let fault = AttemptFault::Declined;
            AttemptOutcome::Failed { fault, output_tokens: guavapass::units::Tokens(0) }
        };
        let report = AttemptReport::Ended(outcome);
        self.schedule(self.run_ms, InFlight::ToVm(vm, Event::Attempt { request, attempt, report }));
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let done: Vec<(usize, RequestNumber)> = self
            .in_flight
            .iter()
            .filter(|(at, _)| *at <= now)
            .filter_map(|(_, arriving)| match arriving {
                InFlight::ToVm(
                    vm,
                    Event::Attempt { request, report: AttemptReport::Ended(_), .. },
                ) => Some((*vm, *request)),
                _ => None,
            })
            .collect();
        for key in done {
            for engine in &mut self.engines {
                self.answered += u64::from(engine.runs.remove(&key).is_some());
            }
        }
    }

    fn members(&self) -> MembershipList {
        let entry_vms = self.vms.iter().map(|vm| VmMember {
            id: vm.name.vm.clone(),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: "norte".parse().unwrap(),
            state: MemberState::Live,
        });
        let backend_servers = self.engines.iter().map(|engine| ServerMember {
            id: engine.id.clone(),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: "norte".parse().unwrap(),
            pool: "planning".parse().unwrap(),
            state: engine.member,
        });
        MembershipList {
            entry_vms: entry_vms.collect(),
            backend_servers: backend_servers.collect(),
        }
    }

    fn receive_append(
        &mut self,
        vm: usize,
        append: AppendId,
        stream: StreamId,
        records: Vec<bytes::Bytes>,
    ) {
        if self.log_down || self.vms[vm].cut_from_log {
            let result = Err(PlatformError::Refused { address: "log".into(), status: 503 });
            self.schedule(LATENCY_MS, InFlight::ToVm(vm, Event::Appended { append, result }));
            return;
        }
        self.appends += u64::from(stream.as_str() == "placement");
        let kept = self.streams.entry(stream).or_default();
        let offset = Offset(kept.len() as u64);
        kept.extend(records);
        let result = if self.lose_appends {
            Err(PlatformError::Lost { address: "log".into(), cause: "lost".into() })
        } else {
            Ok(offset)
        };
        self.schedule(LATENCY_MS, InFlight::ToVm(vm, Event::Appended { append, result }));
    }

    fn answer_reads(&mut self) {
        for (vm, stream, from, until) in std::mem::take(&mut self.pending_reads) {
            let records = self.streams.entry(stream.clone()).or_default();
            let result = if self.log_down || self.vms[vm].cut_from_log {
                Err(PlatformError::Refused { address: "log".into(), status: 503 })
            } else if (records.len() as u64) <= from.0 && self.now < until {
                self.pending_reads.push((vm, stream, from, until));
                continue;
            } else {
                let first = (from.0 as usize).min(records.len());
                let page = records[first..].iter().enumerate().map(|(index, record)| LogRecord {
                    offset: Offset((first + index) as u64),
                    record: record.clone(),
                });
                let next = Offset(records.len() as u64);
                Ok(LogPage { oldest: Offset(0), next, records: page.collect() })
            };
            self.schedule(LATENCY_MS, InFlight::ToVm(vm, Event::LogRead { stream, result }));
        }
    }

    fn receive_order(&mut self, vm: usize, order: &EngineOrder) {
        let index = self.engines.iter().position(|engine| engine.id == order.server).unwrap();
        if self.engines[index].loses_orders {
            let result = Err(OrderError::Lost { cause: "lost".into() });
            self.schedule(
                LATENCY_MS,
                InFlight::ToVm(vm, Event::OrderAnswered { order: order.id, result }),
            );
            return;
        }
        let result = if self.rule == FenceRule::Refuses && order.fence < self.engines[index].fence {
            self.refused += 1;
            Err(OrderError::OldFence)
        } else {
            self.orders += 1;
            self.accept(vm, index, order);
            if self.lose_orders { Err(OrderError::Lost { cause: "lost".into() }) } else { Ok(()) }
        };
        self.schedule(
            LATENCY_MS,
            InFlight::ToVm(vm, Event::OrderAnswered { order: order.id, result }),
        );
    }

    fn accept(&mut self, vm: usize, index: usize, order: &EngineOrder) {
        let live = self.engines.iter().filter(|engine| engine.member == MemberState::Live);
        let all_fenced = live.into_iter().all(|engine| engine.fence >= order.fence);
        let engine = &mut self.engines[index];
        engine.fence = engine.fence.max(order.fence);
        engine.accepted.push((order.fence, vm));
        let OrderKind::Desired { versions } = &order.kind else { return };
        let dropped: Vec<VersionId> = engine.loaded.difference(versions).cloned().collect();
        engine.loaded.retain(|id| versions.contains(id));
        engine.loading.retain(|id, _| versions.contains(id));
        let cut = engine.runs.values().filter(|id| dropped.contains(id)).count();
        self.failed_requests += cut as u64;
        self.early_unloads += u64::from(!dropped.is_empty() && !all_fenced);
        for id in versions {
            if !engine.loaded.contains(id) {
                engine.loading.entry(id.clone()).or_insert(0);
            }
        }
        for id in dropped {
            let live = self
                .document
                .version(&id)
                .is_some_and(|entry| entry.state == guavapass::configuration::VersionState::Live);
            if live && self.copies(&id.to_string()) == 0 {
                self.last_copies_lost.push(id);
            }
        }
    }

    /// Starts downloads of versions within the rate limit of the weight store, and completes those
    /// that are due.
    fn load_engines(&mut self) {
        let interval = 60_000 / self.loads_per_minute;
        for engine in &mut self.engines {
            for done in engine.loading.values_mut().filter(|done| **done == 0) {
                let last = self.downloads.last().copied();
                if last.is_none_or(|last| self.now >= last + interval) {
                    self.downloads.push(self.now);
                    *done = self.now + self.load_ms;
                }
            }
            let ready: Vec<VersionId> = engine
                .loading
                .iter()
                .filter(|(_, done)| **done > 0 && **done <= self.now)
                .map(|(id, _)| id.clone())
                .collect();
            for id in ready {
                engine.loading.remove(&id);
                engine.loaded.insert(id);
            }
        }
    }

    /// Asserts that no engine accepted an order of an earlier holder after one of a later holder,
    /// that each fencing number had one holder, and that nothing was unloaded too early.
    pub fn assert_fenced(&self) {
        assert_eq!(self.early_unloads, 0);
        let mut holders: BTreeMap<Fence, usize> = BTreeMap::new();
        for engine in &self.engines {
            let fences: Vec<Fence> = engine.accepted.iter().map(|(fence, _)| *fence).collect();
            assert!(
                fences.is_sorted(),
                "{} accepted fencing numbers out of order: {fences:?}",
                engine.id
            );
            for (fence, vm) in &engine.accepted {
                assert_eq!(
                    holders.entry(*fence).or_insert(*vm),
                    vm,
                    "two VMs sent orders with one fencing number"
                );
            }
        }
    }

    /// Returns the lease records on the log.
    pub fn lease_records(&self) -> Vec<LeaseRecord> {
        let stream: StreamId = "placement".parse().unwrap();
        let records = self.streams.get(&stream).into_iter().flatten();
        records.map(|record| serde_json::from_slice(record).unwrap()).collect()
    }
}

impl Vm {
    fn new(index: usize) -> Self {
        Self::with_incarnation(index, 1)
    }

    fn with_incarnation(index: usize, incarnation: u64) -> Self {
        const CLOCK_STEP_MS: u64 = 7_777_777;
        let vm: VmId = format!("vm-{index}").parse().unwrap();
        let identity = VmIdentity {
            vm: vm.clone(),
            incarnation: Incarnation(incarnation),
            data_centre: "norte".parse().unwrap(),
        };
        Self {
            name: PeerName { vm, incarnation: Incarnation(incarnation) },
            control: Control::new(identity, Box::new(CheapestPolicy)),
            offset: CLOCK_STEP_MS * index as u64,
            paused_until: 0,
            stalled_until: 0,
            cut_from_log: false,
            queued_events: Vec::new(),
        }
    }
}

impl Engine {
    fn new(index: usize) -> Self {
        Self {
            id: format!("engine-{index:02}").parse().unwrap(),
            fence: Fence(0),
            accepted: Vec::new(),
            loaded: BTreeSet::new(),
            loading: BTreeMap::new(),
            member: MemberState::Live,
            loses_orders: false,
            runs: BTreeMap::new(),
        }
    }
}
