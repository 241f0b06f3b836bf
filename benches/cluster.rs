//! How fast and at what cost entry VMs keep each other informed, in virtual time.
//!
//! `cargo bench --bench cluster -- [VMS…]`: cores joined by a queue in memory. Bytes are those of the
//! messages with their envelope and HTTP heads, sent and received; the processor's time is that
//! of the core and of sealing and opening its messages.

use guavapass::{
    configuration::{ConfigurationChange, ConfigurationDocument},
    control::OperatorRequest,
    ids::Revision,
    peer::{PeerMessage, PeerName, PeerSeal},
    stand_in::{CoreCluster, TrafficCounts},
    units::Millis,
};
use std::time::{Duration, Instant};

const DOCUMENT: &str = include_str!("../tests/support/document.json");
const CENTRES: [&str; 8] = ["dc-1", "dc-2", "dc-3", "dc-4", "dc-5", "dc-6", "dc-7", "dc-8"];
const SERVERS_PER_400_VMS: usize = 690;
/// The heads of a request and of its answer.
const HTTP_HEAD_BYTES: u64 = 180;
const CALL_HEAD_BYTES: u64 = 250;

fn document(teams: usize) -> ConfigurationDocument {
    let mut document: ConfigurationDocument = serde_json::from_str(DOCUMENT).unwrap();
    let model = document.models.values().next().unwrap().clone();
    for index in 0..8 {
        let name = format!("model-{index}").parse().unwrap();
        document.models.insert(name, model.clone());
    }
    let mut team = document.teams.values().next().unwrap().clone();
    for index in 0..teams {
        for (place, key) in team.keys.iter_mut().enumerate() {
            key.sha256 = format!("{index:032x}{place:032x}").into();
        }
        let key = team.keys[0].clone();
        while team.keys.len() < 10 {
            let mut key = key.clone();
            key.sha256 = format!("{index:032x}{:032x}", team.keys.len()).into();
            team.keys.push(key);
        }
        document.teams.insert(format!("team-{index}").parse().unwrap(), team.clone());
    }
    document
}

fn publish(name: &str, change: ConfigurationChange) -> OperatorRequest {
    let wait = Millis(60_000);
    OperatorRequest::Publish { publication: name.into(), base: None, change, wait }
}

fn cluster(vms: usize) -> CoreCluster {
    let centres = if vms < 100 { &CENTRES[..4] } else { &CENTRES[..] };
    let mut cluster = CoreCluster::new(11).with_vms(vms, centres);
    cluster.tick = Millis(10);
    for index in 0..vms * SERVERS_PER_400_VMS / 400 {
        let centre = centres[index % centres.len()];
        cluster.list_server(&format!("engine-{index}"), "planning", centre);
    }
    cluster.run(Millis(3_000));
    let change = ConfigurationChange::Document(Box::new(document(100)));
    cluster.ask(0, 1, publish("first", change));
    wait_for(&mut cluster, 1);
    cluster.run(Millis(10_000));
    cluster
}

fn wait_for(cluster: &mut CoreCluster, revision: u64) -> (Millis, Millis) {
    let mut accepted = None;
    let took = cluster.run_until(Millis(60_000), |cluster| {
        let revisions = cluster.revisions();
        if revisions.iter().any(|found| *found >= Revision(revision)) {
            accepted.get_or_insert(cluster.now);
        }
        revisions.iter().all(|found| *found >= Revision(revision))
    });
    let took = took.expect("the change must reach all within a minute");
    (took, cluster.now.since(accepted.unwrap_or_default()))
}

/// Returns the median and the longest time from accepted to in force everywhere.
fn spread(cluster: &mut CoreCluster, loss: f64, first: u64) -> (Millis, Millis) {
    const CHANGES: u64 = 20;
    cluster.faults.loss = loss;
    let mut times = Vec::new();
    for step in 0..CHANGES {
        let to = ["peak", "ordinary"][step as usize % 2].parse().unwrap();
        let vm = step as usize * 7 % cluster.vms.len();
        let name = format!("change-{}", first + step);
        cluster.ask(vm, first + step, publish(&name, ConfigurationChange::Preset(to)));
        times.push(wait_for(cluster, first + step).1);
        cluster.run(Millis(1_300));
    }
    cluster.faults.loss = 0.0;
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() - 1])
}

