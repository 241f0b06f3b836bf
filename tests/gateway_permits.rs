//! Request limits of servers, as one entry VM learns and keeps them.

#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;

use gateway_world::*;
use guavapass::{
    control::{RefusalCode, RunState},
    gateway::*,
    ids::{CallId, RequestNumber, ServerId},
    units::{Millis, RequestsPerSecond},
};
use proptest::prelude::*;
use std::sync::Arc;

const BOOKING_SERVERS: [&str; 3] = ["b1", "b2", "b3"];
const ENGINE_SERVERS: [&str; 3] = ["e1", "e2", "e3"];

fn named(limit: f64) -> LimitStatement {
    LimitStatement::Named(RequestsPerSecond(limit))
}

/// Delivers the head of an answer to a request that was sent at `sent`.
fn state_limit(world: &mut GatewayFixture, server: &str, sent: Millis, limit: LimitStatement) {
    let start = ServerStart { server: server_id(server), born: None };
    let hint = ServerHint { limit, ..ServerHint::default() };
    world.handle(GatewayEvent::ServerHinted { start, sent, hint });
}

/// Delivers the head of an answer to a request that has just been sent.
fn state_limit_now(world: &mut GatewayFixture, server: &str, limit: LimitStatement) {
    state_limit(world, server, world.now, limit);
}

fn limit_all(world: &mut GatewayFixture, servers: &[&str], limit: f64) {
    for server in servers {
        state_limit_now(world, server, named(limit));
    }
}

/// Advances time until a request is sent; fails after some seconds.
fn run_until_sent(world: &mut GatewayFixture, requests: &[RequestNumber]) {
    for _ in 0..500 {
        if requests.iter().any(|request| !world.starts(*request).is_empty()) {
            return;
        }
        world.tick(10);
    }
    panic!("none of {requests:?} is sent");
}

fn server_of(world: &GatewayFixture, request: RequestNumber) -> Option<ServerId> {
    world.starts(request).last().map(|order| order.server.clone())
}

/// Sends a request every 10 ms for a time, each answered at once, and returns how many reached a
/// server.
fn sends_to(world: &mut GatewayFixture, server: &str, ms: u64) -> usize {
    let mut sends = 0;
    for _ in 0..ms / 10 {
        let request = world.arrive("/slot/1");
        sends += usize::from(server_of(world, request) == Some(server_id(server)));
        world.whole(request, 1, 200);
        world.tick(10);
    }
    sends
}

#[test]
fn single_vm_keeps_a_limit() {
    let mut world = GatewayFixture::new();
    state_limit(&mut world, "b1", Millis(0), named(5.0));
    let sends = sends_to(&mut world, "b1", 4_000);
    assert!((10..=22).contains(&sends), "{sends} requests in 4 s at 5 a second");
}

#[test]
fn lower_limit_takes_effect_at_once() {
    let mut world = GatewayFixture::new();
    state_limit(&mut world, "b1", Millis(900), named(50.0));
    // The answer to a request that was sent before.
    state_limit(&mut world, "b1", Millis(100), named(1.0));
    assert!(sends_to(&mut world, "b1", 4_000) <= 6);
}

#[test]
fn limit_is_not_lifted_by_an_answer_that_was_overtaken() {
    for statement in [LimitStatement::Absent, named(90.0), LimitStatement::Unreadable] {
        let mut world = GatewayFixture::new();
        let sent = world.now;
        world.tick(10);
        state_limit(&mut world, "b1", sent, named(1.0));
        state_limit(&mut world, "b1", sent, statement);
        assert!(sends_to(&mut world, "b1", 4_000) <= 6, "{statement:?}");
    }
}

#[test]
fn limit_is_lifted_by_a_later_answer() {
    for statement in [LimitStatement::Absent, named(90.0)] {
        let mut world = GatewayFixture::new();
        state_limit(&mut world, "b1", Millis(0), named(1.0));
        world.tick(10);
        let sent = world.now;
        state_limit(&mut world, "b1", sent, statement);
        world.tick(500);
        assert!(sends_to(&mut world, "b1", 2_000) >= 20, "{statement:?}");
    }
}

#[test]
fn unreadable_limit_changes_nothing() {
    let mut world = GatewayFixture::new();
    state_limit_now(&mut world, "b1", LimitStatement::Unreadable);
    assert_eq!(world.gateway.limited_servers(), 0);
    state_limit_now(&mut world, "b1", named(1.0));
    world.tick(10);
    state_limit_now(&mut world, "b1", LimitStatement::Unreadable);
    assert_eq!(world.gateway.limited_servers(), 1);
}

