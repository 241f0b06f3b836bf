//! What tickets, claims and bills cost: latency, appends, messages and memory.
//!
//! Drives the control cores of 3, 9 and 400 entry VMs over a fake log and fake links, in virtual
//! time. Run with `cargo bench --bench once`.

#[path = "../tests/common/once_cluster.rs"]
#[allow(dead_code)]
mod once_cluster;

use guavapass::{
    billing::{BillKey, BillLedger, BillPart, BillRecord, BillStage, PartCharge},
    control::{RunState, TokenUsage, WorkTarget},
    ids::{AttemptId, Incarnation, RequestId, RequestNumber},
    units::{Cost, Millis, Tokens},
};
use hdrhistogram::Histogram;
use once_cluster::{Call, LATENCIES_MS, OnceCluster, Place};
use std::time::Instant;

const WARM_UP_MS: u64 = 10_000;
const WINDOW_MS: u64 = 10_000;
const SEED: u64 = 17;

/// How the requests of a run are kept from running twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyKind {
    None,
    Ticket,
    Claim,
}

struct RunFigures {
    delays: Histogram<u64>,
    claim_appends: f64,
    bill_appends: f64,
    claim_bytes: f64,
    bill_bytes: f64,
    bill_messages: f64,
    whole: usize,
    sent: usize,
    most_runs: u32,
    billed: (u64, u64),
    elapsed: f64,
}

fn run(vms: usize, zones: usize, rate: u64, kind: KeyKind) -> RunFigures {
    let mut cluster = OnceCluster::new(vms, zones, 40, SEED);
    let tickets: Vec<String> = match kind {
        KeyKind::Ticket => (0..rate * (WARM_UP_MS + WINDOW_MS) / 1_000)
            .filter_map(|n| cluster.ticket(n as usize % vms))
            .collect(),
        KeyKind::None | KeyKind::Claim => Vec::new(),
    };
    let start = Instant::now();
    let mut places: Vec<(Place, Millis)> = Vec::new();
    let mut sent = 0;
    for step in 0..WARM_UP_MS + WINDOW_MS {
        if step == WARM_UP_MS {
            cluster.traffic.clear();
            cluster.log.appends.clear();
        }
        while sent * 1_000 < rate * (step + 1) {
            let call = match kind {
                KeyKind::None => Call::status(sent),
                KeyKind::Ticket => Call::booking(sent, &tickets[sent as usize]),
                KeyKind::Claim => Call::booking(sent, &cluster.key(sent, 0)),
            };
            let place = cluster.send(sent as usize % vms, &call);
            places.push((place, cluster.now));
            sent += 1;
        }
        cluster.run(1);
    }
    let elapsed = start.elapsed().as_secs_f64();
    let seconds = WINDOW_MS as f64 / 1_000.0;
    let appends = |prefix: &str| {
        let streams = cluster.log.appends.iter();
        let streams = streams.filter(|(stream, _)| stream.as_str().starts_with(prefix));
        streams.map(|(_, count)| count).sum::<u64>() as f64 / seconds
    };
    let traffic = |kind: &str| cluster.traffic.get(kind).copied().unwrap_or_default();
    let per_vm = |count: u64| count as f64 / seconds / vms as f64;
    let (claim_appends, bill_appends) = (appends("claims-"), appends("bills"));
    let (claim_bytes, bill_bytes) = (per_vm(traffic("claim").1), per_vm(traffic("bill").1));
    let bill_messages = per_vm(traffic("bill").0);
    cluster.run(15_000);
    let mut delays = Histogram::new(3).expect("three digits are allowed");
    for (place, sent) in &places {
        if let Some(started) = cluster.started.get(place) {
            delays.saturating_record(started.since(*sent).0);
        }
    }
    RunFigures {
        delays,
        claim_appends,
        bill_appends,
        claim_bytes,
        bill_bytes,
        bill_messages,
        whole: places.iter().filter(|(place, _)| cluster.is_whole(*place)).count(),
        sent: places.len(),
        most_runs: cluster.most_runs(),
        billed: cluster.billed(),
        elapsed,
    }
}