fn envelope() -> (u64, Duration) {
    const ROUNDS: u32 = 2_000;
    let name = |vm: &str| PeerName {
        vm: vm.parse().unwrap(),
        incarnation: guavapass::ids::Incarnation(1_764_806_400_000),
    };
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

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn measure(vms: usize, envelope_bytes: u64, seal: Duration) {
    const SECONDS: u64 = 30;
    let before = resident_bytes();
    let mut cluster = cluster(vms);
    let memory = (resident_bytes() - before.min(resident_bytes())) / vms as u64;
    cluster.message_counts.clear();
    for vm in &mut cluster.vms {
        vm.bytes = TrafficCounts::default();
        vm.handler_time = Duration::ZERO;
    }
    cluster.run(Millis(SECONDS * 1_000));
    let rates: Vec<(f64, f64)> = cluster
        .vms
        .iter()
        .map(|vm| {
            let heads = vm.bytes.messages * (envelope_bytes + HTTP_HEAD_BYTES)
                + vm.bytes.calls * CALL_HEAD_BYTES;
            let bytes = vm.bytes.message_bytes + vm.bytes.call_bytes + heads;
            let seconds =
                vm.handler_time.as_secs_f64() + seal.as_secs_f64() * vm.bytes.messages as f64 / 2.0;
            (bytes as f64 / SECONDS as f64, seconds / SECONDS as f64)
        })
        .collect();
    let mean = |part: fn(&(f64, f64)) -> f64| rates.iter().map(part).sum::<f64>() / vms as f64;
    let most = |part: fn(&(f64, f64)) -> f64| rates.iter().map(part).fold(0.0, f64::max);
    let messages: u64 = cluster.vms.iter().map(|vm| vm.bytes.messages).sum();
    println!(
        "{vms:>4} VMs: {:>6.0} B/s mean, {:>6.0} B/s most, {:>5.1} messages/s, core {:.2} % mean, \
         {:.2} % most, {} KB a VM",
        mean(|rate| rate.0),
        most(|rate| rate.0),
        messages as f64 / vms as f64 / SECONDS as f64,
        mean(|rate| rate.1) * 100.0,
        most(|rate| rate.1) * 100.0,
        memory / 1_024,
    );
    if let Some(vm) = cluster.vms.iter().max_by_key(|vm| vm.bytes.message_bytes) {
        println!("          busiest over {SECONDS} s: {:?}", vm.bytes);
    }
    for (kind, (messages, bytes)) in &cluster.message_counts {
        let each = |count: u64| count as f64 / vms as f64 / SECONDS as f64;
        println!(
            "          {kind}: {:.2} messages/s, {:.0} B/s sent",
            each(*messages),
            each(*bytes)
        );
    }
    let calls: u64 = cluster.vms.iter().map(|vm| vm.bytes.calls).sum();
    let bodies: u64 = cluster.vms.iter().map(|vm| vm.bytes.call_bytes).sum();
    let each = |count: u64| count as f64 / vms as f64 / SECONDS as f64;
    println!("          calls: {:.2}/s, {:.0} B/s", each(calls), each(bodies));
    for (loss, first) in [(0.0, 2), (0.1, 22)] {
        let (median, longest) = spread(&mut cluster, loss, first);
        println!(
            "{vms:>4} VMs, {:>2.0} % lost: in force everywhere {median} after it was accepted \
             (median of 20), {longest} at most",
            loss * 100.0
        );
    }
}

fn main() {
    let sizes: Vec<usize> = std::env::args().filter_map(|word| word.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![9, 30, 100, 400] } else { sizes };
    let (bytes, seal) = envelope();
    println!("envelope {bytes} B, sealing and opening {seal:?}");
    for vms in sizes {
        measure(vms, bytes, seal);
    }
}