#[test]
fn restarted_server_has_no_limit() {
    let mut world = GatewayFixture::new();
    state_limit_now(&mut world, "b1", named(1.0));
    let entry = ServerEntry { born: Some(Millis(5)), ..server("b1", BOOKINGS, "v1") };
    world.page(StoreStream::Servers, vec![said(entry)]);
    assert_eq!(world.gateway.limited_servers(), 0);
    // The answer of its earlier process.
    state_limit_now(&mut world, "b1", named(1.0));
    assert_eq!(world.gateway.limited_servers(), 0);
}

#[test]
fn most_urgent_waiting_request_gets_the_permit() {
    let mut world = GatewayFixture::new();
    let mut document = document(2);
    let urgent = RouteEntry { rank: 0, ..route("/urgent/", RouteKind::Idempotent, BOOKINGS) };
    let slot = route("/slot/", RouteKind::Idempotent, BOOKINGS);
    document.routes = RouteTable::new(vec![urgent, slot]);
    world.page(StoreStream::Operators, vec![StoreRecord::Configuration(Arc::new(document))]);
    limit_all(&mut world, &BOOKING_SERVERS[..1], 1.0);
    limit_all(&mut world, &BOOKING_SERVERS[1..], 0.2);
    let earlier = world.arrive("/slot/1");
    let later = world.arrive("/urgent/1");
    run_until_sent(&mut world, &[earlier, later]);
    let started = (world.starts(earlier).len(), world.starts(later).len());
    assert_eq!(started, (0, 1), "the urgent request goes first");
}

#[test]
fn request_waits_for_a_permit_that_comes_in_time() {
    for path in ["/slot/1", "/book/1", "/plan/1"] {
        let mut world = GatewayFixture::new();
        limit_all(&mut world, &BOOKING_SERVERS, 1.0);
        limit_all(&mut world, &ENGINE_SERVERS, 1.0);
        let request = world.arrive(path);
        assert!(world.starts(request).is_empty() && world.refusal(request).is_none());
        world.tick(1_100);
        assert_eq!(world.starts(request).len(), 1, "{path}");
    }
}

#[test]
fn request_is_refused_at_once_if_permits_come_too_late() {
    let mut world = GatewayFixture::new();
    limit_all(&mut world, &BOOKING_SERVERS, 2.0);
    let first = world.now;
    let mut waits = Vec::new();
    for _ in 0..40 {
        let request = world.arrive("/slot/1");
        if let Some(refusal) = world.refusal(request) {
            assert_eq!((refusal.code, refusal.run), (RefusalCode::Unavailable, RunState::NotRun));
            waits.push(refusal.retry_after.unwrap());
        }
        world.tick(10);
    }
    // Three servers take six requests a second, and the objective is 2 s.
    assert!(waits.len() >= 25, "{} of 40 are refused at once", waits.len());
    assert!(waits.iter().all(|wait| *wait >= Millis(1_000)), "{waits:?}");
    let spread = waits.iter().max().unwrap().since(*waits.iter().min().unwrap());
    assert!(spread >= Millis(500), "callers return spread: {waits:?}");
    while world.now.since(first) < Millis(4_000) {
        world.tick(10);
    }
    let started =
        world.commands.iter().filter(|command| matches!(command, GatewayCommand::Start(_))).count();
    assert!(started >= 9, "those that waited are sent: {started}");
}

#[test]
fn larger_model_is_not_asked_at_a_limited_server() {
    for limited in [&ENGINE_SERVERS[..], &ENGINE_SERVERS[..2]] {
        let mut world = GatewayFixture::new();
        limit_all(&mut world, limited, 20.0);
        world.tick(500);
        let request = world.arrive("/sized/1");
        world.tick(200);
        world.began(request, 1, Some(0));
        let servers: Vec<ServerId> =
            world.starts(request).iter().skip(1).map(|order| order.server.clone()).collect();
        assert!(servers.iter().all(|server| !limited.contains(&server.as_str())), "{servers:?}");
    }
}

#[test]
fn broken_stream_waits_for_a_permit() {
    let mut world = GatewayFixture::new();
    limit_all(&mut world, &ENGINE_SERVERS[..1], 1.0);
    limit_all(&mut world, &ENGINE_SERVERS[1..], 0.2);
    let request = world.arrive("/plan/1");
    run_until_sent(&mut world, &[request]);
    world.began(request, 1, None);
    world.broken(request, 1, Some(4));
    world.tick(10);
    assert_eq!(world.starts(request).len(), 1);
    assert!(!world.is_broken_off(request), "its caller still waits");
    world.tick(2_100);
    assert_eq!(world.starts(request).len(), 2);
    assert_eq!(world.starts(request)[1].after_event, Some(4));
}

