//! Streams that are slow, stall, or lack events, over real sockets.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use route_server::{RouteServer, ServerAction};

/// The deadline of the calls in these tests.
const DEADLINE_MS: u64 = 15_000;

fn stream_call(stage: &Stage) -> CallAnswer {
    stage.call_within(0, DEADLINE_MS, "POST", "/plan/a", "key-1", "")
}

/// Returns the ids of the events in an answer, and whether it ends with the final chunk.
fn events(answer: &CallAnswer) -> (Vec<u64>, bool) {
    let ids = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
    (ids.map(|id| id.trim().parse().unwrap()).collect(), answer.body.ends_with("0\r\n\r\n"))
}

fn all(count: u64) -> (Vec<u64>, bool) {
    ((1..=count).collect(), true)
}

#[test]
fn stream_slow_but_healthy_not_moved() {
    let stage = Stage::start(2, 1);
    for server in &stage.servers {
        // The pause between events is nine tenths of what the route accepts, and the whole stream
        // takes longer than the stall time.
        server.script(&[ServerAction::Slow(180)]);
    }
    assert_eq!(events(&stream_call(&stage)), all(RouteServer::SLOW_EVENTS));
    assert_eq!(stage.seen(), 1, "it ran at one server only");
}

#[test]
fn stream_stalled_resumed_elsewhere() {
    let stage = Stage::start(2, 1);
    for server in &stage.servers {
        server.script(&[ServerAction::Stall]);
    }
    assert_eq!(events(&stream_call(&stage)), all(RouteServer::EVENTS));
    assert_eq!(stage.seen(), 3, "two runs stalled, and the third completed the stream");
    let closed_by_peer = || stage.servers.iter().map(RouteServer::closed_by_peer).sum::<usize>();
    eventually("the stalled runs are cancelled", || closed_by_peer() == 2);
    let seen: Vec<_> = stage.servers.iter().flat_map(RouteServer::seen).collect();
    let resumed = seen.iter().filter(|seen| seen.header("last-event-id") == Some("2"));
    assert_eq!(resumed.count(), 2);
}

#[test]
fn stream_stalled_at_only_server_not_cut() {
    let stage = Stage::start(1, 1);
    stage.servers[0].script(&[ServerAction::Stall]);
    let answer = stage.call_within(0, 6_000, "POST", "/plan/a", "key-1", "");
    let (ids, is_whole) = events(&answer);
    assert_eq!((ids, is_whole), (vec![1, 2], false), "it breaks off at the deadline");
    assert!(answer.body.matches(": still there").count() > 40, "all is delivered until then");
}

#[test]
fn stream_with_gap_resumed_before_it() {
    let stage = Stage::start(2, 1);
    for server in &stage.servers {
        server.script(&[ServerAction::Events(&[1, 2, 3, 5, 6])]);
    }
    assert_eq!(events(&stream_call(&stage)), all(RouteServer::EVENTS));
}

#[test]
fn stream_with_repeats_delivered_once() {
    let stage = Stage::start(2, 1);
    for server in &stage.servers {
        server.script(&[ServerAction::Events(&[1, 2, 2, 3, 1, 4, 5, 5, 6])]);
    }
    assert_eq!(events(&stream_call(&stage)), all(RouteServer::EVENTS));
    assert_eq!(stage.seen(), 1);
}

#[test]
fn stream_with_larger_id_steps_complete() {
    let stage = Stage::start(1, 1);
    stage.servers[0].script(&[ServerAction::Events(&[10, 20, 25, 40])]);
    assert_eq!(events(&stream_call(&stage)), (vec![10, 20, 25, 40], true));
}
