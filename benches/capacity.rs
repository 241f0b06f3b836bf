//! What each role of an entry VM costs at the target size, worked out from slopes.
//!
//! `cargo bench --bench capacity -- [VMS…]`: cores joined by a queue in memory, in virtual time,
//! with the target's servers and requests for each VM. Bytes count messages between VMs and calls of the
//! platform and of servers, with their heads; the bytes of callers' traffic are not control. The
//! processor's time is that of the core and of sealing and opening messages. The last line of each
//! part is the straight line through the sizes, at the target.

use guavapass::{
    configuration::{ConfigurationChange, ConfigurationDocument},
    control::*,
    ids::*,
    peer::{PeerMessage, PeerName, PeerSeal},
    stand_in::{CoreCluster, CoreTraffic},
    units::{Millis, Tokens},
};
use std::{
    collections::{BTreeMap, VecDeque},
    fmt::Write,
    time::{Duration, Instant},
};

const DOCUMENT: &str = include_str!("../tests/support/document.json");
const CENTRES: [&str; 8] = ["dc-1", "dc-2", "dc-3", "dc-4", "dc-5", "dc-6", "dc-7", "dc-8"];
const TARGET_VMS: usize = 400;
const TARGET_SERVERS: usize = 690;
const TARGET_REQUESTS_PER_SECOND: usize = 4_500;
const HTTP_HEAD_BYTES: u64 = 180;
const CALL_HEAD_BYTES: u64 = 250;
const SLOTS: u32 = 32;
const RUN_MS: u64 = 2_000;
const SECONDS: u64 = 30;
const STEP_MS: u64 = 20;

fn document() -> ConfigurationDocument {
    const TEAMS: usize = 100;
    const MODELS: usize = 9;
    let mut document: ConfigurationDocument = serde_json::from_str(DOCUMENT).unwrap();
    let pool = document.pools.values_mut().next().unwrap();
    (pool.slots, pool.long_slots) = (SLOTS, SLOTS);
    let model = document.models.values().next().unwrap().clone();
    for index in 0..MODELS {
        let name = format!("model-{index}").parse().unwrap();
        document.models.insert(name, model.clone());
    }
    let team = document.teams.values().next().unwrap().clone();
    for index in 0..TEAMS {
        let mut team = team.clone();
        team.keys.truncate(1);
        team.keys[0].sha256 = key(index);
        document.teams.insert(format!("team-{index}").parse().unwrap(), team);
    }
    document
}

fn key(team: usize) -> smol_str::SmolStr {
    format!("{team:064x}").into()
}

/// One VM's requests under way, by when their attempts end.
#[derive(Default)]
struct Caller {
    debt: f64,
    ends: VecDeque<(Millis, RequestNumber, AttemptId)>,
}

struct Stage {
    cluster: CoreCluster,
    callers: Vec<Caller>,
    requests: u64,
    ended: u64,
    refused: u64,
}

impl Stage {
    fn new(vms: usize) -> Self {
        let mut cluster = CoreCluster::new(11).with_vms(vms, &CENTRES);
        cluster.tick = Millis(10);
        for index in 0..vms * TARGET_SERVERS / TARGET_VMS {
            let centre = CENTRES[index % CENTRES.len()];
            cluster.list_server(&format!("engine-{index}"), "planning", centre);
        }
        cluster.run(Millis(3_000));
        let change = ConfigurationChange::Document(Box::new(document()));
        let wait = Millis(60_000);
        let publish =
            OperatorRequest::Publish { publication: "first".into(), base: None, change, wait };
        cluster.ask(0, 1, publish);
        let all = |cluster: &CoreCluster| cluster.revisions().iter().all(|found| found.0 >= 1);
        cluster.run_until(Millis(60_000), all).expect("the document must reach all");
        cluster.run(Millis(5_000));
        let callers = (0..vms).map(|_| Caller::default()).collect();
        Self { cluster, callers, requests: 0, ended: 0, refused: 0 }
    }

