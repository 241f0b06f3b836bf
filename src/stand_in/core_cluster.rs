use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A deterministic simulation of several control cores in virtual time, connected by an in-memory
/// event queue.
///
/// It counts peer messages and platform calls, and injects the faults set in `faults`. Bandwidth and
/// connections are not modelled.
pub struct CoreCluster {
    /// The current virtual time.
    pub now: Millis,
    /// The entry VMs; a VM's index is its identity in the simulation.
    pub vms: Vec<CoreVm>,
    /// The configuration stream.
    pub log: CoreLog,
    /// The other log streams, created by the first append.
    pub streams: BTreeMap<StreamId, CoreLog>,
    /// The membership list of the platform.
    pub members: MembershipList,
    /// The faults that are injected from now on.
    pub faults: CoreFaults,
    /// The number and total bytes of the peer messages sent, by kind of message.
    pub message_counts: BTreeMap<&'static str, (u64, u64)>,
    /// The interval between two ticks of a core.
    pub tick: Millis,
    random: ChaCha8Rng,
    queue: BTreeMap<(Millis, u64), CoreArrival>,
    waiting: Vec<WaitingRead>,
    reads_due: bool,
    sequence: u64,
}

/// One simulated entry VM: its control core, its state and its recorded output.
pub struct CoreVm {
    /// The control core under test.
    pub control: Control,
    /// The VM's id and incarnation.
    pub name: PeerName,
    /// The data centre that the VM is in.
    pub data_centre: DataCentreId,
    /// Whether the VM runs, is paused or is dead.
    pub state: CoreState,
    /// The answers to operator calls, in order.
    pub answers: Vec<(CallId, OperatorAnswer)>,
    /// The commands that the simulation does not execute, such as those for request traffic, in
    /// order.
    pub traffic: Vec<Command>,
    /// The counts of messages, calls and bytes.
    pub bytes: TrafficCounts,
    /// The wall-clock time spent in the core's event handler.
    pub handler_time: Duration,
    born: Millis,
}

/// The execution state of a simulated VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreState {
    /// The VM handles events.
    Running,
    /// The VM handles no events; arriving ones are delivered when it runs again.
    Paused,
    /// The VM has stopped; arriving events are dropped.
    Dead,
}

/// Counts of the messages and calls of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// The messages sent to and received from peers.
    pub messages: u64,
    /// The bytes of these messages, without the envelope.
    pub message_bytes: u64,
    /// The calls to the platform and to backend servers.
    pub calls: u64,
    /// The calls among them that read a load report.
    pub loads: u64,
    /// The bytes of the bodies of all calls.
    pub call_bytes: u64,
}

/// A log stream in memory.
#[derive(Clone, Debug, Default)]
pub struct CoreLog {
    /// The records that have not been trimmed.
    pub records: Vec<Bytes>,
    /// The offset of the first of these records.
    pub oldest: u64,
}

/// The faults that the simulation injects.
#[derive(Clone, Debug, Default)]
pub struct CoreFaults {
    /// The probability that a peer message is lost, from 0 to 1.
    pub loss: f64,
    /// The maximum additional delay of a peer message, drawn uniformly from 0.
    pub jitter: Millis,
    /// The probability that a peer message is delivered twice, from 0 to 1.
    pub repeat: f64,
    /// Whether all calls to the platform fail.
    pub platform_down: bool,
    /// The number of next appends to the configuration stream that take effect but whose answers are
    /// lost.
    pub lost_appends: u32,
    /// The data centres that are partitioned from the others and from the platform.
    pub partitioned: BTreeSet<DataCentreId>,
}

enum CoreArrival {
    Event {
        vm: usize,
        incarnation: Incarnation,
        event: Event,
    },
    Append {
        vm: usize,
        incarnation: Incarnation,
        append: AppendId,
        stream: StreamId,
        records: Vec<Bytes>,
    },
}

