//! Servers that say in their answers that they leave, or want nothing for a while.

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

/// The rule's bound on the requests that reach a server while it wants nothing.
const SENDS_IN_REST: usize = 2;
/// The rule's time after a server's word from which requests count.
const IN_FLIGHT: Millis = Millis(500);

fn say(stage: &mut GatewayWorld, server: &str, born: Option<Millis>, word: ServerHint) {
    let start = ServerStart { server: server_id(server), born };
    stage.handle(GatewayEvent::ServerHinted { start, hint: word });
}

fn leaves() -> ServerHint {
    ServerHint { leaves: true, ..ServerHint::default() }
}

fn rests(ms: u64) -> ServerHint {
    ServerHint { backoff: Some(Millis(ms)), ..ServerHint::default() }
}

fn server_of(world: &GatewayWorld, request: RequestNumber) -> Option<ServerId> {
    world.starts(request).last().map(|order| order.server.clone())
}

/// Returns the servers to which so many requests go that are not answered.
fn spread(world: &mut GatewayWorld, path: &str, count: usize) -> BTreeMap<ServerId, usize> {
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
fn leaving_server_gets_nothing_from_its_word_on() {
    for path in ["/plan/1", "/slot/1", "/book/1"] {
        let mut world = GatewayWorld::new();
        for id in ["e1", "b1"] {
            say(&mut world, id, None, leaves());
        }
        let servers = spread(&mut world, path, 50);
        assert!(!servers.contains_key(&server_id("e1")) && !servers.contains_key(&server_id("b1")));
        assert_eq!(servers.values().sum::<usize>(), 50);
    }
}

#[test]
fn leaving_server_gets_no_second_send() {
    let mut world = GatewayWorld::new();
    let request = world.arrive("/slot/1");
    let first = server_of(&world, request).unwrap();
    let others = ["b1", "b2", "b3"].map(server_id).into_iter().filter(|id| *id != first);
    let leaving: Vec<ServerId> = others.take(1).collect();
    say(&mut world, leaving[0].as_str(), None, leaves());
    world.broken(request, 1, None);
    assert_ne!(server_of(&world, request).unwrap(), leaving[0]);
}

#[test]
fn leaving_of_all_servers_refuses_at_once() {
    let mut world = GatewayWorld::new();
    for id in ["e1", "e2", "e3"] {
        say(&mut world, id, None, leaves());
    }
    let request = world.arrive("/plan/1");
    let refusal = world.refusal(request).unwrap();
    assert_eq!((refusal.code, refusal.run), (RefusalCode::Unavailable, RunState::NotRun));
    assert!(refusal.retry_after.is_some());
}

#[test]
fn leaving_holds_whatever_the_list_says() {
    let mut world = GatewayWorld::new();
    say(&mut world, "b1", None, leaves());
    world.page(StoreStream::Servers, vec![said(server("b1", BOOKINGS, "v1"))]);
    assert!(!spread(&mut world, "/slot/1", 30).contains_key(&server_id("b1")));
}

#[test]
fn leaving_ends_with_a_new_start() {
    let mut world = GatewayWorld::new();
    let born = |at| ServerEntry { born: Some(Millis(at)), ..server("b1", BOOKINGS, "v1") };
    world.page(StoreStream::Servers, vec![said(born(10))]);
    say(&mut world, "b1", Some(Millis(10)), leaves());
    assert!(!spread(&mut world, "/slot/1", 30).contains_key(&server_id("b1")));
    world.page(StoreStream::Servers, vec![said(born(20))]);
    assert!(spread(&mut world, "/slot/1", 60).contains_key(&server_id("b1")), "it started anew");
    say(&mut world, "b1", Some(Millis(10)), leaves());
    assert!(spread(&mut world, "/slot/1", 60).contains_key(&server_id("b1")), "a late answer");
}

#[test]
fn leaving_is_told_to_other_vms() {
    let mut teller = GatewayWorld::new_as("front-1");
    teller.gateway.set_relay(card("front-1", "norte"), Vec::new());
    say(&mut teller, "b1", None, leaves());
    teller.commands.clear();
    let poll = RelayPoll::new(card("front-2", "norte"), PollPurpose::Records);
    teller.handle(GatewayEvent::Polled { call: CallId(1), poll: Box::new(poll) });
    let answer = teller.commands.iter().find_map(|command| match command {
        GatewayCommand::AnswerPeer { answer, .. } => Some(answer.clone()),
        _ => None,
    });
    let leaving = answer.unwrap().leaving;
    assert_eq!(leaving.len(), 1);
    let mut hearer = GatewayWorld::new_as("front-2");
    let poll =
        RelayPoll { leaving, ..RelayPoll::new(card("front-1", "norte"), PollPurpose::Loads) };
    hearer.handle(GatewayEvent::Polled { call: CallId(1), poll: Box::new(poll) });
    assert!(!spread(&mut hearer, "/slot/1", 30).contains_key(&server_id("b1")));
}

#[test]
fn leaving_is_no_longer_told_once_the_list_says_it() {
    let mut world = GatewayWorld::new();
    world.gateway.set_relay(card("front-1", "norte"), Vec::new());
    say(&mut world, "b1", None, leaves());
    let entry = ServerEntry {
        state: guavapass::ports::MemberState::Leaving,
        ..server("b1", BOOKINGS, "v1")
    };
    world.page(StoreStream::Servers, vec![said(entry)]);
    world.commands.clear();
    let poll = RelayPoll::new(card("front-2", "norte"), PollPurpose::Records);
    world.handle(GatewayEvent::Polled { call: CallId(1), poll: Box::new(poll) });
    let tells = |command: &GatewayCommand| match command {
        GatewayCommand::AnswerPeer { answer, .. } => !answer.leaving.is_empty(),
        _ => false,
    };
    assert!(!world.commands.iter().any(tells));
}

#[test]
fn resting_server_gets_nothing_then_one_request() {
    let mut world = GatewayWorld::new();
    say(&mut world, "b1", None, rests(3_000));
    for _ in 0..29 {
        assert!(!spread(&mut world, "/book/1", 5).contains_key(&server_id("b1")));
        world.run_in_touch(100);
    }
    world.run_in_touch(200);
    let back = spread(&mut world, "/book/1", 60);
    assert_eq!(back.get(&server_id("b1")), Some(&1), "one, until it has answered");
}

#[test]
fn resting_server_is_back_when_it_has_answered() {
    let mut world = GatewayWorld::new();
    say(&mut world, "b1", None, rests(1_000));
    world.run_in_touch(1_100);
    let tried = loop {
        let request = world.arrive("/slot/1");
        if server_of(&world, request) == Some(server_id("b1")) {
            break request;
        }
    };
    world.whole(tried, 1, 200);
    assert!(spread(&mut world, "/slot/1", 60)[&server_id("b1")] > 1);
}

#[test]
fn resting_server_that_sheds_again_gets_one_more() {
    let mut world = GatewayWorld::new();
    say(&mut world, "b1", None, rests(1_000));
    world.run_in_touch(1_100);
    for _ in 0..3 {
        let tried = loop {
            let request = world.arrive("/slot/1");
            if server_of(&world, request) == Some(server_id("b1")) {
                break request;
            }
        };
        assert!(!spread(&mut world, "/slot/1", 30).contains_key(&server_id("b1")));
        world.not_run(tried, 1, NotRunCause::Full);
    }
}

#[test]
fn resting_server_does_not_count_as_failing() {
    let mut world = GatewayWorld::new();
    let request = world.arrive("/slot/1");
    let first = server_of(&world, request).unwrap();
    say(&mut world, first.as_str(), None, rests(200));
    world.not_run(request, 1, NotRunCause::Full);
    assert_ne!(server_of(&world, request).unwrap(), first, "its share goes elsewhere");
    assert!(world.refusal(request).is_none());
    world.run_in_touch(300);
    assert!(spread(&mut world, "/slot/1", 60).contains_key(&first));
}

fn all_rest(ms: u64) -> GatewayWorld {
    let mut world = GatewayWorld::new();
    for id in ["b1", "b2", "b3", "e1", "e2", "e3"] {
        say(&mut world, id, None, rests(ms));
    }
    world
}

#[test]
fn rest_of_all_servers_is_waited_for_if_it_ends_in_time() {
    for path in ["/slot/1", "/book/1", "/plan/1"] {
        let mut world = all_rest(500);
        let request = world.arrive(path);
        assert!(world.starts(request).is_empty() && world.refusal(request).is_none());
        world.run_in_touch(700);
        assert_eq!(world.starts(request).len(), 1, "{path}");
    }
}

#[test]
fn rest_of_all_servers_refuses_at_once_if_it_ends_too_late() {
    for path in ["/slot/1", "/book/1", "/plan/1"] {
        let mut world = all_rest(20_000);
        let request = world.arrive(path);
        let refusal = world.refusal(request).unwrap();
        assert_eq!((refusal.code, refusal.run), (RefusalCode::Unavailable, RunState::NotRun));
        let after = refusal.retry_after.unwrap();
        assert!(after >= Millis(20_000) && after < Millis(20_200), "{after}");
    }
}

#[test]
fn rest_bounded_by_the_setting() {
    let mut world = all_rest(u64::MAX / 2);
    let refusal = world.arrive("/slot/1");
    let after = world.refusal(refusal).unwrap().retry_after.unwrap();
    assert!(after <= bounds().longest_backoff_ms + Millis(100), "{after}");
}

/// A pool of three servers that are full for good, before so many VMs; returns the tries that each
/// server gets in five seconds from one VM.
fn tries_at_full_servers(vms: usize, rest: Option<u64>) -> f64 {
    const SECONDS: u64 = 5;
    let mut tries = 0_u32;
    for vm in 0..vms {
        let mut world = GatewayWorld::new_as(&format!("front-{vm}"));
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
                if let Some(ms) = rest {
                    say(&mut world, order.server.as_str(), None, rests(ms));
                }
                world.not_run(order.request, order.attempt.0, NotRunCause::Full);
            }
        }
    }
    f64::from(tries) / vms as f64 / 3.0
}