    /// Lets time pass under a rate of requests for each VM.
    fn run(&mut self, seconds: u64, rate: f64) {
        for _ in 0..seconds * 1_000 / STEP_MS {
            for vm in 0..self.callers.len() {
                self.callers[vm].debt += rate * STEP_MS as f64 / 1_000.0;
                while self.callers[vm].debt >= 1.0 {
                    self.callers[vm].debt -= 1.0;
                    self.ask(vm);
                }
                self.end_due(vm);
                self.follow(vm);
            }
            self.cluster.run(Millis(STEP_MS));
        }
    }

    fn ask(&mut self, vm: usize) {
        const TEAMS: u64 = 100;
        self.requests += 1;
        let arrival = Arrival {
            request: RequestNumber(self.requests),
            key: Some(key((self.requests % TEAMS) as usize)),
            target: ArrivalTarget::Model("auto".into()),
            mode: AnswerMode::Stream,
            prompt_tokens: Tokens(200),
            max_tokens: Tokens(244),
            prefix: 0,
            fingerprint: self.requests,
            session: None,
            idempotency_key: None,
            deadline: None,
            hop: ArrivalHop::Caller,
        };
        self.cluster.handle(vm, Event::Arrived(arrival));
    }

    fn follow(&mut self, vm: usize) {
        for command in std::mem::take(&mut self.cluster.vms[vm].traffic) {
            match command {
                Command::Start(start) => {
                    let (request, attempt) = (start.request, start.attempt);
                    self.report(vm, request, attempt, AttemptReport::Writing);
                    self.report(vm, request, attempt, AttemptReport::Head);
                    let end = self.cluster.now + Millis(RUN_MS);
                    self.callers[vm].ends.push_back((end, request, attempt));
                }
                Command::Refuse { .. } => self.refused += 1,
                _ => {}
            }
        }
    }

    fn end_due(&mut self, vm: usize) {
        while let Some((end, request, attempt)) = self.callers[vm].ends.front().copied()
            && end <= self.cluster.now
        {
            self.callers[vm].ends.pop_front();
            self.ended += 1;
            let output_tokens = Tokens(244);
            self.report(vm, request, attempt, AttemptReport::Progress { output_tokens });
            let usage = TokenUsage { prompt: Tokens(200), output: output_tokens };
            let outcome = AttemptOutcome::Whole { status: 200, usage };
            self.report(vm, request, attempt, AttemptReport::Ended(outcome));
        }
    }

    fn report(
        &mut self,
        vm: usize,
        request: RequestNumber,
        attempt: AttemptId,
        report: AttemptReport,
    ) {
        self.cluster.handle(vm, Event::Attempt { request, attempt, report });
    }

    fn reset(&mut self) {
        (self.ended, self.refused) = (0, 0);
        self.cluster.kinds.clear();
        for vm in &mut self.cluster.vms {
            vm.bytes = CoreTraffic::default();
            vm.spent = Duration::ZERO;
        }
    }

    /// Returns the roles of a VM, by the ranks that give them.
    fn roles(&self, vm: usize) -> Vec<&'static str> {
        let vm = &self.cluster.vms[vm];
        let own = VmIdentity {
            vm: vm.name.vm.clone(),
            incarnation: vm.name.incarnation,
            data_centre: vm.data_centre.clone(),
        };
        let peers = vm.control.peers();
        let rank = |duty: &str| {
            let ranked = peers.ranked_in(&own, &own.data_centre, duty);
            ranked.iter().position(|id| *id == own.vm).unwrap_or(usize::MAX)
        };
        let mut roles = Vec::new();
        if rank("configuration") < 2 {
            roles.push("config poller");
        }
        if rank("shares") == 0 {
            roles.push("bridge");
        }
        if roles.is_empty() {
            roles.push("plain");
        }
        roles
    }
}

