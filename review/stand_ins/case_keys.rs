//! Case: the operator takes away the last key of the only tenant.

use crate::bench::{Bench, configuration, has_trouble, new_id};
use crate::client::{self, Call};
use crate::gateway::free_address;
use crate::server::ServerProcess;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const KEYS: [&str; 2] = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"];
/// A key that no configuration ever held.
const UNKNOWN: &str = "zzzzzzzzzzzzzzzzzzzz";
const REVOKE_MS: u64 = 5_000;
const LENGTH_S: u64 = 24;

struct Sent {
    id: String,
    key: &'static str,
    at: Instant,
    status: u16,
}

pub fn run(folder: &str) -> i32 {
    let Some(bench) = Bench::start(2, &configuration(7, &KEYS)) else { return 2 };
    let manner = ["60", "800", "length", "1", "0"];
    let mut servers = Vec::new();
    for id in ["i-7f3a91c2", "i-02d9e6b4"] {
        let server = ServerProcess::start(free_address(), id, manner, &bench.runs);
        let Some(server) = server else { return 2 };
        bench.register(&server);
        servers.push(server);
    }
    if !bench.wait_ready() {
        return 2;
    }
    let begun = Instant::now();
    let sent: Mutex<Vec<Sent>> = Mutex::default();
    let mut removed: [Option<Instant>; 2] = [None; 2];
    std::thread::scope(|scope| {
        for (gateway, key) in bench
            .gateways
            .iter()
            .flat_map(|gateway| [KEYS[0], KEYS[1], UNKNOWN].map(|key| (gateway, key)))
        {
            let (bench, sent) = (&bench, &sent);
            scope.spawn(move || {
                while begun.elapsed() < Duration::from_secs(LENGTH_S) {
                    let id = new_id();
                    let (method, path) = [("GET", "/cufi504/fi50/2f"), ("POST", "/puxa403/2f")]
                        [usize::from(id.ends_with(['0', '2', '4', '6', '8', 'a', 'c', 'e']))];
                    let at = Instant::now();
                    bench.note(format!("send {id} {method} to {} key {key}", gateway.name));
                    let call = Call { method, path, id: &id, key: Some(key), deadline_ms: 3_000 };
                    let seen = client::send(gateway.front, &call);
                    bench.note(format!("answer {id} {}", seen.status));
                    sent.lock().unwrap().push(Sent { id, key, at, status: seen.status });
                    std::thread::sleep(Duration::from_millis(150));
                }
            });
        }
        if has_trouble() {
            for (step, keys) in [&KEYS[..1], &[]].into_iter().enumerate() {
                let at = Duration::from_secs(5 + 4 * step as u64);
                std::thread::sleep(at.saturating_sub(begun.elapsed()));
                let document = configuration(9 + 2 * step as u64, keys);
                removed[1 - step] = Some(bench.store.put("keyed.op", "config", &document));
                bench.note(format!("acknowledged: configuration with the keys {keys:?}"));
            }
        }
    });
    let runs = bench.runs.lock().unwrap().clone();
    let sent = sent.into_inner().unwrap();
    let served = sent.iter().filter(|one| one.status == 200).count();
    println!("{} requests sent, {served} answered with 200, {} runs", sent.len(), runs.len());
    if served < 50 {
        return 2;
    }
    let has_run = |one: &&Sent| runs.iter().any(|run| run.request == one.id);
    let is_late = |one: &&Sent| {
        let place = KEYS.iter().position(|key| *key == one.key);
        let end = place.and_then(|place| removed[place]);
        end.is_some_and(|end| one.at > end + Duration::from_millis(REVOKE_MS))
    };
    let late = sent.iter().filter(is_late).filter(has_run).count();
    let unknown = sent.iter().filter(|one| one.key == UNKNOWN).filter(has_run).count();
    let foreign = runs.iter().filter(|run| run.tenant != "hule930").count();
    let mut broken = Vec::new();
    let mut check = |count: usize, text: &str| {
        if count > 0 {
            broken.push(format!("{text}: {count}"));
        }
    };
    check(late, "CONFIG: requests run that were sent over 5 s after their key was taken away");
    check(unknown, "ROUTE: requests run with a key that no configuration ever held");
    check(foreign, "UNASKED: requests run without the tenant that holds the key in X-Tenant");
    drop(servers);
    bench.finish(folder, &broken)
}
