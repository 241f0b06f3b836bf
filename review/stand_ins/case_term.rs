//! Case: the machines are stopped and started in turn while clients upload.

use crate::bench::{Bench, configuration, has_trouble, new_id};
use crate::case_leave::changed_runs;
use crate::client::{self, Call, Pace, Upload};
use crate::gateway::free_address;
use crate::server::ServerProcess;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const LENGTH_S: f64 = 44.0;
const GRACE_S: u64 = 8;
const CLIENTS: usize = 60;
/// 8 parts of 2 KB within 800 ms.
const PACE: Pace =
    Pace { bytes: 16_000, parts: 8, pause: Duration::from_millis(100), leaves_after: None };

pub fn run(folder: &str) -> i32 {
    let Some(mut bench) = Bench::start(2, &configuration(7, &[KEY])) else { return 2 };
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
    let machines: Vec<_> = bench.gateways.iter().map(|one| (one.front, one.ready)).collect();
    let gateways = Mutex::new(std::mem::take(&mut bench.gateways));
    let is_in: [AtomicBool; 2] = [AtomicBool::new(true), AtomicBool::new(true)];
    let (begun, served, whole) = (Instant::now(), AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        // The platform asks each machine once a second; two misses take it out.
        for (place, (_, ready)) in machines.iter().enumerate() {
            let is_in = &is_in;
            scope.spawn(move || {
                let mut misses = 0;
                while begun.elapsed().as_secs_f64() < LENGTH_S {
                    misses = if client::is_ready(*ready) { 0 } else { misses + 1 };
                    is_in[place].store(misses < 2, Ordering::SeqCst);
                    std::thread::sleep(Duration::from_secs(1));
                }
            });
        }
        for number in 0..CLIENTS {
            let (bench, machines, is_in) = (&bench, &machines, &is_in);
            let (served, whole) = (&served, &whole);
            scope.spawn(move || {
                let mut kept: Option<(usize, Upload)> = None;
                std::thread::sleep(Duration::from_millis(97 * number as u64));
                while begun.elapsed().as_secs_f64() < LENGTH_S - 4.0 {
                    let place = if is_in[number % 2].load(Ordering::SeqCst) {
                        number % 2
                    } else {
                        1 - number % 2
                    };
                    let open = || Upload::open(machines[place].0).map(|upload| (place, upload));
                    let Some((place, upload)) = kept.take().or_else(open) else {
                        std::thread::sleep(Duration::from_millis(100));
                        continue;
                    };
                    let id = new_id();
                    bench.note(format!("send {id} POST to machine {place}"));
                    let path = "/puxa403/2f";
                    let call =
                        Call { method: "POST", path, id: &id, key: Some(KEY), deadline_ms: 3_000 };
                    let (seen, next) = upload.send(&call, PACE);
                    bench.note(format!("answer {id} {}", seen.status));
                    if seen.status == 200 {
                        served.fetch_add(1, Ordering::SeqCst);
                        whole.lock().unwrap().push(id);
                    }
                    kept = next.map(|upload| (place, upload));
                    std::thread::sleep(Duration::from_millis(3_000 + 17 * number as u64));
                }
            });
        }
        for place in 0..2 {
            std::thread::sleep(Duration::from_secs(6));
            if !has_trouble() {
                continue;
            }
            let mut gateways = gateways.lock().unwrap();
            bench.note(format!("SIGTERM to machine {place}"));
            if !gateways[place].terminate() {
                return;
            }
            let until = Instant::now() + Duration::from_secs(GRACE_S);
            while Instant::now() < until && !gateways[place].has_ended() {
                std::thread::sleep(Duration::from_millis(20));
            }
            gateways[place].stop();
            bench.note(format!("machine {place} has ended"));
            std::thread::sleep(Duration::from_millis(500));
            if !gateways[place].restart() {
                return;
            }
            bench.note(format!("machine {place} starts"));
            std::thread::sleep(Duration::from_secs(6));
        }
    });
    drop((servers, gateways));
    let served = served.into_inner();
    println!("{served} requests answered with 200");
    if served < 100 {
        return 2;
    }
    let whole = whole.into_inner().unwrap();
    let changed: Vec<String> = changed_runs(&bench, PACE.bytes)
        .into_iter()
        .map(|line| {
            let is_served = whole.iter().any(|id| line.contains(id.as_str()));
            line + if is_served { ", and its client got 200" } else { "" }
        })
        .collect();
    bench.finish(folder, &changed)
}
