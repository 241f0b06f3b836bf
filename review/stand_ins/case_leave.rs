//! Case: clients leave in the middle of their upload.

use crate::bench::{Bench, configuration, has_trouble, new_id};
use crate::client::{Call, Pace, Upload};
use crate::gateway::free_address;
use crate::server::{ServerProcess, hash, whole_body};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const LENGTH_S: f64 = 16.0;
/// The time in which clients leave, and the share of them that does.
const LEAVING_S: (f64, f64) = (5.0, 10.5);
const SHARE: usize = 5;
/// 8 parts of 2 KB within 160 ms.
const PACE: Pace =
    Pace { bytes: 16_000, parts: 8, pause: Duration::from_millis(20), leaves_after: None };

pub fn run(folder: &str) -> i32 {
    let Some(bench) = Bench::start(2, &configuration(7, &[KEY])) else { return 2 };
    let manner = ["60", "800", "length", "1", "0"];
    let mut servers = Vec::new();
    for id in ["i-7f3a91c2", "i-02d9e6b4", "i-51b0c3aa"] {
        let server = ServerProcess::start(free_address(), id, manner, &bench.runs);
        let Some(server) = server else { return 2 };
        bench.register(&server);
        servers.push(server);
    }
    if !bench.wait_ready() {
        return 2;
    }
    let begun = Instant::now();
    let (served, left) = (AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for number in 0..10 {
            let (bench, served, left) = (&bench, &served, &left);
            scope.spawn(move || {
                let gateway = &bench.gateways[number % 2];
                let mut count = 0;
                while begun.elapsed().as_secs_f64() < LENGTH_S {
                    let id = new_id();
                    let at = begun.elapsed().as_secs_f64();
                    let is_leaving = LEAVING_S.0 <= at && at < LEAVING_S.1 && has_trouble();
                    let leaves = is_leaving && number % SHARE == 0;
                    count += 1;
                    let leaves_after = leaves.then_some(1 + count % (PACE.parts - 2));
                    bench.note(format!("send {id} POST to {}", gateway.name));
                    let path = "/puxa403/2f";
                    let call =
                        Call { method: "POST", path, id: &id, key: Some(KEY), deadline_ms: 3_000 };
                    let Some(upload) = Upload::open(gateway.front) else { continue };
                    let (seen, _) = upload.send(&call, Pace { leaves_after, ..PACE });
                    if let Some(parts) = leaves_after {
                        let bytes = parts * PACE.bytes / PACE.parts;
                        bench.note(format!("client of {id} leaves after {bytes} bytes"));
                        left.fetch_add(1, Ordering::SeqCst);
                    } else {
                        bench.note(format!("answer {id} {}", seen.status));
                        served.fetch_add(usize::from(seen.status == 200), Ordering::SeqCst);
                    }
                    std::thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    std::thread::sleep(Duration::from_millis(500));
    drop(servers);
    let (served, left) = (served.into_inner(), left.into_inner());
    println!("{served} requests answered with 200, {left} clients left");
    if served < 100 || has_trouble() && left == 0 {
        return 2;
    }
    let changed = changed_runs(&bench, PACE.bytes);
    bench.finish(folder, &changed)
}

/// Returns a line for each run whose body is not the one that its client began to send.
pub fn changed_runs(bench: &Bench, bytes: usize) -> Vec<String> {
    let runs = bench.runs.lock().unwrap();
    let is_changed = |body: &[u8], length: usize, found: u64| {
        length != body.len() || found != hash(body)
    };
    let mut lines = Vec::new();
    for run in runs.iter() {
        let body = whole_body(&run.request, bytes);
        if is_changed(&body, run.bytes, run.hash) {
            lines.push(format!(
                "UNASKED: POST {} ran at {} with {} of {bytes} bytes of its body",
                run.request, run.server, run.bytes
            ));
        }
    }
    lines
}
