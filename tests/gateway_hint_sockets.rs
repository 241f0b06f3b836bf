//! What servers say of themselves in the heads of answers, over real sockets.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use route_server::{RouteServer, ServerMove};
use std::time::Duration;

/// Longer than the VMs take to tell each other: a few polls of 100 ms.
const TOLD: Duration = Duration::from_millis(700);

fn seen(server: &RouteServer) -> usize {
    server.seen().len()
}

#[test]
fn server_that_says_it_leaves_gets_nothing_more() {
    for (method, path) in [("GET", "/slot/a"), ("POST", "/plan/a"), ("POST", "/book/a")] {
        let stage = Stage::start(2, 2);
        stage.servers[0].script(&[ServerMove::Leave; 8]);
        stage.servers[1].script(&[]);
        // Until the first server has answered once.
        let mut calls = 0;
        while seen(&stage.servers[0]) == 0 {
            assert_eq!(stage.call(method, path).status, 200);
            calls += 1;
            assert!(calls < 100, "the first server is never used");
        }
        for _ in 0..10 {
            assert_eq!(stage.call(method, path).status, 200);
        }
        assert_eq!(seen(&stage.servers[0]), 1, "{path}: from the VM that passed its word on");
        std::thread::sleep(TOLD);
        for _ in 0..10 {
            assert_eq!(stage.call_with(1, method, path, "key-1", "").status, 200);
        }
        assert_eq!(seen(&stage.servers[0]), 1, "{path}: from the VM that was told");
    }
}

#[test]
fn server_that_wants_nothing_is_left_alone() {
    let stage = Stage::start(2, 1);
    stage.servers[0].script(&[ServerMove::Rest("1.5")]);
    let begun = std::time::Instant::now();
    for _ in 0..30 {
        assert_eq!(stage.call("GET", "/slot/a").status, 200, "the other server takes it");
    }
    assert!(
        begun.elapsed() < Duration::from_millis(1_400),
        "the machine is too slow for this test"
    );
    assert!(seen(&stage.servers[0]) <= 1);
    eventually("it is used again", || {
        stage.call("GET", "/slot/a");
        seen(&stage.servers[0]) > 1
    });
}

#[test]
fn all_servers_want_nothing_for_long() {
    let stage = Stage::start(2, 1);
    for server in &stage.servers {
        server.script(&[ServerMove::Rest("20")]);
    }
    let first = stage.call("GET", "/slot/a");
    assert_eq!(first.status, 503, "{first:?}");
    let begun = std::time::Instant::now();
    let answer = stage.call("POST", "/book/a");
    assert_eq!(answer.status, 503);
    assert!(begun.elapsed() < Duration::from_millis(500), "it is refused at once");
    let after = answer.head.lines().find_map(|line| line.strip_prefix("retry-after: "));
    let after: f64 = after.unwrap().trim().parse().unwrap();
    assert!((18.0..=20.5).contains(&after), "{after}");
    assert_eq!(stage.seen(), 2, "no try is made to see");
}
