//! Backend servers whose answers are bytes without end, over real sockets.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use route_server::{FloodPlace, RouteServer, ServerMove};
use std::time::{Duration, Instant};

const PLACES: [FloodPlace; 9] = [
    FloodPlace::StatusLine,
    FloodPlace::Header,
    FloodPlace::Headers,
    FloodPlace::Interim,
    FloodPlace::ChunkSize,
    FloodPlace::ChunkExtension,
    FloodPlace::Trailers,
    FloodPlace::Body,
    FloodPlace::Event,
];
/// Less than the objective of the routes (2 s): a flood is known by its size, not by the clock.
const KNOWN_WITHIN: Duration = Duration::from_millis(1_500);
/// The most that this process may grow by, with both ends of each connection in it.
const GROWTH_KB: u64 = 64 * 1_024;

/// Returns the resident memory of this process.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

#[test]
fn flood_ends_and_the_call_goes_elsewhere() {
    for path in ["/slot/a", "/plan/a"] {
        for place in PLACES {
            let stage = Stage::start(2, 1);
            for server in &stage.servers {
                server.script(&[ServerMove::Flood(place)]);
            }
            let (before, begun) = (resident_kb(), Instant::now());
            let answer = stage.call("POST", path);
            let took = begun.elapsed();
            assert_eq!(answer.status, 200, "{path} {place:?}: {}", answer.head);
            assert!(!answer.body.contains("xxxx"), "{path} {place:?}");
            assert!(took < KNOWN_WITHIN * 2, "{path} {place:?} took {took:?} at two servers");
            let grown = resident_kb().saturating_sub(before);
            assert!(grown < GROWTH_KB, "{path} {place:?} grew by {grown} kB");
            let hung_up = || stage.servers.iter().map(RouteServer::hung_up).sum::<usize>();
            eventually("the connections are closed", || hung_up() == 2);
        }
    }
}

#[test]
fn flood_of_a_booking_promises_nothing() {
    for place in PLACES {
        let stage = Stage::start(1, 1);
        stage.servers[0].script(&[ServerMove::Flood(place)]);
        let answer = stage.call("POST", "/book/a");
        assert!([502, 504].contains(&answer.status), "{place:?}: {}", answer.head);
        assert_eq!(stage.seen(), 1, "{place:?}: it may have run, so it was sent once");
        eventually("the connection is closed", || stage.servers[0].hung_up() == 1);
    }
}