/// What one VM spends in a second.
#[derive(Clone, Copy, Default)]
struct Cost {
    bytes: f64,
    messages: f64,
    calls: f64,
    core: f64,
}

fn envelope() -> (u64, Duration) {
    const ROUNDS: u32 = 2_000;
    let name = |vm: &str| PeerName { vm: vm.parse().unwrap(), incarnation: Incarnation(1) };
    let mut sender = PeerSeal::new(name("entry-vm-100"), CoreCluster::keys());
    let mut receiver = PeerSeal::new(name("entry-vm-200"), CoreCluster::keys());
    let to = name("entry-vm-200").vm;
    let hello = sender.seal(&to, &PeerMessage::FetchMembers).unwrap();
    let introduction = receiver.open(&hello).map_err(|error| receiver.introduce(&error));
    sender.open(&introduction.unwrap_err().unwrap()).unwrap();
    let message = PeerMessage::Announce(guavapass::configuration::ConfigurationStamp::default());
    let plain = rmp_serde::to_vec_named(&message).unwrap().len() as u64;
    let sealed = sender.seal(&to, &message).unwrap().len() as u64;
    let start = Instant::now();
    for _ in 0..ROUNDS {
        let sealed = sender.seal(&to, &message).unwrap();
        receiver.open(&sealed).unwrap();
    }
    (sealed - plain, start.elapsed() / ROUNDS)
}

fn cost(stage: &Stage, vm: usize, envelope: (u64, Duration)) -> Cost {
    let vm = &stage.cluster.vms[vm];
    let heads =
        vm.bytes.messages * (envelope.0 + HTTP_HEAD_BYTES) + vm.bytes.calls * CALL_HEAD_BYTES;
    let seconds = SECONDS as f64;
    let seal = envelope.1.as_secs_f64() * vm.bytes.messages as f64 / 2.0;
    Cost {
        bytes: (vm.bytes.message_bytes + vm.bytes.call_bytes + heads) as f64 / seconds,
        messages: vm.bytes.messages as f64 / seconds,
        calls: vm.bytes.calls as f64 / seconds,
        core: (vm.spent.as_secs_f64() + seal) / seconds,
    }
}

fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<f64> = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Returns the value at the target of the straight line through some points.
fn at_target(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let above: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let below: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    mean_y + above / below * (TARGET_VMS as f64 - mean_x)
}

fn print_row(role: &str, vms: &str, cost: Cost, memory: f64) {
    println!(
        "| {role} | {vms} | {:.1} | {:.1} | {:.1} | {:.2} | {:.1} |",
        cost.messages,
        cost.calls,
        cost.bytes / 1_000.0,
        cost.core * 100.0,
        memory / 1e6
    );
}

/// Returns a table of what VMs send, by the kind of message.
fn print_kinds(stage: &Stage, vms: usize, envelope_bytes: u64) -> String {
    let mut text = format!("Sent by each of {vms} VMs, by kind:\n\n");
    text += "| Kind | Messages/s | KB/s |\n|---|---|---|\n";
    for (kind, (messages, bytes)) in &stage.cluster.kinds {
        let each = |count: u64| count as f64 / vms as f64 / SECONDS as f64;
        let heads = messages * (envelope_bytes + HTTP_HEAD_BYTES);
        let (messages, bytes) = (each(*messages), each(bytes + heads) / 1_000.0);
        let _ = writeln!(text, "| {kind} | {messages:.2} | {bytes:.2} |");
    }
    text
}

