//! Tests that a graceful shutdown under load finishes and bills all open streams.

use super::*;

const STREAMS: u64 = 200;

fn document_with_many_slots() -> ConfigurationDocument {
    let mut document = document();
    let pool = document.pools.get_mut(&"planning".parse().unwrap()).unwrap();
    (pool.slots, pool.long_slots, pool.progress_timeout_ms) = (256, 256, Millis(10_000));
    for team in document.teams.values_mut() {
        team.deadline_ms = Millis(60_000);
    }
    document
}

#[test]
fn shutdown_cuts_no_stream() {
    let setup = EngineSetup {
        slots: 256,
        next_token: Duration::from_millis(40),
        output_tokens: 40,
        ..EngineSetup::default()
    };
    let mut cluster = TestCluster::new().engine_of("engine-1", setup).vm("vm-1");
    cluster.publish_document(&document_with_many_slots());
    let vm = cluster.vms.remove(0);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..STREAMS {
        let call = CallRequest::chat("auto", &format!("q{number}")).key("plazas-key").stream();
        let caller = CallerStandIn::new(vm.callers);
        callers.spawn_on(async move { (number, caller.send(&call).await) }, runtime.handle());
    }
    let start = Instant::now();
    while cluster.engines[0].runs().started() < STREAMS {
        assert!(start.elapsed() < Duration::from_secs(20), "all streams must start in time");
        std::thread::yield_now();
    }
    assert_eq!(
        cluster.engines[0].runs().finished(),
        0,
        "all streams must be open when the shutdown starts"
    );
    vm.shut_down();
    let ended = std::thread::spawn(move || vm.wait());
    for (number, outcome) in runtime.block_on(callers.join_all()) {
        let answer = Answer(outcome).expect_status(200);
        answer.expect_text(&format!("q{number}"));
    }
    ended.join().unwrap();
    let billed = billed(&cluster);
    assert_eq!(billed.values().map(|total| total.requests).sum::<u64>(), STREAMS);
}

/// Returns the billing totals of each team, computed from the log.
pub fn billed(cluster: &TestCluster) -> std::collections::BTreeMap<TeamId, TeamTotal> {
    BillReport::of(&bills(cluster), UnsettledRule::Estimate, None, Millis(0)).teams
}

pub fn bills(cluster: &TestCluster) -> BillFold {
    let mut fold = BillFold::default();
    for (offset, record) in cluster.platform().log().records("bills").into_iter().enumerate() {
        fold.fold(&LogRecord { offset: Offset(offset as u64), record });
    }
    fold
}
