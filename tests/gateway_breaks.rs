//! Requests whose server or data centre falls silent, and requests at a VM that has just started.

#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;

use gateway_world::*;
use guavapass::{
    control::{AttemptFault, RefusalCode, RunState},
    gateway::*,
    ids::RequestNumber,
    units::Millis,
};
use std::{collections::BTreeMap, sync::Arc};

/// The time of a connection attempt to a server that does not answer.
const CONNECT_MS: u64 = 250;

/// Returns a core with the engines `f1` to `f6` in another data centre, beside three of its own.
fn with_far_engines() -> GatewayFixture {
    let mut world = GatewayFixture::new();
    let far = |number| ServerEntry {
        data_centre: text("sur"),
        ..server(&format!("f{number}"), ENGINES, "v1")
    };
    world.page(StoreStream::Servers, (1..=6).map(|number| said(far(number))).collect());
    world
}

/// Delivers a request whose prompt has no part in common with others, so that no server is its home.
fn arrive(world: &mut GatewayFixture) -> RequestNumber {
    world.arrive_with("/plan/1", |arrival| arrival.parts = arrival.parts.split_off(1))
}

/// Returns the server of the latest run of a request.
fn last_server(world: &GatewayFixture, request: RequestNumber) -> String {
    world.starts(request).last().unwrap().server.to_string()
}

/// Returns three of the requests that are at unlike servers of the other data centre.
fn at_three_far_engines(world: &GatewayFixture, requests: &[RequestNumber]) -> Vec<RequestNumber> {
    let by_server: BTreeMap<String, RequestNumber> =
        requests.iter().map(|request| (last_server(world, *request), *request)).collect();
    let far = by_server.into_iter().filter(|(server, _)| server.starts_with('f'));
    far.map(|(_, request)| request).take(3).collect()
}

/// Lets the connections of three requests to servers of the other data centre fail.
fn cut_far_engines(world: &mut GatewayFixture) {
    let requests: Vec<_> = (0..40).map(|_| arrive(world)).collect();
    let far = at_three_far_engines(world, &requests);
    world.now = world.now + Millis(CONNECT_MS);
    for request in far {
        world.not_run(request, 1, NotRunCause::Unreachable);
    }
    for request in requests {
        world.handle(GatewayEvent::CallerGone { request });
    }
}

#[test]
fn silent_data_centre_avoided_by_all_requests() {
    let mut world = with_far_engines();
    cut_far_engines(&mut world);
    for _ in 0..20 {
        let request = arrive(&mut world);
        assert!(last_server(&world, request).starts_with('e'));
    }
}

#[test]
fn silent_data_centre_tried_again() {
    let mut world = with_far_engines();
    cut_far_engines(&mut world);
    world.now = world.now + Millis(1_100);
    let requests: Vec<_> = (0..40).map(|_| arrive(&mut world)).collect();
    let far = requests.iter().find(|request| last_server(&world, **request).starts_with('f'));
    let far = *far.expect("a request tries it");
    world.now = world.now + Millis(CONNECT_MS);
    world.not_run(far, 1, NotRunCause::Unreachable);
    let requests: Vec<_> = (0..20).map(|_| arrive(&mut world)).collect();
    let is_far = |request: &RequestNumber| last_server(&world, *request).starts_with('f');
    assert_eq!(requests.iter().filter(|request| is_far(request)).count(), 0, "silent again");
}

#[test]
fn refused_connections_do_not_cut_off_a_data_centre() {
    let mut world = with_far_engines();
    let mut failed = 0;
    let mut requests = Vec::new();
    for _ in 0..40 {
        let request = arrive(&mut world);
        if last_server(&world, request).starts_with('f') && failed < 3 {
            failed += 1;
            world.now = world.now + Millis(2);
            world.not_run(request, 1, NotRunCause::Unreachable);
        }
        requests.push(request);
    }
    let far = requests.iter().filter(|request| last_server(&world, **request).starts_with('f'));
    assert!(far.count() > 0, "three servers that have ended say nothing about the others");
}