fn roles_table(sizes: &[usize], rate: f64, envelope: (u64, Duration)) {
    println!("| Role | VMs | Messages/s | Calls/s | KB/s | Core, % | Memory, MB |");
    println!("|---|---|---|---|---|---|---|");
    let mut points: BTreeMap<&str, Vec<(f64, Cost, f64)>> = BTreeMap::new();
    let mut appends = Vec::new();
    let mut kinds = String::new();
    for &vms in sizes {
        let before = resident_bytes();
        let mut stage = Stage::new(vms);
        stage.run(10, rate);
        stage.reset();
        let kept = |stage: &Stage| {
            let others: usize = stage.cluster.streams.values().map(|log| log.records.len()).sum();
            stage.cluster.log.records.len() + others
        };
        let first = kept(&stage);
        stage.run(SECONDS, rate);
        let memory = (resident_bytes() - before).max(0.0) / vms as f64;
        appends.push((vms as f64, (kept(&stage) - first) as f64 / SECONDS as f64));
        let mut sums: BTreeMap<&str, (Cost, f64)> = BTreeMap::new();
        for vm in 0..vms {
            let cost = cost(&stage, vm, envelope);
            for role in stage.roles(vm) {
                let (sum, count) = sums.entry(role).or_default();
                sum.bytes += cost.bytes;
                sum.messages += cost.messages;
                sum.calls += cost.calls;
                sum.core += cost.core;
                *count += 1.0;
            }
        }
        for (role, (sum, count)) in sums {
            let mean = Cost {
                bytes: sum.bytes / count,
                messages: sum.messages / count,
                calls: sum.calls / count,
                core: sum.core / count,
            };
            print_row(role, &vms.to_string(), mean, memory);
            points.entry(role).or_default().push((vms as f64, mean, memory));
        }
        if vms == sizes[sizes.len() - 1] {
            kinds = print_kinds(&stage, vms, envelope.0);
        }
        println!("| requests ended {} refused {} | {vms} | | | | | |", stage.ended, stage.refused);
    }
    for (role, points) in &points {
        let line = |part: fn(&Cost) -> f64| {
            let values: Vec<(f64, f64)> =
                points.iter().map(|(vms, cost, _)| (*vms, part(cost))).collect();
            at_target(&values)
        };
        let cost = Cost {
            bytes: line(|cost| cost.bytes),
            messages: line(|cost| cost.messages),
            calls: line(|cost| cost.calls),
            core: line(|cost| cost.core),
        };
        let memory: Vec<(f64, f64)> =
            points.iter().map(|(vms, _, memory)| (*vms, *memory)).collect();
        print_row(role, &format!("{TARGET_VMS} by the line"), cost, at_target(&memory));
    }
    println!("\n{kinds}");
    println!(
        "Records appended a second, all streams: {appends:?}, at the target {:.0}",
        at_target(&appends)
    );
}

/// Returns the core's time of one VM among nine under a multiple of the target's requests.
fn overload(multiple: f64) {
    const VMS: usize = 9;
    let rate = TARGET_REQUESTS_PER_SECOND as f64 / TARGET_VMS as f64 * multiple;
    let mut stage = Stage::new(VMS);
    stage.run(5, rate);
    stage.reset();
    stage.run(SECONDS, rate);
    let spent: f64 = stage.cluster.vms.iter().map(|vm| vm.spent.as_secs_f64()).sum();
    println!(
        "| {multiple} | {rate:.0} | {:.2} | {} | {} |",
        spent / VMS as f64 / SECONDS as f64 * 100.0,
        stage.ended,
        stage.refused
    );
}

fn main() {
    let sizes: Vec<usize> = std::env::args().filter_map(|word| word.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![50, 100, 200] } else { sizes };
    let rate = TARGET_REQUESTS_PER_SECOND as f64 / TARGET_VMS as f64;
    let envelope = envelope();
    println!("Envelope {} B; sealing and opening {:?}.\n", envelope.0, envelope.1);
    roles_table(&sizes, rate, envelope);
    println!("\n| Times the target | Requests/s a VM | Core, % | Ended | Refused |");
    println!("|---|---|---|---|---|");
    for multiple in [1.0, 3.0, 10.0, 30.0] {
        overload(multiple);
    }
}
