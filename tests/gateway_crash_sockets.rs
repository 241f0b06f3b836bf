//! Requests that end the servers that run them, over real sockets.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use route_server::ServerMove;
use std::time::Duration;

/// The servers that a request ends before it is known: as many as condemn it.
const CONDEMNED_AFTER: usize = 3;

fn ended(stage: &Stage) -> usize {
    stage.servers.iter().filter(|server| server.has_ended()).count()
}

/// Sends a request at one entry VM after the other, and returns the last answer.
fn send_at_all(stage: &Stage, method: &str, path: &str, rounds: usize) -> CallAnswer {
    let mut last = None;
    for round in 0..rounds {
        last = Some(stage.call_with(round % stage.vms.len(), method, path, "key-1", ""));
        // The VMs tell each other within a few of their polls, which come each 100 ms.
        std::thread::sleep(Duration::from_millis(500));
    }
    last.unwrap()
}

#[test]
fn crash_request_stopped_at_all_vms() {
    for (method, path, rounds) in
        [("POST", "/plan/crash", 3), ("GET", "/slot/crash", 3), ("POST", "/book/crash", 5)]
    {
        let stage = Stage::start(6, 3);
        let answer = send_at_all(&stage, method, path, rounds);
        assert_eq!(ended(&stage), CONDEMNED_AFTER, "{path}");
        assert_eq!(answer.status, 503, "{path}: {answer:?}");
        assert!(answer.head.contains("retry-after: "), "{path}: {answer:?}");
        let other = stage.call("GET", "/slot/a");
        assert_eq!(other.status, 200, "another request is served");
    }
}

#[test]
fn crash_request_of_another_caller_runs() {
    let stage = Stage::start(6, 2);
    send_at_all(&stage, "POST", "/plan/crash", 2);
    assert_eq!(ended(&stage), CONDEMNED_AFTER);
    stage.call_with(0, "POST", "/plan/crash", "key-2", "");
    assert!(ended(&stage) > CONDEMNED_AFTER, "it is another request");
}

#[test]
fn crash_not_taken_from_connections_that_close() {
    let stage = Stage::start(3, 1);
    for server in &stage.servers {
        server.script(&[ServerMove::Close]);
    }
    assert_eq!(stage.call("GET", "/slot/a").status, 502, "all three attempts broke");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(stage.call("GET", "/slot/a").status, 200, "the servers live on");
}