#[test]
fn streams_that_wait_for_a_silent_data_centre_move() {
    let mut world = with_far_engines();
    let requests: Vec<_> = (0..40).map(|_| arrive(&mut world)).collect();
    let far = |world: &GatewayFixture| -> Vec<RequestNumber> {
        let is_far = |request: &&RequestNumber| last_server(world, **request).starts_with('f');
        requests.iter().filter(is_far).copied().collect()
    };
    let waiting = far(&world);
    assert!(waiting.len() > 3);
    world.now = world.now + Millis(CONNECT_MS);
    let reported = at_three_far_engines(&world, &requests);
    for request in reported.iter().copied() {
        let outcome = RunOutcome::Broken { fault: AttemptFault::Silent, last_event: None };
        world.report(request, 1, RunReport::Ended(outcome));
    }
    let left: Vec<_> = far(&world).into_iter().filter(|left| !reported.contains(left)).collect();
    assert_eq!(left, [], "those that were not reported move as well");
}

#[test]
fn silent_stream_moved_at_its_objective() {
    let mut world = GatewayFixture::new();
    let (request, other) = (world.arrive("/plan/1"), world.arrive("/plan/1"));
    assert_eq!(last_server(&world, request), last_server(&world, other), "both at the home");
    world.tick(1_000);
    let outcome = RunOutcome::Broken { fault: AttemptFault::Silent, last_event: None };
    world.report(other, 1, RunReport::Ended(outcome));
    world.tick(900);
    assert_eq!(world.starts(request).len(), 1);
    world.tick(200);
    assert_eq!(world.starts(request).len(), 2, "long before the deadline");
    let starts = world.starts(request);
    assert_ne!(starts[0].server, starts[1].server);
}

#[test]
fn late_stream_not_moved_without_a_failure_of_its_server() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/plan/1");
    world.tick(5_500);
    assert_eq!(world.starts(request).len(), 1, "its server may just be busy with others");
}

#[test]
fn stream_of_a_busy_server_not_moved() {
    let mut world = GatewayFixture::new();
    let requests: Vec<_> = (0..9).map(|_| world.arrive("/plan/1")).collect();
    for _ in 0..4 {
        world.tick(900);
        for server in ["e1", "e2", "e3"] {
            let at_server = |request: &&RequestNumber| last_server(&world, **request) == server;
            let waiting =
                requests.iter().filter(at_server).find(|request| !world.is_delivered(**request, 1));
            let Some(request) = waiting.copied() else { continue };
            world.began(request, 1, None);
        }
    }
    for request in requests {
        assert_eq!(world.starts(request).len(), 1, "its server begins one answer after the other");
    }
}

#[test]
fn stream_that_cannot_be_resumed_not_moved() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/frail/1");
    world.tick(5_500);
    assert_eq!(world.starts(request).len(), 1);
}

/// Returns a core that has started just now and knows nothing.
fn just_started() -> GatewayFixture {
    let mut world = GatewayFixture::empty();
    world.tick(0);
    world
}

fn learn_all(world: &mut GatewayFixture) {
    let document = StoreRecord::Configuration(Arc::new(document(1)));
    world.newest(StoreStream::Operators, vec![document]);
    let servers = (1..=3).map(|number| said(server(&format!("b{number}"), BOOKINGS, "v1")));
    world.newest(StoreStream::Servers, servers.collect());
}

#[test]
fn request_at_a_starting_vm_waits_for_the_configuration() {
    let mut world = just_started();
    let request = world.arrive("/book/1");
    assert!(world.refusal(request).is_none());
    world.tick(340);
    learn_all(&mut world);
    let starts = world.starts(request);
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].time_left, Millis(6_000 - 340), "its wait counts");
}

#[test]
fn request_at_a_vm_without_the_store_refused_soon() {
    let mut world = just_started();
    let request = world.arrive("/book/1");
    world.tick(600);
    let refusal = world.refusal(request).unwrap();
    assert_eq!((refusal.code, refusal.run), (RefusalCode::Unavailable, RunState::NotRun));
    let later = world.arrive("/book/2");
    assert!(world.refusal(later).is_some(), "and at once from then on");
}

#[test]
fn request_at_a_starting_vm_dropped_with_its_caller() {
    let mut world = just_started();
    let request = world.arrive("/book/1");
    world.handle(GatewayEvent::CallerGone { request });
    learn_all(&mut world);
    assert_eq!(world.starts(request).len(), 0);
}

#[test]
fn requests_that_wait_at_a_starting_vm_are_bounded() {
    let mut world = just_started();
    let requests: Vec<_> = (0..100).map(|_| world.arrive("/book/1")).collect();
    let refused = requests.iter().filter(|request| world.refusal(**request).is_some());
    assert_eq!(refused.count(), 100 - 64);
}
