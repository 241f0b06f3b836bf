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

#[test]
fn room_is_decided_by_what_a_delay_costs() {
    let room = PoolRoom {
        taken: 0.9,
        expected: Millis(4_000),
        objective_left: Millis(2_000),
        time_left: Millis(10_000),
        waited: Millis(0),
    };
    let decide = |room: PoolRoom, more_urgent, work| {
        room.decide(Bid { more_urgent, work, overuse: 1.0 }, 0.5)
    };
    assert_eq!(decide(room, 0.0, 1.0), RoomDecision::Send, "urgent");
    assert_eq!(decide(room, 0.0, 0.1), RoomDecision::Send, "urgent and short");
    assert!(matches!(decide(room, 0.7, 3.0), RoomDecision::Wait(_)), "neither urgent nor short");
    let heavy_team = Bid { more_urgent: 0.0, work: 1.0, overuse: 7.5 };
    let light_team = Bid { overuse: 1.0, ..heavy_team };
    assert!(matches!(room.decide(heavy_team, 0.5), RoomDecision::Wait(_)), "a team's burst");
    assert_eq!(room.decide(light_team, 0.5), RoomDecision::Send, "another team");
    let free = PoolRoom { taken: 0.4, ..room };
    assert_eq!(decide(free, 0.7, 3.0), RoomDecision::Send, "half of the places are free");
    let held = PoolRoom { waited: Millis(2_500), ..room };
    assert_eq!(decide(held, 0.7, 3.0), RoomDecision::Send, "nothing is held until its deadline");
    let hopeless = PoolRoom { time_left: Millis(1_900), objective_left: Millis(0), ..room };
    assert_eq!(decide(hopeless, 0.0, 1.0), RoomDecision::Refuse, "no server answers in time");
}

/// Sends a burst of one route, several times what all engines can begin within its objective.
fn burst(world: &mut GatewayFixture, path: &str) {
    for _ in 0..5_400 {
        arrive_sized(world, path);
    }
}

/// Returns how many of 30 requests of a route are sent at once.
fn sent_at_once(world: &mut GatewayFixture, path: &str) -> usize {
    let sent = (0..30).filter(|_| {
        let request = arrive_sized(world, path);
        !world.starts(request).is_empty()
    });
    sent.count()
}

#[test]
fn burst_of_less_urgent_requests_waits_for_urgent_ones() {
    let mut world = world_of(vec![sized("/now/", 0), sized("/day/", 2), sized("/later/", 3)]);
    burst(&mut world, "/later/1");
    let (later, now) = (sent_at_once(&mut world, "/later/1"), sent_at_once(&mut world, "/now/1"));
    assert!(now == 30 && later <= 15, "{later} of the burst and {now} urgent ones of 30 were sent");
}

#[test]
fn waiting_requests_are_sent_before_their_deadline() {
    let mut world = world_of(vec![sized("/now/", 0), sized("/day/", 2), sized("/later/", 3)]);
    burst(&mut world, "/later/1");
    let waiting: Vec<RequestNumber> =
        (0..30).map(|_| arrive_sized(&mut world, "/later/1")).collect();
    for _ in 0..20 {
        world.tick(100);
    }
    let is_held = |request: &&RequestNumber| {
        world.starts(**request).is_empty() && world.refusal(**request).is_none()
    };
    assert_eq!(waiting.iter().filter(is_held).count(), 0, "held over a quarter of their time");
}