struct WaitingRead {
    vm: usize,
    incarnation: Incarnation,
    stream: StreamId,
    from: Offset,
    until: Millis,
}

impl CoreLog {
    /// Returns the offset of the next record.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    /// Drops the records before an offset, as retention does.
    pub fn trim(&mut self, oldest: u64) {
        let count = oldest.saturating_sub(self.oldest).min(self.records.len() as u64);
        self.records.drain(..count as usize);
        self.oldest += count;
    }

    fn read(&self, from: Offset) -> Result<LogPage, PlatformError> {
        const PAGE_RECORDS: usize = 16;
        if from.0 < self.oldest {
            return Err(PlatformError::Trimmed { oldest: Offset(self.oldest) });
        }
        let skip = (from.0 - self.oldest) as usize;
        let records: Vec<LogRecord> = self
            .records
            .iter()
            .enumerate()
            .skip(skip)
            .take(PAGE_RECORDS)
            .map(|(index, record)| LogRecord {
                offset: Offset(self.oldest + index as u64),
                record: record.clone(),
            })
            .collect();
        let next = records.last().map_or(self.next(), |last| last.offset.0 + 1);
        Ok(LogPage { oldest: Offset(self.oldest), next: Offset(next), records })
    }
}

impl CoreCluster {
    /// The delay of a peer message without jitter.
    const MESSAGE_MS: u64 = 2;
    /// The duration of a call to the platform or to a backend server.
    const CALL_MS: u64 = 3;
    /// The interval at which waiting log reads are checked for their timeout.
    const READ_CHECK_MS: u64 = 20;

