//! Sessions that call several entry VMs during a rollout's canary stage.

#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;

use gateway_world::*;
use guavapass::{gateway::*, ids::CallId, units::Millis};

const SESSIONS: u32 = 400;

/// Returns a gateway core that has all records and knows the other entry VMs by a seed.
fn world(vm: &str) -> GatewayFixture {
    let mut world = GatewayFixture::new_as(vm);
    world.newest(StoreStream::Rollouts, Vec::new());
    world.gateway.set_relay(card(vm, "norte"), vec![card("seed", "sur").address]);
    world.tick(0);
    world
}

/// Sends a request of a session. Returns whether it ran on the new version.
fn call(world: &mut GatewayFixture, number: u32) -> bool {
    let session = format!("session-{number}");
    let request = world.arrive_with("/plan/1", |arrival| arrival.session = Some(session.into()));
    let is_new = world.starts(request)[0].server.as_str().starts_with('n');
    world.began(request, 1, None);
    world.whole(request, 1, 200);
    is_new
}

fn order_rollout(world: &mut GatewayFixture) {
    let servers = (1..=3).map(|number| said(server(&format!("n{number}"), ENGINES, "v2")));
    world.page(StoreStream::Servers, servers.collect());
    let duration = Millis(24_000);
    let order = RolloutOrder { pool: pool(ENGINES), target: "v2".into(), duration };
    world.page(StoreStream::Operators, vec![StoreRecord::Order(order)]);
}

/// Returns the last poll with a given purpose that a VM has sent.
fn poll(world: &GatewayFixture, purpose: PollPurpose) -> Option<RelayPoll> {
    let polls = world.commands.iter().rev().filter_map(|command| match command {
        GatewayCommand::AskPeer { poll, .. } if poll.purpose == purpose => {
            Some(poll.as_ref().clone())
        }
        _ => None,
    });
    polls.into_iter().next()
}

/// Lets the follower poll the reader. Returns the numbers of held sessions in the poll and in its
/// answer.
fn exchange(follower: &mut GatewayFixture, reader: &mut GatewayFixture) -> (usize, usize) {
    follower.advance_with_store(700);
    let poll = poll(follower, PollPurpose::Records).expect("it polls the VM that reads the store");
    let sent = poll.held_sessions.sessions.len();
    reader.handle(GatewayEvent::Polled { call: CallId(1), poll: Box::new(poll) });
    reader.tick(200);
    let answers = reader.commands.iter().rev().filter_map(|command| match command {
        GatewayCommand::AnswerPeer { answer, .. } => Some(answer.clone()),
        _ => None,
    });
    let answer = answers.into_iter().next().expect("the poll is answered");
    let received = answer.held_sessions.sessions.len();
    let peer = Some(answer.from.vm.clone());
    let purpose = PollPurpose::Records;
    follower.handle(GatewayEvent::PeerAnswered { peer, purpose, answer: Some(answer) });
    (sent, received)
}

/// Makes two VMs of a data centre known to each other by a greeting.
fn introduce(follower: &mut GatewayFixture, reader: &mut GatewayFixture) {
    let poll = poll(follower, PollPurpose::Greeting).expect("it greets the seed");
    reader.handle(GatewayEvent::Polled { call: CallId(9), poll: Box::new(poll) });
    reader.tick(0);
    let mut answers = reader.commands.iter().filter_map(|command| match command {
        GatewayCommand::AnswerPeer { answer, .. } => Some(answer.clone()),
        _ => None,
    });
    let answer = answers.next_back().expect("the greeting is answered");
    let purpose = PollPurpose::Greeting;
    follower.handle(GatewayEvent::PeerAnswered { peer: None, purpose, answer: Some(answer) });
}

/// Returns a VM that reads the store and one that gets its records from it.
fn pair() -> (GatewayFixture, GatewayFixture) {
    let names = names_by_reader_rank();
    let (mut reader, mut follower) = (world(&names[0]), world(&names[1]));
    introduce(&mut follower, &mut reader);
    (reader, follower)
}

#[test]
fn session_served_by_the_reader_stays_on_the_old_version() {
    let (mut reader, mut follower) = pair();
    for number in 0..SESSIONS {
        assert!(!call(&mut reader, number));
    }
    order_rollout(&mut reader);
    order_rollout(&mut follower);
    exchange(&mut follower, &mut reader);
    follower.advance_with_store(1_000);
    let switched = (0..SESSIONS).filter(|number| call(&mut follower, *number)).count();
    assert_eq!(switched, 0, "they ran on the old version at the reader");
    assert!((SESSIONS..2 * SESSIONS).any(|number| call(&mut follower, number)));
}

#[test]
fn session_served_by_a_follower_stays_on_the_old_version() {
    let (mut reader, mut follower) = pair();
    for number in 0..SESSIONS {
        assert!(!call(&mut follower, number));
    }
    order_rollout(&mut reader);
    order_rollout(&mut follower);
    exchange(&mut follower, &mut reader);
    reader.advance_with_store(1_000);
    let switched = (0..SESSIONS).filter(|number| call(&mut reader, *number)).count();
    assert_eq!(switched, 0, "they ran on the old version at the follower");
}

#[test]
fn canary_stage_waits_for_held_sessions() {
    let mut world = world("front-1");
    order_rollout(&mut world);
    assert!(
        (0..SESSIONS).all(|number| !call(&mut world, number)),
        "other VMs may have served them"
    );
    world.advance_with_store(1_000);
    assert!((0..SESSIONS).all(|number| !call(&mut world, number)), "they stay on the old version");
    assert!((SESSIONS..2 * SESSIONS).any(|number| call(&mut world, number)));
}

#[test]
fn held_sessions_are_sent_once() {
    let (mut reader, mut follower) = pair();
    for number in 0..SESSIONS {
        call(&mut follower, number);
        call(&mut reader, SESSIONS + number);
    }
    order_rollout(&mut reader);
    order_rollout(&mut follower);
    let (sent, received) = exchange(&mut follower, &mut reader);
    assert!(
        sent > 0 && received > sent,
        "the answer has the sessions of the reader and, once, those of the follower"
    );
    assert_eq!(
        exchange(&mut follower, &mut reader),
        (received - sent, 0),
        "the sessions of the reader are sent back once"
    );
    assert_eq!(exchange(&mut follower, &mut reader), (0, 0));
}

#[test]
fn held_sessions_are_bounded_and_keep_their_numbering() {
    let mut held = HeldSessions::default();
    for session in 0..10_000 {
        held.hold(session);
    }
    let all = held.since(0);
    assert_eq!((all.sessions.len(), all.last), (8_192, 10_000));
    assert!(!held.contains(0) && held.contains(9_999));
    assert_eq!(held.since(9_998).sessions, [9_998, 9_999]);
    held.clear();
    assert!(!held.contains(9_999));
    held.hold(1);
    assert_eq!(held.since(10_000), HeldSessionUpdate { sessions: vec![1], last: 10_001 });
}

#[test]
fn held_sessions_fit_into_a_poll() {
    let mut held = HeldSessions::default();
    for session in 0..20_000_u64 {
        held.hold(u64::MAX - session);
    }
    let poll = RelayPoll {
        held_sessions: held.since(0),
        ..RelayPoll::new(card("front-1", "norte"), PollPurpose::Loads)
    };
    let bytes = rmp_serde::to_vec(&poll).unwrap().len() as u64;
    let limit = guavapass::traffic::GatewayHandler::POLL_LIMIT.0;
    assert!(2 * bytes <= limit, "{bytes} bytes of {limit}; a poll has other contents too");
}
