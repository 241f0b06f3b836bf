//! Evacuated data centres: orders by each way, and what no longer is sent. Cold servers: the sum of
//! the requests of all VMs.

#[path = "support/gateway_crowd.rs"]
#[allow(dead_code)]
mod gateway_crowd;
#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;

#[path = "support/limited_pool.rs"]
#[allow(dead_code)]
mod limited_pool;

use gateway_crowd::{GatewaySimulation, StoreMode};
use gateway_world::*;
use guavapass::{
    gateway::*,
    ids::Offset,
    units::{Millis, RequestsPerSecond},
};
use limited_pool::LimitedPool;
use std::sync::Arc;

/// Engines `e1` and `e2`, in data centres of their own.
fn world() -> GatewayFixture {
    let mut world = GatewayFixture::new();
    place(&mut world, "e3", "norte", "v1");
    place(&mut world, "e2", "sur", "v1");
    world.page(StoreStream::Servers, vec![removed("e3")]);
    world
}

fn place(world: &mut GatewayFixture, id: &str, centre: &str, software: &str) {
    world.page(StoreStream::Servers, vec![said(entry(id, centre, software))]);
}

fn entry(id: &str, centre: &str, software: &str) -> ServerEntry {
    ServerEntry { data_centre: text(centre), ..server(id, ENGINES, software) }
}

fn removed(id: &str) -> StoreRecord {
    StoreRecord::Server(ServerChange::Removed(text(id)))
}

fn evacuate(centre: &str) -> StoreRecord {
    StoreRecord::Evacuation(EvacuationOrder::Evacuate(text(centre)))
}

fn take_back(centre: &str) -> StoreRecord {
    StoreRecord::Evacuation(EvacuationOrder::TakeBack(text(centre)))
}

/// Sends requests for many different parts, and returns how many went to a server.
fn sent_to(world: &mut GatewayFixture, server: &str) -> usize {
    let count = |number: u64| {
        let request = world.arrive_with("/plan/1", |arrival| {
            arrival.parts[0].id = number * 7_919;
        });
        let sent = world.starts(request).first().map(|order| order.server.clone());
        world.whole(request, 1, 200);
        usize::from(sent == Some(text(server)))
    };
    (0..40).map(count).sum()
}

#[test]
fn no_request_goes_to_an_evacuated_data_centre() {
    let mut world = world();
    assert!(sent_to(&mut world, "e2") > 5);
    world.page(StoreStream::Operators, vec![evacuate("sur")]);
    world.tick(1_250);
    assert_eq!(sent_to(&mut world, "e2"), 0);
    // From half of the bound on, a second send, a resumed stream and a waiting call do not go there
    // even if there is no other server. A run that is under way ends there.
    world.tick(1_250);
    let request = world.arrive("/plan/1");
    assert_eq!(world.starts(request)[0].server, server_id("e1"));
    world.began(request, 1, None);
    world.page(StoreStream::Servers, vec![removed("e1")]);
    world.broken(request, 1, Some(3));
    world.tick(500);
    assert_eq!(world.starts(request).len(), 1);
    let refused = world.arrive("/plan/1");
    assert!(world.starts(refused).is_empty());
    assert!(world.refusal(refused).is_some());
    assert!(world.gateway.withheld_sends() >= 1);
    world.page(StoreStream::Operators, vec![take_back("sur")]);
    assert_eq!(world.gateway.evacuated_centres(), 0);
    assert_eq!(sent_to(&mut world, "e2"), 40);
}

#[test]
fn last_servers_of_a_pool_are_used_until_half_of_the_bound() {
    let mut world = world();
    world.page(StoreStream::Servers, vec![removed("e1")]);
    world.page(StoreStream::Operators, vec![evacuate("sur")]);
    world.tick(1_250);
    assert_eq!(sent_to(&mut world, "e2"), 40, "there is no other server");
    place(&mut world, "e4", "norte", "v1");
    assert_eq!(sent_to(&mut world, "e2"), 0, "another server has come");
    world.page(StoreStream::Servers, vec![removed("e4")]);
    assert_eq!(sent_to(&mut world, "e2"), 40, "it has gone again");
    world.tick(1_249);
    assert_eq!(sent_to(&mut world, "e2"), 40);
    world.tick(1);
    assert_eq!(sent_to(&mut world, "e2"), 0, "half of the bound is over");
}

