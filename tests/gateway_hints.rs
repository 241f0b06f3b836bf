//! Servers that report in their answers that they leave, or ask for a backoff.

#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;

use gateway_world::*;
use guavapass::{
    control::{RefusalCode, RunState},
    gateway::*,
    ids::{CallId, RequestNumber, ServerId},
    units::Millis,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Number of requests that may reach a server during its backoff, by the rule.
const MAX_SENDS_IN_BACKOFF: usize = 2;
/// Time after a server's report from which requests to it count, by the rule.
const REPORT_GRACE: Millis = Millis(500);

fn report_hint(stage: &mut GatewayFixture, server: &str, born: Option<Millis>, hint: ServerHint) {
    let start = ServerStart { server: server_id(server), born };
    let sent = stage.now;
    stage.handle(GatewayEvent::ServerHinted { start, sent, hint });
}

fn leaving_hint() -> ServerHint {
    ServerHint { leaves: true, ..ServerHint::default() }
}

fn backoff_hint(ms: u64) -> ServerHint {
    ServerHint { backoff: Some(Millis(ms)), ..ServerHint::default() }
}

fn server_of(world: &GatewayFixture, request: RequestNumber) -> Option<ServerId> {
    world.starts(request).last().map(|order| order.server.clone())
}

/// Sends `count` requests that stay unanswered, and returns how many went to each server.
fn send_requests(
    world: &mut GatewayFixture,
    path: &str,
    count: usize,
) -> BTreeMap<ServerId, usize> {
    let mut servers = BTreeMap::new();
    for _ in 0..count {
        let request = world.arrive(path);
        if let Some(server) = server_of(world, request) {
            *servers.entry(server).or_default() += 1;
        }
    }
    servers
}

#[test]
fn leaving_server_gets_no_requests_after_its_report() {
    for path in ["/plan/1", "/slot/1", "/book/1"] {
        let mut world = GatewayFixture::new();
        for id in ["e1", "b1"] {
            report_hint(&mut world, id, None, leaving_hint());
        }
        let servers = send_requests(&mut world, path, 50);
        assert!(!servers.contains_key(&server_id("e1")) && !servers.contains_key(&server_id("b1")));
        assert_eq!(servers.values().sum::<usize>(), 50);
    }
}

#[test]
fn leaving_server_gets_no_retries() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/slot/1");
    let first = server_of(&world, request).unwrap();
    let others = ["b1", "b2", "b3"].map(server_id).into_iter().filter(|id| *id != first);
    let leaving: Vec<ServerId> = others.take(1).collect();
    report_hint(&mut world, leaving[0].as_str(), None, leaving_hint());
    world.broken(request, 1, None);
    assert_ne!(server_of(&world, request).unwrap(), leaving[0]);
}

#[test]
fn requests_are_refused_at_once_if_all_servers_leave() {
    let mut world = GatewayFixture::new();
    for id in ["e1", "e2", "e3"] {
        report_hint(&mut world, id, None, leaving_hint());
    }
    let request = world.arrive("/plan/1");
    let refusal = world.refusal(request).unwrap();
    assert_eq!((refusal.code, refusal.run), (RefusalCode::Unavailable, RunState::NotRun));
    assert!(refusal.retry_after.is_some());
}

#[test]
fn reported_leaving_overrides_the_server_list() {
    let mut world = GatewayFixture::new();
    report_hint(&mut world, "b1", None, leaving_hint());
    world.page(StoreStream::Servers, vec![said(server("b1", BOOKINGS, "v1"))]);
    assert!(!send_requests(&mut world, "/slot/1", 30).contains_key(&server_id("b1")));
}

