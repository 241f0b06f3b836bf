//! Streams that are slow, stall, or miss a piece, over real sockets.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use route_server::{RouteServer, ServerMove};

/// The longest that a caller of these tests waits.
const DEADLINE_MS: u64 = 15_000;

fn stream_call(stage: &Stage) -> CallAnswer {
    stage.call_within(0, DEADLINE_MS, "POST", "/plan/a", "key-1", "")
}

/// Returns the numbers of the events in an answer, and whether it has its end.
fn events(answer: &CallAnswer) -> (Vec<u64>, bool) {
    let ids = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
    (ids.map(|id| id.trim().parse().unwrap()).collect(), answer.body.ends_with("0\r\n\r\n"))
}

fn all(count: u64) -> (Vec<u64>, bool) {
    ((1..=count).collect(), true)
}

#[test]
fn stream_slow_but_sound_is_not_cut() {
    let stage = Stage::start(2, 1);
    for server in &stage.servers {
        // Nine tenths of the pause that the route accepts, for longer than a stall may last.
        server.script(&[ServerMove::Slow(180)]);
    }
    assert_eq!(events(&stream_call(&stage)), all(RouteServer::SLOW_EVENTS));
    assert_eq!(stage.seen(), 1, "it ran at one server");
}

#[test]
fn stream_that_drips_goes_on_elsewhere() {
    let stage = Stage::start(2, 1);
    for server in &stage.servers {
        server.script(&[ServerMove::Drip]);
    }
    assert_eq!(events(&stream_call(&stage)), all(RouteServer::EVENTS));
    assert_eq!(stage.seen(), 3, "two have dripped, a third run went on");
    let hung_up = || stage.servers.iter().map(RouteServer::hung_up).sum::<usize>();
    eventually("those that dripped are left", || hung_up() == 2);
    let seen: Vec<_> = stage.servers.iter().flat_map(RouteServer::seen).collect();
    let resumed = seen.iter().filter(|seen| seen.header("last-event-id") == Some("2"));
    assert_eq!(resumed.count(), 2);
}

#[test]
fn stream_that_drips_without_another_server_is_not_cut() {
    let stage = Stage::start(1, 1);
    stage.servers[0].script(&[ServerMove::Drip]);
    let answer = stage.call_within(0, 6_000, "POST", "/plan/a", "key-1", "");
    let (ids, is_whole) = events(&answer);
    assert_eq!((ids, is_whole), (vec![1, 2], false), "it ends at the deadline, and shows it");
    assert!(answer.body.matches(": still there").count() > 40, "up to then all is passed on");
}

#[test]
fn stream_with_a_gap_goes_on_before_it() {
    let stage = Stage::start(2, 1);
    for server in &stage.servers {
        server.script(&[ServerMove::Events(&[1, 2, 3, 5, 6])]);
    }
    assert_eq!(events(&stream_call(&stage)), all(RouteServer::EVENTS));
}

#[test]
fn stream_with_repeats_is_passed_on_once() {
    let stage = Stage::start(2, 1);
    for server in &stage.servers {
        server.script(&[ServerMove::Events(&[1, 2, 2, 3, 1, 4, 5, 5, 6])]);
    }
    assert_eq!(events(&stream_call(&stage)), all(RouteServer::EVENTS));
    assert_eq!(stage.seen(), 1);
}

#[test]
fn stream_that_counts_in_other_steps_is_whole() {
    let stage = Stage::start(1, 1);
    stage.servers[0].script(&[ServerMove::Events(&[10, 20, 25, 40])]);
    assert_eq!(events(&stream_call(&stage)), (vec![10, 20, 25, 40], true));
}