#[test]
fn full_servers_that_name_a_rest_get_few_tries() {
    let (with, without) = (tries_at_full_servers(20, Some(1_000)), tries_at_full_servers(20, None));
    println!("tries a server and VM in 5 s: {without:.1} without a time, {with:.1} with one");
    assert!(with <= 6.0, "{with}: one at first and one each second");
    assert!(without > 5.0 * with, "{without} without a time");
}

#[derive(Clone, Debug)]
enum Happening {
    Arrive { path: usize },
    Leave { server: usize },
    Rest { server: usize, ms: u64 },
    List { server: usize, is_new_start: bool },
    Answer { place: usize, is_whole: bool },
    Pass { ms: u64 },
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        4 => (0_usize..3).prop_map(|path| Happening::Arrive { path }),
        1 => (0_usize..6).prop_map(|server| Happening::Leave { server }),
        2 => (0_usize..6, 0_u64..4_000).prop_map(|(server, ms)| Happening::Rest { server, ms }),
        1 => (0_usize..6, any::<bool>())
            .prop_map(|(server, is_new_start)| Happening::List { server, is_new_start }),
        3 => (0_usize..16, any::<bool>())
            .prop_map(|(place, is_whole)| Happening::Answer { place, is_whole }),
        4 => (1_u64..400).prop_map(|ms| Happening::Pass { ms }),
    ]
}