#[test]
fn parts_leave_gradually_and_well_before_the_bound() {
    let mut world = world();
    let before = sent_to(&mut world, "e2");
    world.page(StoreStream::Operators, vec![evacuate("sur")]);
    world.tick(500);
    let half = sent_to(&mut world, "e2");
    assert!(half > 0 && half < before, "{before} {half}");
    world.tick(500);
    assert_eq!(sent_to(&mut world, "e2"), 0);
}

#[test]
fn order_of_unknown_age_holds_at_once() {
    let mut world = world();
    // The last read was answered so long ago that the order may be as old.
    world.tick(2_600);
    world.page(StoreStream::Operators, vec![evacuate("sur")]);
    assert_eq!(sent_to(&mut world, "e2"), 0);
    let mut started = GatewayFixture::new();
    started.gateway = Gateway::new(identity("front-2"), bounds());
    started.tick(0);
    let document = StoreRecord::Configuration(Arc::new(document(1)));
    started.newest(StoreStream::Operators, vec![document, evacuate("sur")]);
    started.newest(
        StoreStream::Servers,
        vec![said(entry("e1", "norte", "v1")), said(entry("e2", "sur", "v1"))],
    );
    assert_eq!(sent_to(&mut started, "e2"), 0);
}

#[test]
fn newest_order_counts() {
    let mut world = world();
    let records = world.keep(vec![evacuate("sur"), take_back("sur"), evacuate("valle")]);
    let read = |world: &mut GatewayFixture, records: &[StreamRecord]| {
        let end = Offset(records.iter().map(|kept| kept.offset.0).max().unwrap_or(0) + 1);
        let page = StorePage { records: records.to_vec(), next: end, end };
        let (stream, answer) = (StoreStream::Operators, FeedAnswer::From(Ok(page)));
        world.handle(GatewayEvent::Read { stream, answer });
    };
    read(&mut world, &records[1..]);
    read(&mut world, &records[..1]);
    world.tick(2_000);
    assert_eq!(world.gateway.evacuated_centres(), 1, "the older order of sur comes too late");
    assert!(sent_to(&mut world, "e2") > 5);
    let two = vec![evacuate("sur"), evacuate("norte")];
    world.page(StoreStream::Operators, two);
    world.tick(2_000);
    let request = world.arrive("/plan/1");
    assert!(world.starts(request).is_empty());
    world.page(StoreStream::Operators, vec![take_back("norte")]);
    let request = world.arrive("/plan/1");
    assert_eq!(world.starts(request)[0].server, server_id("e1"));
}

#[test]
fn order_that_a_complete_read_does_not_list_has_ended() {
    let mut world = world();
    world.page(StoreStream::Operators, vec![evacuate("sur"), evacuate("valle")]);
    let first = Offset(1);
    let trimmed = FeedAnswer::From(Err(StoreError::Trimmed { first }));
    let stream = StoreStream::Operators;
    world.handle(GatewayEvent::Read { stream, answer: trimmed.clone() });
    world.newest(stream, vec![evacuate("valle")]);
    assert_eq!(world.gateway.evacuated_centres(), 1);
    // The page was made before the order that another VM has passed on.
    world.handle(GatewayEvent::Read { stream, answer: trimmed.clone() });
    let page = NewestPage { records: Vec::new(), end: Offset(5), more_after: None };
    world.handle(GatewayEvent::Read { stream, answer: FeedAnswer::Newest(Ok(page)) });
    assert_eq!(world.gateway.evacuated_centres(), 1);
    // An unreadable order does not end the one before.
    let cause = "not JSON".into();
    let unreadable = EvacuationOrder::Unreadable { data_centre: text("valle"), cause };
    world.handle(GatewayEvent::Read { stream, answer: trimmed });
    world.newest(stream, vec![StoreRecord::Evacuation(unreadable)]);
    assert_eq!(world.gateway.evacuated_centres(), 1);
}

/// Returns VMs of three data centres with an engine in each.
fn simulation(per_centre: usize) -> GatewaySimulation {
    let mut crowd = GatewaySimulation::new(&["norte", "sur", "valle"], per_centre);
    crowd.register(entry("e2", "sur", "v1"));
    crowd.register(entry("e3", "valle", "v1"));
    crowd.start_all();
    crowd.run(4_000);
    assert_eq!(crowd.ready(), crowd.len());
    crowd
}

