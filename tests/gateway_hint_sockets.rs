//! Headers in which servers report that they leave or ask for a backoff, over real sockets.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use route_server::{RouteServer, ServerAction};
use std::time::Duration;

/// Longer than the VMs need to exchange reports: a few polls of 100 ms.
const REPORT_TIME: Duration = Duration::from_millis(700);

fn seen(server: &RouteServer) -> usize {
    server.seen().len()
}

#[test]
fn server_that_reports_leaving_gets_no_more_requests() {
    for (method, path) in [("GET", "/slot/a"), ("POST", "/plan/a"), ("POST", "/book/a")] {
        let stage = Stage::start(2, 2);
        stage.servers[0].script(&[ServerAction::Leave; 8]);
        stage.servers[1].script(&[]);
        // Sends requests until the first server has answered once.
        let mut calls = 0;
        while seen(&stage.servers[0]) == 0 {
            assert_eq!(stage.call(method, path).status, 200);
            calls += 1;
            assert!(calls < 100, "the first server is never used");
        }
        for _ in 0..10 {
            assert_eq!(stage.call(method, path).status, 200);
        }
        assert_eq!(seen(&stage.servers[0]), 1, "{path}: requests from the VM that got the report");
        std::thread::sleep(REPORT_TIME);
        for _ in 0..10 {
            assert_eq!(stage.call_with(1, method, path, "key-1", "").status, 200);
        }
        assert_eq!(seen(&stage.servers[0]), 1, "{path}: requests from the other VM");
    }
}

#[test]
fn server_that_asks_for_a_backoff_gets_no_requests_until_it_ends() {
    let stage = Stage::start(2, 1);
    stage.servers[0].script(&[ServerAction::Rest("1.5")]);
    let started = std::time::Instant::now();
    for _ in 0..30 {
        assert_eq!(stage.call("GET", "/slot/a").status, 200, "the other server answers it");
    }
    assert!(
        started.elapsed() < Duration::from_millis(1_400),
        "the machine is too slow for this test"
    );
    assert!(seen(&stage.servers[0]) <= 1);
    eventually("the server is used again", || {
        stage.call("GET", "/slot/a");
        seen(&stage.servers[0]) > 1
    });
}

#[test]
fn request_is_refused_at_once_if_all_servers_back_off_for_long() {
    let stage = Stage::start(2, 1);
    for server in &stage.servers {
        server.script(&[ServerAction::Rest("20")]);
    }
    let first = stage.call("GET", "/slot/a");
    assert_eq!(first.status, 503, "{first:?}");
    let started = std::time::Instant::now();
    let answer = stage.call("POST", "/book/a");
    assert_eq!(answer.status, 503);
    assert!(started.elapsed() < Duration::from_millis(500), "the request is refused at once");
    let after = answer.head.lines().find_map(|line| line.strip_prefix("retry-after: "));
    let after: f64 = after.unwrap().trim().parse().unwrap();
    assert!((18.0..=20.5).contains(&after), "{after}");
    assert_eq!(stage.seen(), 2, "no server is tried again");
}
