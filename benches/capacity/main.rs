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
    stand_in::{CoreCluster, CoreState, TrafficCounts},
    units::{Millis, Tokens},
};
use std::{
    collections::{BTreeMap, VecDeque},
    fmt::Write,
    time::{Duration, Instant},
};

mod cost;
mod failures;
mod stage;

use {cost::*, failures::failures, stage::Stage};

const DOCUMENT: &str = include_str!("../../tests/support/document.json");
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
    for (kind, (messages, bytes)) in &stage.cluster.message_counts {
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
    let spent: f64 = stage.cluster.vms.iter().map(|vm| vm.handler_time.as_secs_f64()).sum();
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
    failures(sizes[sizes.len() - 1]);
}
