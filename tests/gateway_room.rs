//! Who goes first, who waits and who is turned away where a pool has too little room.

#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;

use gateway_world::*;
use guavapass::{control::RunState, gateway::*, ids::RequestNumber, units::Millis};
use std::sync::Arc;

/// Returns a world with a configuration of its own and 40 more engines.
fn world_of(routes: Vec<RouteEntry>) -> GatewayFixture {
    let mut world = GatewayFixture::new();
    let next = GatewayDocument { routes: RouteTable::new(routes), ..document(2) };
    world.page(StoreStream::Operators, vec![StoreRecord::Configuration(Arc::new(next))]);
    let engines = (0..40).map(|number| said(server(&format!("x{number}"), ENGINES, "v1")));
    world.page(StoreStream::Servers, engines.collect());
    world
}

fn sized(prefix: &str, rank: u8) -> RouteEntry {
    let kind = RouteKind::Stream { resumable: true };
    RouteEntry {
        rank,
        models: vec![model("small"), model("large")],
        ..route(prefix, kind, ENGINES)
    }
}

fn arrive_sized(world: &mut GatewayFixture, path: &str) -> RequestNumber {
    world.arrive_with(path, |arrival| arrival.any_model = true)
}

/// Fails each run of a request at a server that is in `lost` until it reaches another one, waits in
/// vain for 3 s, or is refused. Returns whether it reached one.
fn search(world: &mut GatewayFixture, request: RequestNumber, lost: impl Fn(&str) -> bool) -> bool {
    let mut tries = 0;
    for _ in 0..300 {
        while let Some(order) = world.starts(request).get(tries) {
            if !lost(order.server.as_str()) {
                return true;
            }
            tries += 1;
            world.not_run(request, tries as u64, NotRunCause::Unreachable);
        }
        if world.refusal(request).is_some() {
            return false;
        }
        world.tick(10);
    }
    false
}

#[test]
fn half_of_the_servers_lost() {
    let mut world = world_of(vec![sized("/any/", 1)]);
    let is_lost = |server: &str| server.starts_with('x');
    for number in 0..8 {
        let request = world.arrive_with("/any/1", |arrival| {
            arrival.any_model = true;
            arrival.parts[0].id = 100 + number;
        });
        assert!(search(&mut world, request, is_lost), "request {number} found no server");
    }
}

#[test]
fn all_servers_lost_is_refused_in_time() {
    let mut world = world_of(vec![sized("/any/", 1)]);
    let started = world.now;
    let request = arrive_sized(&mut world, "/any/1");
    assert!(!search(&mut world, request, |_| true));
    let refusal = world.refusal(request).expect("not refused");
    assert_eq!(refusal.run, RunState::NotRun);
    assert!(refusal.retry_after.is_some() && world.now.since(started) <= Millis(3_000));
    // The shortest waits, from 20 ms on and doubling, fit seven times into 3 s.
    assert!(world.starts(request).len() <= 80, "{} tries", world.starts(request).len());
}

#[test]
fn unreachable_servers_cost_no_retry_budget() {
    let mut world = world_of(vec![sized("/any/", 1)]);
    for number in 0..4 {
        let request = arrive_sized(&mut world, "/any/1");
        world.broken(request, 1, None);
        for attempt in 2..=8 {
            world.not_run(request, attempt, NotRunCause::Unreachable);
        }
        assert_eq!(world.starts(request).len(), 9, "request {number} is given up");
        world.whole(request, 9, 200);
    }
}

/// Spends retries of a route's requests until none is permitted; returns how many.
fn spend_all(
    world: &mut GatewayFixture,
    path: &str,
    report: fn(&mut GatewayFixture, RequestNumber),
) -> usize {
    let requests: Vec<RequestNumber> = (0..100).map(|_| arrive_sized(world, path)).collect();
    for request in &requests {
        report(world, *request);
    }
    requests.iter().filter(|request| world.starts(**request).len() > 1).count()
}

/// Returns how many of eight requests that a server has failed are sent again.
fn retried_of_eight(world: &mut GatewayFixture, path: &str) -> usize {
    let requests: Vec<RequestNumber> = (0..8).map(|_| arrive_sized(world, path)).collect();
    for request in &requests {
        world.broken(*request, 1, None);
    }
    requests.iter().filter(|request| world.starts(**request).len() > 1).count()
}

#[test]
fn escalations_leave_budget_for_failures() {
    let mut world = world_of(vec![sized("/any/", 1)]);
    let escalated =
        spend_all(&mut world, "/any/1", |world, request| world.began(request, 1, Some(0)));
    assert!(escalated < 100, "the budget does not bound escalations");
    assert_eq!(retried_of_eight(&mut world, "/any/1"), 8, "after {escalated} escalations");
}

#[test]
fn less_urgent_retries_leave_budget_for_urgent_ones() {
    let mut world = world_of(vec![sized("/now/", 0), sized("/day/", 2)]);
    let less_urgent =
        spend_all(&mut world, "/day/1", |world, request| world.broken(request, 1, None));
    assert!(less_urgent < 100, "the budget does not bound retries");
    assert_eq!(retried_of_eight(&mut world, "/now/1"), 8, "after {less_urgent} others");
}