#[test]
fn restarted_server_is_no_longer_leaving() {
    let mut world = GatewayFixture::new();
    let born = |at| ServerEntry { born: Some(Millis(at)), ..server("b1", BOOKINGS, "v1") };
    world.page(StoreStream::Servers, vec![said(born(10))]);
    report_hint(&mut world, "b1", Some(Millis(10)), leaving_hint());
    assert!(!send_requests(&mut world, "/slot/1", 30).contains_key(&server_id("b1")));
    world.page(StoreStream::Servers, vec![said(born(20))]);
    assert!(
        send_requests(&mut world, "/slot/1", 60).contains_key(&server_id("b1")),
        "it has restarted"
    );
    report_hint(&mut world, "b1", Some(Millis(10)), leaving_hint());
    assert!(
        send_requests(&mut world, "/slot/1", 60).contains_key(&server_id("b1")),
        "the report is from before the restart"
    );
}

#[test]
fn leaving_is_reported_to_other_vms() {
    let mut sender = GatewayFixture::new_as("front-1");
    sender.gateway.set_relay(card("front-1", "norte"), Vec::new());
    report_hint(&mut sender, "b1", None, leaving_hint());
    sender.commands.clear();
    let poll = RelayPoll::new(card("front-2", "norte"), PollPurpose::Records);
    sender.handle(GatewayEvent::Polled { call: CallId(1), poll: Box::new(poll) });
    let answer = sender.commands.iter().find_map(|command| match command {
        GatewayCommand::AnswerPeer { answer, .. } => Some(answer.clone()),
        _ => None,
    });
    let leaving = answer.unwrap().leaving;
    assert_eq!(leaving.len(), 1);
    let mut receiver = GatewayFixture::new_as("front-2");
    let poll =
        RelayPoll { leaving, ..RelayPoll::new(card("front-1", "norte"), PollPurpose::Loads) };
    receiver.handle(GatewayEvent::Polled { call: CallId(1), poll: Box::new(poll) });
    assert!(!send_requests(&mut receiver, "/slot/1", 30).contains_key(&server_id("b1")));
}

#[test]
fn leaving_is_not_reported_once_the_server_list_shows_it() {
    let mut world = GatewayFixture::new();
    world.gateway.set_relay(card("front-1", "norte"), Vec::new());
    report_hint(&mut world, "b1", None, leaving_hint());
    let entry = ServerEntry {
        state: guavapass::ports::MemberState::Leaving,
        ..server("b1", BOOKINGS, "v1")
    };
    world.page(StoreStream::Servers, vec![said(entry)]);
    world.commands.clear();
    let poll = RelayPoll::new(card("front-2", "norte"), PollPurpose::Records);
    world.handle(GatewayEvent::Polled { call: CallId(1), poll: Box::new(poll) });
    let reports_leaving = |command: &GatewayCommand| match command {
        GatewayCommand::AnswerPeer { answer, .. } => !answer.leaving.is_empty(),
        _ => false,
    };
    assert!(!world.commands.iter().any(reports_leaving));
}

#[test]
fn server_gets_a_single_request_after_its_backoff() {
    let mut world = GatewayFixture::new();
    report_hint(&mut world, "b1", None, backoff_hint(3_000));
    for _ in 0..29 {
        assert!(!send_requests(&mut world, "/book/1", 5).contains_key(&server_id("b1")));
        world.advance_with_store(100);
    }
    world.advance_with_store(200);
    let back = send_requests(&mut world, "/book/1", 60);
    assert_eq!(back.get(&server_id("b1")), Some(&1), "one request until it is answered");
}

#[test]
fn server_gets_all_its_requests_once_it_has_answered() {
    let mut world = GatewayFixture::new();
    report_hint(&mut world, "b1", None, backoff_hint(1_000));
    world.advance_with_store(1_100);
    let tried = loop {
        let request = world.arrive("/slot/1");
        if server_of(&world, request) == Some(server_id("b1")) {
            break request;
        }
    };
    world.whole(tried, 1, 200);
    assert!(send_requests(&mut world, "/slot/1", 60)[&server_id("b1")] > 1);
}

#[test]
fn server_that_rejects_again_gets_a_single_request_again() {
    let mut world = GatewayFixture::new();
    report_hint(&mut world, "b1", None, backoff_hint(1_000));
    world.advance_with_store(1_100);
    for _ in 0..3 {
        let tried = loop {
            let request = world.arrive("/slot/1");
            if server_of(&world, request) == Some(server_id("b1")) {
                break request;
            }
        };
        assert!(!send_requests(&mut world, "/slot/1", 30).contains_key(&server_id("b1")));
        world.not_run(tried, 1, NotRunCause::Full);
    }
}

