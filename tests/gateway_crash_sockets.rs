//! Quarantine of requests that crash the servers that run them, over real sockets.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use route_server::ServerAction;
use std::time::Duration;

/// Number of servers that a request crashes before it is quarantined.
const CRASHES_TO_QUARANTINE: usize = 3;

fn crashed_servers(stage: &Stage) -> usize {
    stage.servers.iter().filter(|server| server.has_ended()).count()
}

/// Sends a request to the entry VMs in turn and returns the last answer.
fn send_to_all(stage: &Stage, method: &str, path: &str, rounds: usize) -> CallAnswer {
    let mut last = None;
    for round in 0..rounds {
        last = Some(stage.call_with(round % stage.vms.len(), method, path, "key-1", ""));
        // The VMs exchange crashes within a few of their polls, which are sent every 100 ms.
        std::thread::sleep(Duration::from_millis(500));
    }
    last.unwrap()
}

#[test]
fn crashing_request_is_stopped_at_all_vms() {
    for (method, path, rounds) in
        [("POST", "/plan/crash", 3), ("GET", "/slot/crash", 3), ("POST", "/book/crash", 5)]
    {
        let stage = Stage::start(6, 3);
        let answer = send_to_all(&stage, method, path, rounds);
        assert_eq!(crashed_servers(&stage), CRASHES_TO_QUARANTINE, "{path}");
        assert_eq!(answer.status, 503, "{path}: {answer:?}");
        assert!(answer.head.contains("retry-after: "), "{path}: {answer:?}");
        let other = stage.call("GET", "/slot/a");
        assert_eq!(other.status, 200, "other requests are served");
    }
}

#[test]
fn same_request_of_another_caller_runs() {
    let stage = Stage::start(6, 2);
    send_to_all(&stage, "POST", "/plan/crash", 2);
    assert_eq!(crashed_servers(&stage), CRASHES_TO_QUARANTINE);
    stage.call_with(0, "POST", "/plan/crash", "key-2", "");
    assert!(
        crashed_servers(&stage) > CRASHES_TO_QUARANTINE,
        "the other caller's request is not quarantined"
    );
}

#[test]
fn closed_connections_do_not_count_as_crashes() {
    let stage = Stage::start(3, 1);
    for server in &stage.servers {
        server.script(&[ServerAction::Close]);
    }
    assert_eq!(stage.call("GET", "/slot/a").status, 502, "all three attempts broke");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(stage.call("GET", "/slot/a").status, 200, "the servers still run");
}

#[test]
fn crashing_part_is_stopped_at_all_vms() {
    let stage = Stage::start(6, 3);
    let call = |round: usize, parts: &str| {
        // No two requests are alike.
        let headers = format!("X-Prompt-Prefix: {parts},{round:x}:100\r\n");
        let path = format!("/plan/{round}");
        stage.call_with(round % stage.vms.len(), "POST", &path, "key-1", &headers)
    };
    assert_eq!(call(0, "a1:100,b2:100").status, 200);
    let answers: Vec<CallAnswer> = (1..8)
        .map(|round| {
            let answer = call(round, "A1:100,000dead:100");
            std::thread::sleep(Duration::from_millis(500));
            answer
        })
        .collect();
    // The first request crashes three servers itself; the next one shows that it is the part.
    assert_eq!(crashed_servers(&stage), CRASHES_TO_QUARANTINE + 1);
    let last = answers.last().unwrap();
    assert_eq!(last.status, 503, "{last:?}");
    assert!(last.head.contains("retry-after: "), "{last:?}");
    assert!(last.head.contains("guavapass-run: not-run"), "{last:?}");
    for round in 10..13 {
        assert_eq!(call(round, "a1:100,c3:100").status, 200, "sound requests are served");
    }
}