fn print_runs() {
    let (link, log) = LATENCIES_MS;
    println!("virtual time; a message takes {link} ms, an answer of the log {log} ms");
    println!(
        "{:>4} {:>6} {:>7} | {:>5} {:>5} {:>5} | {:>8} {:>8} {:>8} | {:>9} {:>9} {:>7} | {:>11} {:>4} {:>6}",
        "VMs",
        "req/s",
        "key",
        "p50",
        "p99",
        "max",
        "claims/s",
        "bills/s",
        "sum",
        "claim B/s",
        "bill B/s",
        "msg/s",
        "whole",
        "runs",
        "cpu s"
    );
    for (vms, zones, rate) in [(3, 2, 100), (9, 4, 300), (400, 8, 900)] {
        for kind in [KeyKind::None, KeyKind::Ticket, KeyKind::Claim] {
            let figures = run(vms, zones, rate, kind);
            println!(
                "{vms:>4} {rate:>6} {:>7} | {:>5} {:>5} {:>5} | {:>8.1} {:>8.1} {:>8.1} | {:>9.0} {:>9.0} {:>7.1} | {:>5}/{:>5} {:>4} {:>6.1}",
                format!("{kind:?}"),
                figures.delays.value_at_quantile(0.5),
                figures.delays.value_at_quantile(0.99),
                figures.delays.max(),
                figures.claim_appends,
                figures.bill_appends,
                figures.claim_appends + figures.bill_appends,
                figures.claim_bytes,
                figures.bill_bytes,
                figures.bill_messages,
                figures.whole,
                figures.sent,
                figures.most_runs,
                figures.elapsed,
            );
            assert_eq!(figures.billed, (figures.sent as u64, 0), "each request is billed once");
        }
    }
}

fn final_bill(number: u64) -> BillRecord {
    let target = || WorkTarget::Version("planner-large@2026-11".parse().expect("a version"));
    let request = RequestId {
        vm: "entry-norte-17".parse().expect("a VM"),
        incarnation: Incarnation(1_760_000_000_000),
        number: RequestNumber(number),
    };
    let part = BillPart {
        attempt: AttemptId(1),
        target: target(),
        server: "planning-norte-112".parse().expect("a server"),
        run: RunState::Ran,
        usage: TokenUsage { prompt: Tokens(4_000), output: Tokens(250) },
        cost: Cost(0.0123),
        charge: PartCharge::Charged,
    };
    BillRecord {
        key: BillKey::of_request(&request),
        request,
        team: "ruedaparque-crews".parse().expect("a team"),
        subscriber: "crew-quito-sur-31".parse().expect("a subscriber"),
        opened: Millis(1_760_000_000_000),
        stage: BillStage::Final { cost: Cost(0.0123), parts: vec![part] },
    }
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Fills a ledger as an outage of the log does, and prints how long the bound lasts.
fn print_outage() {
    const VM_RATE: f64 = 4_500.0 / 400.0;
    const HOLDERS: f64 = 3.0;
    let before = resident_bytes();
    let mut ledger = BillLedger::default();
    let mut count = 0;
    while !ledger.is_full() {
        count += 1;
        let bill = final_bill(count);
        let stage = bill.stage.clone();
        ledger.open(bill, Vec::new());
        ledger.close(RequestNumber(count), stage);
    }
    let resident = resident_bytes() - before;
    let each = resident as f64 / count as f64;
    let wire = rmp_serde::to_vec(&final_bill(1)).map(|bytes| bytes.len()).unwrap_or_default();
    println!("own bills up to the bound of {} bytes: {count}", BillLedger::OWN_LIMIT_BYTES);
    println!("accounted {:.0} bytes a bill", ledger.memory_usage().0.0 as f64 / count as f64);
    println!("resident {resident} bytes, {each:.0} bytes a bill; {wire} bytes on the wire");
    let hours = |bytes: f64| bytes / each / HOLDERS / VM_RATE / 3_600.0;
    println!(
        "outage until the bound, at {VM_RATE} requests/s: {:.1} h",
        count as f64 / VM_RATE / 3_600.0
    );
    println!(
        "outage that 256 MB bear with copies for two peers: {:.1} h",
        hours(256.0 * 1_024.0 * 1_024.0)
    );
}

fn main() {
    print_outage();
    println!();
    print_runs();
}