    /// Returns a cluster without VMs, whose random faults are drawn from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            now: Millis(1_000),
            vms: Vec::new(),
            log: CoreLog::default(),
            streams: BTreeMap::new(),
            members: MembershipList::default(),
            faults: CoreFaults::default(),
            message_counts: BTreeMap::new(),
            tick: Millis(20),
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            waiting: Vec::new(),
            reads_due: false,
            sequence: 0,
        }
    }

    /// Adds VMs `vm-1`, `vm-2`, … to the data centres in turn and puts them on the membership list.
    #[must_use]
    pub fn with_vms(mut self, count: usize, centres: &[&str]) -> Self {
        for index in 0..count {
            let name = format!("vm-{}", index + 1);
            self.add_vm(&name, centres[index % centres.len()], 1);
        }
        for index in 0..count {
            self.list_vm(index);
        }
        self
    }

    /// Adds a VM without putting it on the membership list, and returns its index.
    ///
    /// # Panics
    ///
    /// Panics if a name is not valid.
    pub fn add_vm(&mut self, name: &str, centre: &str, incarnation: u64) -> usize {
        let index = self.vms.len();
        let vm = self.new_vm(name, centre, incarnation, index);
        self.vms.push(vm);
        index
    }

    /// Replaces a VM by a newly started one at the same address and in the same data centre.
    pub fn replace_vm(&mut self, index: usize, name: &str, incarnation: u64) {
        let centre = self.vms[index].data_centre.to_string();
        let vm = self.new_vm(name, &centre, incarnation, index);
        self.vms[index] = vm;
        self.waiting.retain(|read| read.vm != index);
    }

    /// Sets the seed peers of a VM, as its settings would.
    pub fn seed(&mut self, index: usize, seeds: Vec<VmMember>) {
        self.vms[index].control.set_cluster(ClusterSettings {
            address: Some(Self::address(index)),
            seeds,
            session_keys: Self::keys(),
        });
    }

    /// Returns the session keys that all VMs share.
    #[must_use]
    pub fn keys() -> KeyRing {
        KeyRing::new([b"a secret of all entry VMs".as_slice()])
    }

    fn new_vm(&self, name: &str, centre: &str, incarnation: u64, index: usize) -> CoreVm {
        let vm: VmId = name.parse().expect("the name is valid");
        let data_centre: DataCentreId = centre.parse().expect("the name is valid");
        let incarnation = Incarnation(incarnation);
        let identity = VmIdentity { vm: vm.clone(), incarnation, data_centre: data_centre.clone() };
        let mut control = Control::new(identity, Box::new(CheapestPolicy));
        control.set_cluster(ClusterSettings {
            address: Some(Self::address(index)),
            seeds: Vec::new(),
            session_keys: Self::keys(),
        });
        CoreVm {
            control,
            name: PeerName { vm, incarnation },
            data_centre,
            state: CoreState::Running,
            answers: Vec::new(),
            traffic: Vec::new(),
            bytes: TrafficCounts::default(),
            handler_time: Duration::ZERO,
            born: self.now,
        }
    }

    /// Returns the address of a VM by its index.
    #[must_use]
    pub fn address(index: usize) -> SocketAddr {
        SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16))
    }

    /// Puts a VM on the membership list.
    pub fn list_vm(&mut self, index: usize) {
        let vm = &self.vms[index];
        self.members.entry_vms.push(VmMember {
            id: vm.name.vm.clone(),
            address: Self::address(index),
            data_centre: vm.data_centre.clone(),
            state: MemberState::Live,
        });
    }

    /// Puts a live backend server on the membership list.
    ///
    /// # Panics
    ///
    /// Panics if a name is not valid.
    pub fn list_server(&mut self, name: &str, pool: &str, centre: &str) {
        self.members.backend_servers.push(ServerMember {
            id: name.parse().expect("the name is valid"),
            address: SocketAddr::from(([10, 0, 1, 1], 80)),
            data_centre: centre.parse().expect("the name is valid"),
            pool: pool.parse().expect("the name is valid"),
            state: MemberState::Live,
        });
    }

    /// Advances the virtual time.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the virtual time until a condition holds, and returns how long that took, or `None`
    /// if it took longer than `limit`.
    pub fn run_until(
        &mut self,
        limit: Millis,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Option<Millis> {
        let start = self.now;
        while !holds(self) {
            if self.now.since(start) > limit {
                return None;
            }
            self.step();
        }
        Some(self.now.since(start))
    }

    fn step(&mut self) {
        self.now = self.now + Millis(1);
        for vm in 0..self.vms.len() {
            let phase = (vm as u64 * 7) % self.tick.0;
            if self.now.0 % self.tick.0 == phase {
                self.handle(vm, Event::Tick);
            }
        }
        if self.reads_due || self.now.0.is_multiple_of(Self::READ_CHECK_MS) {
            self.reads_due = false;
            self.answer_reads();
        }
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= self.now
        {
            let (key, arrival) = entry.remove_entry();
            self.deliver(key.1, arrival);
        }
    }

    fn deliver(&mut self, sequence: u64, arrival: CoreArrival) {
        match arrival {
            CoreArrival::Event { vm, incarnation, event } => {
                if self.vms[vm].name.incarnation != incarnation {
                    return;
                }
                match self.vms[vm].state {
                    CoreState::Running => self.handle(vm, event),
                    CoreState::Paused => {
                        let later = CoreArrival::Event { vm, incarnation, event };
                        self.queue.insert((self.now + Millis(1), sequence), later);
                    }
                    CoreState::Dead => {}
                }
            }
            CoreArrival::Append { vm, incarnation, append, stream, records } => {
                let result = self.append(vm, &stream, &records);
                self.push(Self::CALL_MS, vm, incarnation, Event::Appended { append, result });
            }
        }
    }

    fn append(
        &mut self,
        vm: usize,
        stream: &StreamId,
        records: &[Bytes],
    ) -> Result<Offset, PlatformError> {
        if self.faults.platform_down || self.is_partitioned(vm) {
            return Err(PlatformError::Refused { address: "platform".into(), status: 503 });
        }
        let configuration = stream.as_str() == "configuration";
        let log = if configuration {
            &mut self.log
        } else {
            self.streams.entry(stream.clone()).or_default()
        };
        let first = Offset(log.next());
        log.records.extend_from_slice(records);
        self.reads_due = true;
        if configuration && self.faults.lost_appends > 0 {
            self.faults.lost_appends -= 1;
            let (address, cause) = ("platform".into(), "the answer was lost".into());
            return Err(PlatformError::Lost { address, cause });
        }
        Ok(first)
    }

    /// Lets a running VM handle an event and executes the resulting commands. Does nothing if the VM
    /// is paused or dead.
    pub fn handle(&mut self, vm: usize, event: Event) {
        if self.vms[vm].state != CoreState::Running {
            return;
        }
        let now = self.local(vm);
        let start = Instant::now();
        let commands = self.vms[vm].control.handle(now, event);
        self.vms[vm].handler_time += start.elapsed();
        for command in commands {
            self.execute_command(vm, command);
        }
    }

    /// Returns the time of a VM's own clock, which starts at 0 when the VM starts.
    #[must_use]
    pub fn local(&self, vm: usize) -> Millis {
        self.now.since(self.vms[vm].born)
    }

    /// Sends an operator request to a VM, under a call number chosen by the test.
    pub fn ask(&mut self, vm: usize, call: u64, request: OperatorRequest) {
        self.handle(vm, Event::OperatorCall { call: CallId(call), request });
    }

    /// Returns the answer to an operator's call, or `None` if there is none yet.
    #[must_use]
    pub fn answer(&self, vm: usize, call: u64) -> Option<&OperatorAnswer> {
        let mut answers = self.vms[vm].answers.iter();
        answers.find(|(id, _)| *id == CallId(call)).map(|(_, answer)| answer)
    }

    fn is_partitioned(&self, vm: usize) -> bool {
        self.faults.partitioned.contains(&self.vms[vm].data_centre)
    }

    fn push(&mut self, delay: u64, vm: usize, incarnation: Incarnation, event: Event) {
        self.sequence += 1;
        let key = (self.now + Millis(delay), self.sequence);
        self.queue.insert(key, CoreArrival::Event { vm, incarnation, event });
    }

    fn execute_command(&mut self, vm: usize, command: Command) {
        let incarnation = self.vms[vm].name.incarnation;
        match command {
            Command::Send { to, address, message } => self.send(vm, &to, address, &message),
            Command::Append { append, stream, records } => {
                self.sequence += 1;
                let key = (self.now + Millis(Self::CALL_MS), self.sequence);
                self.count_call(vm, records.iter().map(Bytes::len).sum());
                let arrival = CoreArrival::Append { vm, incarnation, append, stream, records };
                self.queue.insert(key, arrival);
            }
            Command::ReadLog { stream, from, wait } => {
                let until = self.now + wait;
                self.reads_due = true;
                self.waiting.push(WaitingRead { vm, incarnation, stream, from, until });
            }
            Command::ReadMembers => {
                let result = self.platform(vm, |cluster| cluster.members.clone());
                let bytes = result
                    .as_ref()
                    .map_or(0, |list| serde_json::to_vec(list).map_or(0, |bytes| bytes.len()));
                self.count_call(vm, bytes);
                self.push(Self::CALL_MS, vm, incarnation, Event::MembersRead(result));
            }
            Command::ReadLoadReport { server, .. } => {
                const REPORT_BYTES: usize = 64;
                self.count_call(vm, REPORT_BYTES);
                self.vms[vm].bytes.loads += 1;
                let report = LoadReport { as_of_ms: self.now, ..LoadReport::default() };
                let result = Ok(report);
                self.push(Self::CALL_MS, vm, incarnation, Event::LoadReportRead { server, result });
            }
            Command::AnswerOperator { call, answer } => self.vms[vm].answers.push((call, answer)),
            command => self.vms[vm].traffic.push(command),
        }
    }

    fn platform<T>(&self, vm: usize, answer: impl FnOnce(&Self) -> T) -> Result<T, PlatformError> {
        if self.faults.platform_down || self.is_partitioned(vm) {
            let (address, cause) = ("platform".into(), "it is down".into());
            return Err(PlatformError::Unreachable { address, cause });
        }
        Ok(answer(self))
    }

    fn count_call(&mut self, vm: usize, bytes: usize) {
        let traffic = &mut self.vms[vm].bytes;
        traffic.calls += 1;
        traffic.call_bytes += bytes as u64;
    }

    fn send(&mut self, vm: usize, to: &VmId, address: SocketAddr, message: &PeerMessage) {
        let bytes = rmp_serde::to_vec_named(message).map_or(0, |bytes| bytes.len()) as u64;
        let count = |traffic: &mut TrafficCounts| {
            traffic.messages += 1;
            traffic.message_bytes += bytes;
        };
        count(&mut self.vms[vm].bytes);
        let kind = self.message_counts.entry(message.kind()).or_default();
        *kind = (kind.0 + 1, kind.1 + bytes);
        let Some(target) = (0..self.vms.len()).find(|index| Self::address(*index) == address)
        else {
            return;
        };
        let partitioned = self.vms[vm].data_centre != self.vms[target].data_centre
            && (self.is_partitioned(vm) || self.is_partitioned(target));
        let known = self.vms[target].name.vm == *to;
        if partitioned || !known || self.random.random_bool(self.faults.loss) {
            return;
        }
        if self.vms[target].state == CoreState::Dead {
            let incarnation = self.vms[vm].name.incarnation;
            self.push(Self::MESSAGE_MS, vm, incarnation, Event::SendFailed { to: to.clone() });
            return;
        }
        count(&mut self.vms[target].bytes);
        let from = self.vms[vm].name.clone();
        let incarnation = self.vms[target].name.incarnation;
        let copies = 1 + u32::from(self.random.random_bool(self.faults.repeat));
        for _ in 0..copies {
            let jitter = self.random.random_range(0..=self.faults.jitter.0);
            let event = Event::FromPeer { from: from.clone(), message: message.clone() };
            self.push(Self::MESSAGE_MS + jitter, target, incarnation, event);
        }
    }

    fn stream(&self, stream: &StreamId) -> &CoreLog {
        const EMPTY: &CoreLog = &CoreLog { records: Vec::new(), oldest: 0 };
        match stream.as_str() {
            "configuration" => &self.log,
            _ => self.streams.get(stream).unwrap_or(EMPTY),
        }
    }

    fn answer_reads(&mut self) {
        let reads = std::mem::take(&mut self.waiting);
        for read in reads {
            let page =
                self.platform(read.vm, |cluster| cluster.stream(&read.stream).read(read.from));
            let result = page.and_then(|page| page);
            let empty = result.as_ref().is_ok_and(|page| page.records.is_empty());
            if empty && self.now < read.until {
                self.waiting.push(read);
                continue;
            }
            let bytes = result
                .as_ref()
                .map_or(0, |page| page.records.iter().map(|record| record.record.len()).sum());
            self.count_call(read.vm, bytes);
            let event = Event::LogRead { stream: read.stream, result };
            self.push(Self::CALL_MS, read.vm, read.incarnation, event);
        }
    }

    /// Returns the configuration revisions of all VMs that are not dead, in order of index.
    #[must_use]
    pub fn revisions(&self) -> Vec<Revision> {
        let running = self.vms.iter().filter(|vm| vm.state != CoreState::Dead);
        running.map(|vm| vm.control.configuration().revision()).collect()
    }

    /// Returns whether all VMs that are not dead have the same revision and the same document.
    #[must_use]
    pub fn agrees(&self) -> bool {
        let running = self.vms.iter().filter(|vm| vm.state != CoreState::Dead);
        let mut stamps = running.map(|vm| vm.control.configuration().stamp());
        let first = stamps.next();
        stamps.all(|stamp| Some(stamp) == first)
    }
}
