//! What an entry VM adds to requests, against the same load sent straight to the stand-in engine.
//!
//! Everything runs in one process over loopback sockets. Log lines are formatted as in service and
//! written to a sink. `cargo bench --bench traffic` prints one line for each figure.

use {
    bench_stage::BenchStage,
    bytes::Bytes,
    guavapass::{
        configuration::{ConfigurationChange, ConfigurationDocument, PublicationOutcome},
        control::{OperatorAnswer, OperatorRequest},
        document::parse_document,
        driver::EntryVm,
        ports::{MemberState, ServerMember},
        settings::*,
        stand_in::{AnswerFault, EngineSetup, EngineStandIn, PlatformStandIn},
        units::Millis,
    },
    hdrhistogram::Histogram,
    http::Request,
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1::SendRequest,
    hyper_util::rt::TokioIo,
    load_caller::LoadCaller,
    process_usage::ProcessUsage,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::net::TcpStream,
};

mod bench_stage;
mod load_caller;
mod process_usage;

const ROUNDS: usize = 3;
const CONNECTIONS: usize = 64;
const RATE_PER_SECOND: u32 = 1_000;
const PACED_TIME: Duration = Duration::from_secs(5);
const CLOSED_TIME: Duration = Duration::from_secs(3);
const OPEN_STREAMS: usize = 1_000;

/// Whether answers are streamed.
#[derive(Clone, Copy, Debug)]
enum AnswerKind {
    Plain,
    Stream,
}

/// The measurements of one way to the engine.
#[derive(Default)]
struct WayRecord {
    first_p50: Vec<f64>,
    first_p99: Vec<f64>,
    whole_p50: Vec<f64>,
    whole_p99: Vec<f64>,
    per_second: Vec<f64>,
}

fn main() {
    tracing_subscriber::fmt().json().with_writer(std::io::sink).init();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .thread_name("load")
        .enable_all()
        .build()
        .expect("a runtime starts");
    let stage = BenchStage::start(&runtime);
    for kind in [AnswerKind::Plain, AnswerKind::Stream] {
        runtime.block_on(compare(&stage, kind));
    }
    runtime.block_on(measure_streams(&stage));
    // Listeners, engines and runtimes end with the process.
    std::process::exit(0);
}

async fn compare(stage: &BenchStage, kind: AnswerKind) {
    let mut direct = WayRecord::default();
    let mut through = WayRecord::default();
    let mut vm_cpu_us = Vec::new();
    for _ in 0..ROUNDS {
        measure(stage.engine.address(), kind, &mut direct).await;
        let before = ProcessUsage::vm_cpu();
        let calls = measure(stage.vm.callers, kind, &mut through).await;
        let spent = ProcessUsage::vm_cpu().saturating_sub(before);
        vm_cpu_us.push(spent.as_secs_f64() * 1e6 / calls as f64);
    }
    println!(
        "{kind:?}, {RATE_PER_SECOND} requests/s, {CONNECTIONS} connections, median of {ROUNDS} rounds"
    );
    let print = |what: &str, direct: &[f64], through: &[f64]| {
        let (direct, through) = (median(direct), median(through));
        println!(
            "  {what:<22} direct {direct:>8.3} ms, through {through:>8.3} ms, added {:>8.3} ms",
            through - direct
        );
    };
    print("first byte p50", &direct.first_p50, &through.first_p50);
    print("first byte p99", &direct.first_p99, &through.first_p99);
    print("whole answer p50", &direct.whole_p50, &through.whole_p50);
    print("whole answer p99", &direct.whole_p99, &through.whole_p99);
    let (fast, slow) = (median(&direct.per_second), median(&through.per_second));
    println!(
        "  closed loop            direct {fast:>8.0} /s, through {slow:>8.0} /s, ratio {:.2}",
        slow / fast
    );
    println!("  processor time of the entry VM's threads: {:.0} us a request", median(&vm_cpu_us));
    println!("  by thread so far: {}", ProcessUsage::vm_threads());
}

/// Measures one way and returns how many requests were sent.
async fn measure(address: SocketAddr, kind: AnswerKind, record: &mut WayRecord) -> u64 {
    let (first, whole) = LoadCaller::paced(address, kind).await;
    let milliseconds =
        |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as f64 / 1e6;
    record.first_p50.push(milliseconds(&first, 0.5));
    record.first_p99.push(milliseconds(&first, 0.99));
    record.whole_p50.push(milliseconds(&whole, 0.5));
    record.whole_p99.push(milliseconds(&whole, 0.99));
    let count = LoadCaller::closed(address, kind).await;
    record.per_second.push(count as f64 / CLOSED_TIME.as_secs_f64());
    whole.len() + count
}

/// Holds streams open straight and through the VM; the difference is what the VM holds for them.
async fn measure_streams(stage: &BenchStage) {
    stage.engine.faults().set_answer(AnswerFault::Stalled);
    let start = ProcessUsage::resident_bytes();
    let direct = LoadCaller::open_streams(stage.engine.address(), OPEN_STREAMS).await;
    let middle = ProcessUsage::resident_bytes();
    let through = LoadCaller::open_streams(stage.vm.callers, OPEN_STREAMS).await;
    let end = ProcessUsage::resident_bytes();
    let each = |bytes: u64| bytes as f64 / OPEN_STREAMS as f64 / 1024.0;
    let (alone, both) = (each(middle - start), each(end - middle));
    println!("Open streams, {OPEN_STREAMS} of each, by VmRSS of the process");
    println!(
        "  caller and engine {alone:.1} KiB, with the VM {both:.1} KiB, the VM {:.1} KiB a stream",
        both - alone
    );
    drop((direct, through));
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}