#[test]
fn server_in_backoff_does_not_count_as_failing() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/slot/1");
    let first = server_of(&world, request).unwrap();
    report_hint(&mut world, first.as_str(), None, backoff_hint(200));
    world.not_run(request, 1, NotRunCause::Full);
    assert_ne!(server_of(&world, request).unwrap(), first, "the retry goes to another server");
    assert!(world.refusal(request).is_none());
    world.advance_with_store(300);
    assert!(send_requests(&mut world, "/slot/1", 60).contains_key(&first));
}

fn all_in_backoff(ms: u64) -> GatewayFixture {
    let mut world = GatewayFixture::new();
    for id in ["b1", "b2", "b3", "e1", "e2", "e3"] {
        report_hint(&mut world, id, None, backoff_hint(ms));
    }
    world
}

#[test]
fn request_waits_for_backoffs_that_end_in_time() {
    for path in ["/slot/1", "/book/1", "/plan/1"] {
        let mut world = all_in_backoff(500);
        let request = world.arrive(path);
        assert!(world.starts(request).is_empty() && world.refusal(request).is_none());
        world.advance_with_store(700);
        assert_eq!(world.starts(request).len(), 1, "{path}");
    }
}

#[test]
fn request_is_refused_at_once_if_all_backoffs_end_too_late() {
    for path in ["/slot/1", "/book/1", "/plan/1"] {
        let mut world = all_in_backoff(20_000);
        let request = world.arrive(path);
        let refusal = world.refusal(request).unwrap();
        assert_eq!((refusal.code, refusal.run), (RefusalCode::Unavailable, RunState::NotRun));
        let after = refusal.retry_after.unwrap();
        assert!(after >= Millis(20_000) && after < Millis(20_200), "{after}");
    }
}

#[test]
fn backoff_is_bounded_by_the_setting() {
    let mut world = all_in_backoff(u64::MAX / 2);
    let refusal = world.arrive("/slot/1");
    let after = world.refusal(refusal).unwrap().retry_after.unwrap();
    assert!(after <= bounds().longest_backoff_ms + Millis(100), "{after}");
}

/// Simulates a pool of three servers that stay full, with `vms` entry VMs. Returns the number of
/// tries that each server gets from each VM in five seconds.
fn tries_at_full_servers(vms: usize, backoff: Option<u64>) -> f64 {
    const SECONDS: u64 = 5;
    let mut tries = 0_u32;
    for vm in 0..vms {
        let mut world = GatewayFixture::new_as(&format!("front-{vm}"));
        let mut seen = 0;
        for step in 0..SECONDS * 100 {
            world.tick(10);
            if step % 10 == 0 {
                world.quiet(StoreStream::Operators);
                world.arrive("/slot/1");
            }
            while let Some(order) = world.commands[seen..].iter().find_map(|command| {
                seen += 1;
                match command {
                    GatewayCommand::Start(order) => Some(order.clone()),
                    _ => None,
                }
            }) {
                tries += 1;
                if let Some(ms) = backoff {
                    report_hint(&mut world, order.server.as_str(), None, backoff_hint(ms));
                }
                world.not_run(order.request, order.attempt.0, NotRunCause::Full);
            }
        }
    }
    f64::from(tries) / vms as f64 / 3.0
}

#[test]
fn full_servers_that_ask_for_a_backoff_get_few_tries() {
    let (with, without) = (tries_at_full_servers(20, Some(1_000)), tries_at_full_servers(20, None));
    println!("tries a server and VM in 5 s: {without:.1} without a backoff, {with:.1} with one");
    assert!(with <= 6.0, "{with}: one try at first and one each second");
    assert!(without > 5.0 * with, "{without} without a backoff");
}

