//! Backend servers that send endless answers, over real sockets.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use route_server::{FloodedPart, RouteServer, ServerAction};
use std::time::{Duration, Instant};

const PARTS: [FloodedPart; 9] = [
    FloodedPart::StatusLine,
    FloodedPart::Header,
    FloodedPart::Headers,
    FloodedPart::Interim,
    FloodedPart::ChunkSize,
    FloodedPart::ChunkExtension,
    FloodedPart::Trailers,
    FloodedPart::Body,
    FloodedPart::Event,
];
/// The time to detect a flood, less than the objective of the routes (2 s): it must be detected by
/// its size, not by a timeout.
const DETECTED_WITHIN: Duration = Duration::from_millis(1_500);
/// The permitted growth of this process, which holds both ends of each connection.
const GROWTH_KB: u64 = 64 * 1_024;

/// Returns the resident memory of this process in kB.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

#[test]
fn flood_cancelled_and_retried() {
    for path in ["/slot/a", "/plan/a"] {
        for part in PARTS {
            let stage = Stage::start(2, 1);
            for server in &stage.servers {
                server.script(&[ServerAction::Flood(part)]);
            }
            let (before, begun) = (resident_kb(), Instant::now());
            let answer = stage.call("POST", path);
            let took = begun.elapsed();
            assert_eq!(answer.status, 200, "{path} {part:?}: {}", answer.head);
            assert!(!answer.body.contains("xxxx"), "{path} {part:?}");
            assert!(took < DETECTED_WITHIN * 2, "{path} {part:?} took {took:?} at two servers");
            let grown = resident_kb().saturating_sub(before);
            assert!(grown < GROWTH_KB, "{path} {part:?} grew by {grown} kB");
            let closed_by_peer =
                || stage.servers.iter().map(RouteServer::closed_by_peer).sum::<usize>();
            eventually("the connections are closed", || closed_by_peer() == 2);
        }
    }
}

#[test]
fn flood_of_once_call_not_retried() {
    for part in PARTS {
        let stage = Stage::start(1, 1);
        stage.servers[0].script(&[ServerAction::Flood(part)]);
        let answer = stage.call("POST", "/book/a");
        assert!([502, 504].contains(&answer.status), "{part:?}: {}", answer.head);
        assert_eq!(stage.seen(), 1, "{part:?}: sent once, as it may have run");
        eventually("the connection is closed", || stage.servers[0].closed_by_peer() == 1);
    }
}
