//! The core's handling of requests: admission, sending, retries, streams and shutdown.

#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;

use gateway_world::*;
use guavapass::{
    control::{RefusalCode, RunState},
    gateway::*,
    ids::Offset,
    ports::MemberState,
    units::Millis,
};
use std::sync::Arc;

#[test]
fn route_longest_prefix() {
    let kind = RouteKind::Idempotent;
    let table = RouteTable::new([route("/a/", kind, "outer"), route("/a/b/", kind, "inner")]);
    let pool = |path: &str| {
        table.find("PLAZA.example:8080", path).map(|route| route.pools[0].pool.to_string())
    };
    assert_eq!(pool("/a/b/c").as_deref(), Some("inner"));
    assert_eq!(pool("/a/bc").as_deref(), Some("outer"));
    assert_eq!(pool("/b/"), None);
    assert!(table.find("other.example", "/a/").is_none());
}

#[test]
fn admit_unknown_route() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/nowhere/1");
    assert_eq!(world.refusal(request).unwrap().code, RefusalCode::NotFound);
}

#[test]
fn admit_unknown_key() {
    let mut world = GatewayFixture::new();
    let request = world.arrive_with("/slot/1", |arrival| arrival.key = Some("stolen".into()));
    assert_eq!(world.refusal(request).unwrap().code, RefusalCode::Unauthorised);
    assert!(world.starts(request).is_empty());
}

#[test]
fn admit_without_configuration() {
    let mut world = GatewayFixture::empty();
    world.tick(0);
    // The time for which requests wait at a VM that has just started.
    world.tick(600);
    let request = world.arrive("/slot/1");
    let refusal = world.refusal(request).unwrap();
    assert_eq!((refusal.code, refusal.run), (RefusalCode::Unavailable, RunState::NotRun));
    assert!(refusal.retry_after.is_some());
    assert!(!world.gateway.is_ready(world.now));
}

#[test]
fn admit_removed_key() {
    let mut world = GatewayFixture::new();
    let mut next = document(2);
    let holder = KeyHolder { team: text("valle"), rank: None };
    next.keys = TeamKeys::Named([("another".into(), holder)].into());
    world.page(StoreStream::Operators, vec![StoreRecord::Configuration(Arc::new(next))]);
    let request = world.arrive("/slot/1");
    assert_eq!(world.refusal(request).unwrap().code, RefusalCode::Unauthorised);
}

#[test]
fn admit_cut_off_from_store() {
    let mut world = GatewayFixture::new();
    world.tick(4_700);
    let early = world.arrive("/slot/1");
    assert_eq!(world.starts(early).len(), 1, "the lease is still fresh");
    world.tick(200);
    let late = world.arrive("/slot/1");
    let refusal = world.refusal(late).unwrap();
    assert_eq!((refusal.code, refusal.run), (RefusalCode::Unavailable, RunState::NotRun));
    let free = world.arrive("/free/1");
    assert_eq!(world.starts(free).len(), 1, "a route without keys is still served");
    assert!(!world.gateway.is_ready(world.now));
}

#[test]
fn lease_counts_from_send() {
    let mut world = GatewayFixture::new();
    // The read under way was sent at the start; its answer arrives 3 s later.
    world.tick(3_000);
    world.quiet(StoreStream::Operators);
    world.tick(1_900);
    let request = world.arrive("/slot/1");
    assert!(world.refusal(request).is_some(), "the lease counts from the send, not the answer");
}

#[test]
fn configuration_of_older_revision_ignored() {
    let mut world = GatewayFixture::new();
    let newer = StoreRecord::Configuration(Arc::new(document(7)));
    let older = StoreRecord::Configuration(Arc::new(document(3)));
    world.page(StoreStream::Operators, vec![newer, older]);
    assert_eq!(world.gateway.document().unwrap().revision.0, 7);
}

