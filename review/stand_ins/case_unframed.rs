//! Case: a server crashes while it writes an answer that has no length.

use crate::bench::{Bench, configuration, has_trouble, new_id};
use crate::client::{self, Call};
use crate::gateway::free_address;
use crate::server::{ServerProcess, whole_body};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const BYTES: usize = 800;
const LENGTH_S: u64 = 40;
/// A server that crashes is back after this time.
const DOWN_S: f64 = 2.0;
const CRASHES: u64 = 6;

pub fn run(folder: &str) -> i32 {
    let Some(bench) = Bench::start(2, &configuration(7, &[KEY])) else { return 2 };
    // 60 ms of work; the body follows in 8 parts within 100 ms.
    let manner = ["60", "800", "unframed", "8", "14"];
    let start = |number: usize| {
        let id = format!("i-7f3a91{number:02x}");
        let server = ServerProcess::start(free_address(), &id, manner, &bench.runs)?;
        bench.register(&server);
        Some(server)
    };
    let mut servers: Vec<Option<ServerProcess>> = (0..4).map(start).collect();
    if servers.iter().any(Option::is_none) || !bench.wait_ready() {
        return 2;
    }
    let begun = Instant::now();
    let broken: Mutex<Vec<String>> = Mutex::default();
    let (whole, other) = (AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for (gateway, (method, path)) in bench.gateways.iter().flat_map(|gateway| {
            let safe = ("GET", "/cufi504/fi50/2f");
            [safe, safe, ("POST", "/puxa403/2f")].map(|call| (gateway, call))
        }) {
            let (bench, broken, whole, other) = (&bench, &broken, &whole, &other);
            scope.spawn(move || {
                while begun.elapsed() < Duration::from_secs(LENGTH_S) {
                    let id = new_id();
                    bench.note(format!("send {id} {method} to {}", gateway.name));
                    let call = Call { method, path, id: &id, key: Some(KEY), deadline_ms: 3_000 };
                    let seen = client::send(gateway.front, &call);
                    let length = seen.body.len();
                    bench.note(format!(
                        "answer {id} {} signed {} complete {} bytes {length}",
                        seen.status, seen.is_signed, seen.is_whole
                    ));
                    if seen.status != 200 || !seen.is_whole {
                        other.fetch_add(1, Ordering::SeqCst);
                    } else if seen.body == whole_body(&id, BYTES) && seen.is_signed {
                        whole.fetch_add(1, Ordering::SeqCst);
                    } else {
                        let text = format!(
                            "MIXED: {method} {id} got 200, complete, with {length} of {BYTES} bytes"
                        );
                        broken.lock().unwrap().push(text);
                    }
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
        if has_trouble() {
            for crash in 0..CRASHES {
                std::thread::sleep(Duration::from_millis(3_300));
                let place = crash as usize % servers.len();
                if let Some(mut server) = servers[place].take() {
                    server.crash();
                    bench.note(format!("crash of {}", server.id));
                    bench.silence(&server.id);
                }
                std::thread::sleep(Duration::from_secs_f64(DOWN_S));
                servers[place] = start(16 + crash as usize);
            }
        }
    });
    let (whole, other) = (whole.into_inner(), other.into_inner());
    println!("{whole} whole answers, {other} refused or failed");
    if whole < 50 {
        return 2;
    }
    drop(servers);
    let broken = broken.into_inner().unwrap();
    bench.finish(folder, &broken)
}