fn knowing(crowd: &GatewaySimulation) -> usize {
    (0..crowd.len()).filter(|vm| crowd.gateway(*vm).evacuated_centres() > 0).count()
}

#[test]
fn order_reaches_all_vms_by_the_relay_and_after_a_restart() {
    let mut crowd = simulation(30);
    crowd.order(evacuate("sur"));
    crowd.run(600);
    assert_eq!(knowing(&crowd), crowd.len());
    for vm in [0, 30, 31, 60] {
        crowd.kill(vm);
        crowd.start(vm);
    }
    crowd.run(1_500);
    assert_eq!(knowing(&crowd), crowd.len());
    crowd.order(take_back("sur"));
    crowd.run(600);
    assert_eq!(knowing(&crowd), 0);
}

#[test]
fn order_reaches_vms_while_the_store_turns_most_of_them_away() {
    let mut crowd = simulation(3);
    for vm in 0..crowd.len() - 1 {
        crowd.store_modes.insert(vm, StoreMode::Refuses);
    }
    crowd.run(1_000);
    crowd.order(evacuate("sur"));
    crowd.run(2_500);
    assert_eq!(knowing(&crowd), crowd.len());
    // While the order ends, a VM is out of reach; it learns the end from a VM that never knew the
    // order.
    crowd.store_modes.clear();
    crowd.cut.insert(4);
    crowd.store_modes.insert(4, StoreMode::Silent);
    crowd.order(take_back("sur"));
    crowd.run(1_000);
    for vm in (0..crowd.len()).filter(|vm| *vm != 4) {
        crowd.kill(vm);
        crowd.start(vm);
    }
    crowd.run(3_000);
    assert_eq!(knowing(&crowd), 1);
    crowd.cut.clear();
    crowd.run(3_000);
    assert_eq!(knowing(&crowd), 0);
    assert!(crowd.gateway(4).evacuation_age(Millis(0)) == Millis(0));
}

const COLD_RATE: f64 = 5.6;
/// `cold_over` times the rate and `cold_slack`.
const MOST_IN_A_SECOND: usize = 13;

/// Returns VMs of three data centres before ten engines, of which those from the fifth on are in
/// `valle`. Cold engines bear only a few requests if `is_bounded` is true.
fn cold_pool(per_centre: usize, is_bounded: bool) -> LimitedPool {
    let mut crowd = GatewaySimulation::with_engines(&["norte", "sur", "valle"], per_centre, 10);
    for number in 5..=10 {
        crowd.register(entry(&format!("e{number}"), "valle", "v1"));
    }
    let mut bounded = document(2);
    if is_bounded {
        let rate = RequestsPerSecond(COLD_RATE);
        let start = ColdStart { duration: Millis(3_000), rate };
        bounded.cold_starts.insert(pool(ENGINES), start);
    }
    crowd.order(StoreRecord::Configuration(Arc::new(bounded)));
    crowd.start_all();
    crowd.run(4_000);
    assert_eq!(crowd.ready(), crowd.len());
    let mut pool = LimitedPool::new(crowd, 7);
    pool.watched = (1..=10).map(|number| server_id(&format!("e{number}"))).collect();
    pool.work_ms = 300;
    pool
}

/// Lets engines be down, with a third of the VMs cut off from the others, under a load that the
/// others can hardly bear. Returns the most requests in a second of one of them after its return,
/// and how many each got on average once it was warm.
fn most_after_return(per_centre: usize, engines: &[&str], is_bounded: bool) -> (usize, usize) {
    const CALLS_PER_SECOND: f64 = 400.0;
    let mut pool = cold_pool(per_centre, is_bounded);
    let vms: Vec<usize> = (0..pool.crowd.len()).collect();
    let per_vm = CALLS_PER_SECOND / vms.len() as f64;
    pool.load(&vms, "/plan/1", per_vm, 500);
    pool.crowd.cut.extend((0..vms.len()).filter(|vm| vm % 3 == 2));
    pool.down.extend(engines.iter().map(|id| server_id(id)));
    pool.load(&vms, "/plan/1", per_vm, 3_000);
    let from = pool.crowd.now;
    pool.down.clear();
    pool.load(&vms, "/plan/1", per_vm, 2_500);
    let most = engines.iter().map(|id| pool.most_in_a_second(id, from)).max();
    pool.crowd.cut.clear();
    pool.load(&vms, "/plan/1", per_vm, 1_000);
    let warm = pool.crowd.now;
    pool.load(&vms, "/plan/1", per_vm, 2_000);
    println!(
        "DBG {per_centre} {engines:?} {is_bounded} {most:?} {}",
        pool.seen_since(engines, warm)
    );
    (most.unwrap_or(0), pool.seen_since(engines, warm) / engines.len())
}