proptest! {
    /// Both rules as they are worded, over random words, lists, restarts and answers.
    #[test]
    fn hints_are_obeyed(happenings in prop::collection::vec(happening(), 1..150)) {
        const NAMES: [&str; 6] = ["e1", "e2", "e3", "b1", "b2", "b3"];
        let mut world = GatewayWorld::new();
        let mut born: BTreeMap<usize, u64> = BTreeMap::new();
        let mut left: BTreeMap<ServerId, Millis> = BTreeMap::new();
        let mut rest: BTreeMap<ServerId, (Millis, Millis, usize)> = BTreeMap::new();
        let mut open: Vec<(RequestNumber, u64)> = Vec::new();
        let mut seen = 0;
        for happening in happenings {
            match happening {
                Happening::Arrive { path } => {
                    world.arrive(["/plan/1", "/slot/1", "/book/1"][path]);
                }
                Happening::Leave { server } => {
                    let start = born.get(&server).map(|at| Millis(*at));
                    say(&mut world, NAMES[server], start, leaves());
                    left.entry(server_id(NAMES[server])).or_insert(world.now);
                }
                Happening::Rest { server, ms } => {
                    let start = born.get(&server).map(|at| Millis(*at));
                    say(&mut world, NAMES[server], start, rests(ms));
                    let until = world.now + Millis(ms);
                    let known = rest.get(&server_id(NAMES[server]));
                    if known.is_none_or(|(_, last, _)| *last < until) {
                        rest.insert(server_id(NAMES[server]), (world.now, until, 0));
                    }
                }
                Happening::List { server, is_new_start } => {
                    if is_new_start {
                        *born.entry(server).or_insert(1_000) += 1;
                        left.remove(&server_id(NAMES[server]));
                        rest.remove(&server_id(NAMES[server]));
                    }
                    let pool = if server < 3 { ENGINES } else { BOOKINGS };
                    let start = born.get(&server).map(|at| Millis(*at));
                    let entry = ServerEntry { born: start, ..gateway_world::server(NAMES[server], pool, "v1") };
                    world.page(StoreStream::Servers, vec![said(entry)]);
                }
                Happening::Answer { place, is_whole } => {
                    if !open.is_empty() {
                        let (request, attempt) = open.remove(place % open.len());
                        if is_whole {
                            world.whole(request, attempt, 200);
                        } else {
                            world.not_run(request, attempt, NotRunCause::Full);
                        }
                    }
                }
                Happening::Pass { ms } => world.tick(ms),
            }
            for command in &world.commands[seen..] {
                let GatewayCommand::Start(order) = command else { continue };
                open.push((order.request, order.attempt.0));
                prop_assert!(!left.contains_key(&order.server), "{} has left", order.server);
                if let Some((told, until, sends)) = rest.get_mut(&order.server)
                    && world.now >= *told + IN_FLIGHT
                    && world.now < *until
                {
                    *sends += 1;
                    prop_assert!(*sends <= SENDS_IN_REST, "{} wants nothing", order.server);
                }
            }
            seen = world.commands.len();
        }
    }
}