#[test]
fn poll_without_limits_is_understood_by_earlier_builds() {
    /// The number of fields of a poll before limits were added to it.
    const EARLIER_FIELDS: u8 = 13;
    let poll = RelayPoll::new(card("front-1", "norte"), PollPurpose::Records);
    let bytes = rmp_serde::to_vec(&poll).unwrap();
    assert_eq!(bytes[0], 0x90 | EARLIER_FIELDS, "a MessagePack array of that length");
    assert_eq!(rmp_serde::from_slice::<RelayPoll>(&bytes).unwrap(), poll);
    let demand = PermitDemand { waiting: 1, ..PermitDemand::default() };
    let limits = LimitQuery { demands: vec![demand], ..LimitQuery::default() };
    let poll = RelayPoll { limits, ..poll };
    let bytes = rmp_serde::to_vec(&poll).unwrap();
    assert_eq!(rmp_serde::from_slice::<RelayPoll>(&bytes).unwrap(), poll);
}

/// An answer that a server made at `made`, in the order of the server.
#[derive(Clone, Debug)]
struct MadeAnswer {
    sent: u64,
    made: u64,
    arrived: u64,
    statement: LimitStatement,
}

proptest! {
    /// Answers overtake each other on the way. Once a request that was sent last is answered, the VM
    /// knows what the server said last.
    #[test]
    fn last_statement_of_the_server_holds_in_the_end(
        answers in prop::collection::vec((1_u64..50, 0_u64..40, 0_u64..60, 0_u32..4), 1..30),
    ) {
        let mut made_at = 0;
        let mut made = Vec::new();
        for (pause, way_there, way_back, limit) in answers {
            made_at += pause;
            let statement =
                if limit == 0 { LimitStatement::Absent } else { named(f64::from(limit)) };
            let (sent, arrived) = (made_at.saturating_sub(way_there + 1), made_at + way_back + 1);
            made.push(MadeAnswer { sent, made: made_at, arrived, statement });
        }
        let last = made.last().unwrap().clone();
        let after = made.iter().map(|answer| answer.arrived).max().unwrap() + 1;
        made.push(MadeAnswer { sent: after, made: after + 1, arrived: after + 2, ..last });
        made.sort_by_key(|answer| (answer.arrived, answer.made));
        let mut limit = ServerLimit::default();
        for answer in &made {
            let (now, sent) = (Millis(answer.arrived), Millis(answer.sent));
            limit.apply_statement(now, sent, answer.statement);
        }
        let expected = match made.last().unwrap().statement {
            LimitStatement::Named(rate) => Some(rate),
            LimitStatement::Absent | LimitStatement::Unreadable => None,
        };
        prop_assert_eq!(limit.rate(), expected);
    }
}

/// A message with absurd figures must neither end the process nor lift a limit.
#[test]
fn absurd_permit_messages_do_no_harm() {
    let mut world = GatewayFixture::new();
    world.gateway.set_relay(card("front-1", "norte"), Vec::new());
    limit_all(&mut world, &BOOKING_SERVERS, 1.0);
    let tag = ServerTag::from(&server_id("b1"));
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        let start = ServerStart { server: server_id("b1"), born: None };
        let rate = Some(RequestsPerSecond(rate));
        let reports = vec![LimitReport { start, rate, age: Millis(0) }];
        let demand =
            PermitDemand { server: tag, waiting: u32::MAX, backlog: f32::NAN, ahead: u32::MAX };
        // A server without a limit as well, for which there are permits at once.
        let other = PermitDemand { server: ServerTag::from(&server_id("e1")), ..demand };
        let limits = LimitQuery { reports, demands: vec![demand, other], ..LimitQuery::default() };
        let poll = RelayPoll::new(card("front-2", "norte"), PollPurpose::Permits);
        let poll = Box::new(RelayPoll { limits, ..poll });
        world.tick(400);
        world.handle(GatewayEvent::Polled { call: CallId(1), poll });
    }
    let granted = world.commands.iter().filter_map(|command| match command {
        GatewayCommand::AnswerPeer { answer, .. } => Some(&answer.limits.grants),
        _ => None,
    });
    assert!(granted.flatten().all(|grant| grant.permits < 1_000));
    assert_eq!(world.gateway.limited_servers(), 3);
    let mut stock = PermitStock::default();
    stock.add(Millis(0), u32::MAX);
    assert!(stock.count(Millis(0)) < 1_000);
}