#[test]
fn server_that_returns_gets_few_requests() {
    for (per_centre, engines) in
        [(3, &["e1"][..]), (3, &["e5", "e6", "e7", "e8", "e9"]), (33, &["e1"])]
    {
        let (most, later) = most_after_return(per_centre, engines, true);
        assert!(most <= MOST_IN_A_SECOND, "{per_centre} {engines:?}: {most}");
        assert!(later >= 3, "{per_centre} {engines:?}: {later} once they were warm");
    }
}

#[test]
fn without_a_bound_a_server_that_returns_gets_a_crowd() {
    let (most, _) = most_after_return(33, &["e1"], false);
    assert!(most > MOST_IN_A_SECOND, "{most}");
}

#[test]
fn server_that_is_listed_as_cold_gets_few_requests() {
    for is_bounded in [true, false] {
        let mut pool = cold_pool(3, is_bounded);
        let vms: Vec<usize> = (0..pool.crowd.len()).collect();
        pool.load(&vms, "/plan/1", 10.0, 1_000);
        let (from, id) = (pool.crowd.now, "e11");
        pool.watched.insert(server_id(id));
        let born = Some(Millis(9_000));
        pool.crowd.register(ServerEntry { cold: Millis(3_000), born, ..entry(id, "sur", "v1") });
        pool.load(&vms, "/plan/1", 10.0, 3_000);
        let most = pool.most_in_a_second(id, from);
        assert_eq!(most <= MOST_IN_A_SECOND, is_bounded, "{most}");
    }
}

#[test]
fn data_centre_that_is_taken_back_gets_few_requests() {
    for is_bounded in [true, false] {
        let mut pool = cold_pool(3, is_bounded);
        let vms: Vec<usize> = (0..pool.crowd.len()).collect();
        pool.load(&vms, "/plan/1", 20.0, 500);
        pool.crowd.order(evacuate("valle"));
        pool.load(&vms, "/plan/1", 20.0, 1_500);
        let from = pool.crowd.now;
        pool.load(&vms, "/plan/1", 20.0, 1_000);
        let engines = ["e5", "e6", "e7", "e8", "e9", "e10"];
        assert_eq!(pool.seen_since(&engines, from), 0);
        pool.crowd.order(take_back("valle"));
        pool.load(&vms, "/plan/1", 20.0, 3_000);
        let most = engines.iter().map(|id| pool.most_in_a_second(id, from)).max();
        let most = most.unwrap_or(0);
        assert_eq!(most <= MOST_IN_A_SECOND, is_bounded, "{most}");
        assert!(pool.seen_since(&engines, from) > 20);
        let from = pool.crowd.now + Millis(1_000);
        pool.load(&vms, "/plan/1", 20.0, 2_000);
        assert!(pool.seen_since(&engines, from) > 60, "{}", pool.seen_since(&engines, from));
    }
}

#[test]
fn statement_of_an_answer_makes_a_server_cold_until_it_ends() {
    let mut world = world();
    let mut bounded = document(2);
    let start = ColdStart { duration: Millis(3_000), rate: RequestsPerSecond(COLD_RATE) };
    bounded.cold_starts.insert(pool(ENGINES), start);
    world.page(StoreStream::Operators, vec![StoreRecord::Configuration(Arc::new(bounded))]);
    for (id, born, cold) in [("e1", None, 2_000), ("e2", Some(Millis(3)), 2_000)] {
        let start = ServerStart { server: server_id(id), born };
        let hint = ServerHint { cold: Some(Millis(cold)), ..ServerHint::default() };
        let sent = world.now;
        world.handle(GatewayEvent::ServerHinted { start, sent, hint });
    }
    assert_eq!(world.gateway.cold_servers(), 1, "the other answer is of an earlier start");
    assert_eq!(sent_to(&mut world, "e2"), 40);
    world.tick(1_990);
    assert_eq!(world.gateway.cold_servers(), 1);
    world.tick(20);
    assert_eq!(world.gateway.cold_servers(), 0);
    assert!(sent_to(&mut world, "e1") > 5);
}