#[test]
fn once_broken_not_retried() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/book/1");
    world.broken(request, 1, None);
    assert_eq!(world.starts(request).len(), 1, "not retried, as it may have run");
    let refusal = world.refusal(request).unwrap();
    assert_eq!((refusal.code, refusal.run), (RefusalCode::BadGateway, RunState::Unknown));
}

#[test]
fn once_unreachable_retried() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/book/1");
    world.not_run(request, 1, NotRunCause::Unreachable);
    let servers: Vec<_> = world.starts(request).iter().map(|order| order.server.clone()).collect();
    assert_eq!(servers.len(), 2);
    assert_ne!(servers[0], servers[1]);
}

#[test]
fn once_timeout() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/book/1");
    world.tick(5_999);
    assert!(world.refusal(request).is_none());
    world.tick(1);
    let refusal = world.refusal(request).unwrap();
    assert_eq!((refusal.code, refusal.run), (RefusalCode::Timeout, RunState::Unknown));
}

#[test]
fn idempotent_failure_retried() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/slot/1");
    world.whole(request, 1, 500);
    assert_eq!(world.starts(request).len(), 2);
    world.whole(request, 2, 200);
    assert!(world.is_delivered(request, 2) && !world.is_delivered(request, 1));
}

#[test]
fn idempotent_attempt_limit() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/slot/1");
    for attempt in 1..=3 {
        world.whole(request, attempt, 500);
    }
    assert_eq!(world.starts(request).len(), 3);
    assert!(world.is_delivered(request, 3), "the last server's error is delivered");
}

#[test]
fn budget_limits_retries() {
    let mut world = GatewayFixture::new();
    let requests: Vec<_> = (0..100).map(|_| world.arrive("/slot/1")).collect();
    for request in &requests {
        world.whole(*request, 1, 500);
        world.whole(*request, 2, 500);
    }
    let sends: usize = requests.iter().map(|request| world.starts(*request).len()).sum();
    assert!(sends - 100 <= 90, "{} retries of 100 requests at a share of 0.9", sends - 100);
    assert!(sends > 150, "the budget is used");
}

#[test]
fn stream_resumed_after_last_event() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/plan/1");
    world.began(request, 1, None);
    world.broken(request, 1, Some(4));
    let starts = world.starts(request);
    assert_eq!((starts.len(), starts[1].after_event), (2, Some(4)));
    assert_ne!(starts[0].server, starts[1].server);
    world.began(request, 2, None);
    world.whole(request, 2, 200);
    assert!(world.is_delivered(request, 2) && !world.is_broken_off(request));
}

#[test]
fn stream_not_resumable() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/frail/1");
    world.began(request, 1, None);
    world.broken(request, 1, Some(4));
    assert_eq!(world.starts(request).len(), 1);
    assert!(world.is_broken_off(request));
}

#[test]
fn stream_at_timeout() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/plan/1");
    world.began(request, 1, None);
    world.tick(6_000);
    assert!(world.is_broken_off(request) && world.refusal(request).is_none());
}

#[test]
fn model_escalated_at_low_confidence() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/sized/1");
    assert_eq!(world.starts(request)[0].model, Some(model("small")));
    world.began(request, 1, Some(20));
    assert!(!world.is_delivered(request, 1));
    assert_eq!(world.starts(request)[1].model, Some(model("large")));
    world.began(request, 2, Some(40));
    assert!(world.is_delivered(request, 2), "there is no larger model to ask");
}

#[test]
fn model_not_escalated_at_high_confidence() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/sized/1");
    world.began(request, 1, Some(95));
    assert!(world.is_delivered(request, 1));
    assert_eq!(world.starts(request).len(), 1);
}

#[test]
fn model_not_escalated_when_late() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/sized/1");
    world.tick(1_999);
    world.began(request, 1, Some(60));
    assert!(world.is_delivered(request, 1), "a late answer of the larger model is worth less");
}