#[derive(Clone, Debug)]
enum Event {
    Arrive { path: usize },
    Leave { server: usize },
    Rest { server: usize, ms: u64 },
    List { server: usize, is_new_start: bool },
    Answer { place: usize, is_whole: bool },
    Pass { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0_usize..3).prop_map(|path| Event::Arrive { path }),
        1 => (0_usize..6).prop_map(|server| Event::Leave { server }),
        2 => (0_usize..6, 0_u64..4_000).prop_map(|(server, ms)| Event::Rest { server, ms }),
        1 => (0_usize..6, any::<bool>())
            .prop_map(|(server, is_new_start)| Event::List { server, is_new_start }),
        3 => (0_usize..16, any::<bool>())
            .prop_map(|(place, is_whole)| Event::Answer { place, is_whole }),
        4 => (1_u64..400).prop_map(|ms| Event::Pass { ms }),
    ]
}

proptest! {
    /// No request is sent to a server that leaves, and few to one in its backoff, over random
    /// reports, server lists, restarts and answers.
    #[test]
    fn hints_are_respected(events in prop::collection::vec(event(), 1..150)) {
        const NAMES: [&str; 6] = ["e1", "e2", "e3", "b1", "b2", "b3"];
        let mut world = GatewayFixture::new();
        let mut born: BTreeMap<usize, u64> = BTreeMap::new();
        let mut left: BTreeMap<ServerId, Millis> = BTreeMap::new();
        let mut backoff: BTreeMap<ServerId, (Millis, Millis, usize)> = BTreeMap::new();
        let mut open: Vec<(RequestNumber, u64)> = Vec::new();
        let mut seen = 0;
        for event in events {
            match event {
                Event::Arrive { path } => {
                    world.arrive(["/plan/1", "/slot/1", "/book/1"][path]);
                }
                Event::Leave { server } => {
                    let start = born.get(&server).map(|at| Millis(*at));
                    report_hint(&mut world, NAMES[server], start, leaving_hint());
                    left.entry(server_id(NAMES[server])).or_insert(world.now);
                }
                Event::Rest { server, ms } => {
                    let start = born.get(&server).map(|at| Millis(*at));
                    report_hint(&mut world, NAMES[server], start, backoff_hint(ms));
                    let until = world.now + Millis(ms);
                    let known = backoff.get(&server_id(NAMES[server]));
                    if known.is_none_or(|(_, last, _)| *last < until) {
                        backoff.insert(server_id(NAMES[server]), (world.now, until, 0));
                    }
                }
                Event::List { server, is_new_start } => {
                    if is_new_start {
                        *born.entry(server).or_insert(1_000) += 1;
                        left.remove(&server_id(NAMES[server]));
                        backoff.remove(&server_id(NAMES[server]));
                    }
                    let pool = if server < 3 { ENGINES } else { BOOKINGS };
                    let start = born.get(&server).map(|at| Millis(*at));
                    let entry = ServerEntry {
                        born: start,
                        ..gateway_world::server(NAMES[server], pool, "v1")
                    };
                    world.page(StoreStream::Servers, vec![said(entry)]);
                }
                Event::Answer { place, is_whole } => {
                    if !open.is_empty() {
                        let (request, attempt) = open.remove(place % open.len());
                        if is_whole {
                            world.whole(request, attempt, 200);
                        } else {
                            world.not_run(request, attempt, NotRunCause::Full);
                        }
                    }
                }
                Event::Pass { ms } => world.tick(ms),
            }
            for command in &world.commands[seen..] {
                let GatewayCommand::Start(order) = command else { continue };
                open.push((order.request, order.attempt.0));
                prop_assert!(!left.contains_key(&order.server), "{} is leaving", order.server);
                if let Some((told, until, sends)) = backoff.get_mut(&order.server)
                    && world.now >= *told + REPORT_GRACE
                    && world.now < *until
                {
                    *sends += 1;
                    prop_assert!(*sends <= MAX_SENDS_IN_BACKOFF, "{} is in backoff", order.server);
                }
            }
            seen = world.commands.len();
        }
    }
}
