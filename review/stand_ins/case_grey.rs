//! Case: a server runs part of its requests and then fails them with 503.

use crate::bench::{Bench, configuration, has_trouble, new_id};
use crate::client::{self, Call};
use crate::gateway::free_address;
use crate::server::ServerProcess;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const LENGTH_S: u64 = 18;
/// One of seven servers is grey for this time.
const SERVERS: usize = 7;
const GREY_FOR_MS: u64 = 6_500;

pub fn run(folder: &str) -> i32 {
    let Some(bench) = Bench::start(2, &configuration(7, &[KEY])) else { return 2 };
    let manner = ["60", "800", "length", "1", "0"];
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let id = format!("i-7f3a91{number:02x}");
        let server = ServerProcess::start(free_address(), &id, manner, &bench.runs);
        let Some(server) = server else { return 2 };
        bench.register(&server);
        servers.push(server);
    }
    if !bench.wait_ready() {
        return 2;
    }
    let begun = Instant::now();
    // The client attempts of each booking, with the status that each got.
    let bookings: Mutex<Vec<Vec<(String, u16)>>> = Mutex::default();
    std::thread::scope(|scope| {
        for number in 0..8 {
            let (bench, bookings) = (&bench, &bookings);
            scope.spawn(move || {
                while begun.elapsed() < Duration::from_secs(LENGTH_S) {
                    let mut attempts = Vec::new();
                    // A promise that it has not run lets a client try once more, at any machine.
                    for attempt in 0..2 {
                        let id = new_id();
                        let gateway = &bench.gateways[(number + attempt) % 2];
                        bench.note(format!("send {id} POST to {}", gateway.name));
                        let path = "/puxa403/2f";
                        let (method, key) = ("POST", Some(KEY));
                        let call = Call { method, path, id: &id, key, deadline_ms: 3_000 };
                        let status = client::send(gateway.front, &call).status;
                        bench.note(format!("answer {id} {status}"));
                        attempts.push((id, status));
                        if !matches!(status, 408 | 421 | 429 | 503) {
                            break;
                        }
                    }
                    bookings.lock().unwrap().push(attempts);
                    std::thread::sleep(Duration::from_millis(50));
                }
            });
        }
        if has_trouble() {
            std::thread::sleep(Duration::from_secs(5));
            servers[0].set_grey(true);
            bench.note(format!("{} is grey", servers[0].id));
            std::thread::sleep(Duration::from_millis(GREY_FOR_MS));
            servers[0].set_grey(false);
            bench.note(format!("{} is sound again", servers[0].id));
        }
    });
    drop(servers);
    let bookings = bookings.into_inner().unwrap();
    let runs = bench.runs.lock().unwrap().clone();
    let has_run = |id: &str| runs.iter().any(|run| run.request == id);
    let served = bookings.iter().flatten().filter(|(_, status)| *status == 200).count();
    let twice = |attempts: &&Vec<(String, u16)>| {
        attempts.iter().filter(|(id, _)| has_run(id)).count() > 1
    };
    let twice = bookings.iter().filter(twice).count();
    println!("{} bookings, {served} answered with 200, {twice} run twice", bookings.len());
    if served < 100 {
        return 2;
    }
    let broken: Vec<String> = bookings
        .iter()
        .flatten()
        .filter(|(id, status)| matches!(status, 408 | 421 | 429 | 503) && has_run(id))
        .map(|(id, status)| format!("REFUSED: POST {id} was answered {status} and has run"))
        .collect();
    bench.finish(folder, &broken)
}