#[test]
fn server_leaving() {
    let mut world = GatewayFixture::new();
    for id in ["b1", "b2"] {
        let mut entry = server(id, BOOKINGS, "v1");
        entry.state = MemberState::Leaving;
        world.page(StoreStream::Servers, vec![said(entry)]);
    }
    for _ in 0..20 {
        let request = world.arrive("/slot/1");
        assert_eq!(world.starts(request)[0].server, server_id("b3"));
    }
}

#[test]
fn server_removed() {
    let mut world = GatewayFixture::new();
    let gone =
        ["b1", "b2", "b3"].map(|id| StoreRecord::Server(ServerChange::Removed(server_id(id))));
    world.page(StoreStream::Servers, gone.into());
    let request = world.arrive("/slot/1");
    let refusal = world.refusal(request).unwrap();
    assert_eq!((refusal.code, refusal.run), (RefusalCode::Unavailable, RunState::NotRun));
}

#[test]
fn server_missing_after_full_reread() {
    let mut world = GatewayFixture::new();
    world.tick(1_000);
    let trimmed = FeedAnswer::From(Err(StoreError::Trimmed { first: Offset(90) }));
    world.handle(GatewayEvent::Read { stream: StoreStream::Servers, answer: trimmed });
    world.newest(StoreStream::Servers, vec![said(server("b2", BOOKINGS, "v1"))]);
    for _ in 0..10 {
        let request = world.arrive("/slot/1");
        assert_eq!(world.starts(request)[0].server, server_id("b2"));
    }
}

#[test]
fn server_leaving_and_missing_is_unlisted() {
    let mut book = ServerRegistry::default();
    book.apply_entry(server("e1", ENGINES, "v1"));
    book.apply_entry(ServerEntry { state: MemberState::Leaving, ..server("e1", ENGINES, "v1") });
    assert_eq!(book.unlisted(&std::collections::BTreeSet::new()), [server_id("e1")]);
}

#[test]
fn server_entry_of_earlier_start_ignored() {
    let mut world = GatewayFixture::new();
    let mut entry = server("b1", BOOKINGS, "v1");
    entry.born = Some(Millis(900));
    world.page(StoreStream::Servers, vec![said(entry.clone())]);
    entry.born = Some(Millis(800));
    entry.state = MemberState::Leaving;
    world.page(StoreStream::Servers, vec![said(entry)]);
    let used = (0..40).any(|_| {
        let request = world.arrive("/slot/1");
        world.starts(request)[0].server == server_id("b1")
    });
    assert!(used, "an entry of an earlier start is ignored");
}

#[test]
fn shutdown_refuses_late_streams() {
    let mut world = GatewayFixture::new();
    world.handle(GatewayEvent::Shutdown);
    assert!(!world.gateway.is_ready(world.now));
    let early = world.arrive("/plan/1");
    assert_eq!(world.starts(early).len(), 1);
    world.tick(2_500);
    world.quiet(StoreStream::Operators);
    let late = world.arrive("/plan/1");
    assert_eq!(world.refusal(late).unwrap().run, RunState::NotRun);
    let plain = world.arrive_with("/slot/1", |arrival| arrival.deadline = Some(Millis(4_500)));
    assert_eq!(world.starts(plain).len(), 1, "it ends before the process does");
    let long = world.arrive_with("/slot/1", |arrival| arrival.deadline = Some(Millis(4_501)));
    assert_eq!(world.refusal(long).unwrap().run, RunState::NotRun, "it may end after it");
    assert!(world.commands.contains(&GatewayCommand::CloseIdleConnections));
    assert!(!world.commands.contains(&GatewayCommand::Stop), "requests are under way");
}

#[test]
fn shutdown_completes_when_idle() {
    let mut world = GatewayFixture::new();
    world.handle(GatewayEvent::Shutdown);
    world.tick(2_400);
    assert!(!world.commands.contains(&GatewayCommand::Stop));
    world.tick(200);
    assert!(world.commands.contains(&GatewayCommand::Stop));
}

#[test]
fn feed_pages_then_follows() {
    let mut feed = StoreFeed::new(StoreStream::Servers, Millis(0), Millis(1_000));
    assert!(matches!(feed.read(Millis(5)), Some(FeedRead::Newest { after: None, .. })));
    assert_eq!(feed.read(Millis(6)), None, "one read at a time");
    let first = NewestPage { records: vec![], end: Offset(40), more_after: Some("m".into()) };
    let step = feed.answered(Millis(9), 0.0, &FeedAnswer::Newest(Ok(first)));
    assert_eq!(step, FeedProgress::Behind);
    assert!(matches!(feed.read(Millis(9)), Some(FeedRead::Newest { after: Some(_), .. })));
    let last = NewestPage { records: vec![], end: Offset(44), more_after: None };
    let step = feed.answered(Millis(12), 0.0, &FeedAnswer::Newest(Ok(last)));
    assert_eq!(
        step,
        FeedProgress::CaughtUp { sent: Millis(5) },
        "complete as of the first page's request"
    );
    assert_eq!(feed.next(), Some(Millis(1_012)));
    let read = feed.read(Millis(1_012));
    assert!(matches!(read, Some(FeedRead::From { from: Offset(40), .. })), "{read:?}");
}

#[test]
fn feed_behind_reads_at_once() {
    let mut feed = StoreFeed::new(StoreStream::Evidence, Millis(0), Millis(1_000));
    feed.read(Millis(0));
    let page = StorePage { records: vec![], next: Offset(50), end: Offset(80) };
    let step = feed.answered(Millis(3), 0.0, &FeedAnswer::From(Ok(page)));
    assert_eq!((step, feed.next()), (FeedProgress::Behind, Some(Millis(3))));
}

#[test]
fn feed_failures_back_off() {
    let mut feed = StoreFeed::new(StoreStream::Servers, Millis(0), Millis(1_000));
    let mut now = Millis(0);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        feed.read(now);
        let refused = FeedAnswer::Newest(Err(StoreError::Refused { status: 503 }));
        assert_eq!(feed.answered(now, 1.0, &refused), FeedProgress::Failed);
        let next = feed.next().unwrap();
        pauses.push(next.since(now).0);
        now = next;
    }
    assert_eq!(pauses, [100, 200, 400, 800, 800, 800]);
}

#[test]
fn idempotent_server_unresponsive_retried() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/slot/1");
    world.tick(1_999);
    assert_eq!(world.starts(request).len(), 1);
    world.tick(1);
    let starts = world.starts(request);
    assert_eq!(starts.len(), 2, "past its objective, it is sent to another server");
    assert_ne!(starts[0].server, starts[1].server);
    world.whole(request, 1, 200);
    assert!(!world.is_delivered(request, 1), "the answer of a cancelled run is ignored");
    world.whole(request, 2, 200);
    assert!(world.is_delivered(request, 2));
}

#[test]
fn once_server_unresponsive_not_retried() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/book/1");
    world.tick(5_000);
    assert_eq!(world.starts(request).len(), 1, "not retried, as it may be running");
}

#[test]
fn unsent_runs_exceed_attempt_limit() {
    let mut world = GatewayFixture::new();
    let servers = (1..=9).map(|number| said(server(&format!("d{number}"), BOOKINGS, "v1")));
    world.page(StoreStream::Servers, servers.collect());
    let request = world.arrive("/book/1");
    for attempt in 1..=7 {
        world.not_run(request, attempt, NotRunCause::Unreachable);
    }
    assert_eq!(world.starts(request).len(), 8, "runs that were not sent are not limited to 3");
}

#[test]
fn server_misdirected_avoided() {
    let mut world = GatewayFixture::new();
    let first = world.arrive("/slot/1");
    let server = world.starts(first)[0].server.clone();
    world.not_run(first, 1, NotRunCause::Misdirected);
    for _ in 0..30 {
        let request = world.arrive("/slot/1");
        assert_ne!(world.starts(request)[0].server, server);
    }
}
