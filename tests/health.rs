//! Tests of server selection, the ejection of slow servers, the backoff of failing servers, load
//! reports, and the budgets of hedges and retries.

use guavapass::{
    configuration::PoolEntry,
    control::AttemptFault,
    health::{AttemptBudget, ServerRequirements, ServerTable},
    ids::{PoolId, ServerId},
    ports::{LoadReport, MemberState, ServerMember},
    routing::SizeClass,
    units::{Millis, Share},
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::collections::BTreeMap;

const SERVERS: usize = 10;
const SLOTS: u32 = 3;
const LONG_SLOTS: u32 = 2;

fn id(index: usize) -> ServerId {
    format!("engine-{index}").parse().unwrap()
}

fn pool() -> PoolId {
    "planning".parse().unwrap()
}

fn entry() -> PoolEntry {
    serde_json::from_value(serde_json::json!({
        "kind": "engine", "slots": SLOTS, "long_slots": LONG_SLOTS, "progress_timeout_ms": 5000
    }))
    .unwrap()
}

fn table() -> ServerTable {
    let mut table = ServerTable::default();
    let members = (0..SERVERS).map(|index| ServerMember {
        id: id(index),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "norte".parse().unwrap(),
        pool: pool(),
        state: MemberState::Live,
    });
    table.update(Millis(0), &members.collect::<Vec<_>>());
    table
}

fn choose(table: &mut ServerTable, now: u64, class: SizeClass) -> Option<ServerId> {
    let requirements = ServerRequirements {
        class,
        prefix: None,
        may_probe: class == SizeClass::Short,
        avoid: &[],
        excluded: Vec::new(),
        long_slots: LONG_SLOTS,
    };
    let (server, _) = table.choose(Millis(now), &pool(), &entry(), &requirements, &|_| true);
    server.map(|server| server.id.clone())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Compares the table with plain counts: the selected server is a least loaded one with a free
    /// slot, and a server is selected whenever one has a free slot.
    #[test]
    fn choice_is_a_least_loaded_server(steps in proptest::collection::vec((0..4u8, any::<u8>()), 1..200)) {
        let mut table = table();
        let mut counts: BTreeMap<ServerId, [u32; 2]> =
            (0..SERVERS).map(|index| (id(index), [0, 0])).collect();
        let mut running: Vec<(ServerId, SizeClass)> = Vec::new();
        for (step, index) in steps {
            let class = if step % 2 == 0 { SizeClass::Short } else { SizeClass::Long };
            if step < 3 {
                let found = choose(&mut table, 0, class);
                let has_room = |counts: &[u32; 2]| {
                    counts[0] + counts[1] < SLOTS
                        && (class == SizeClass::Short || counts[1] < LONG_SLOTS)
                };
                let open: Vec<&[u32; 2]> = counts.values().filter(|counts| has_room(counts)).collect();
                prop_assert_eq!(found.is_some(), !open.is_empty());
                let Some(found) = found else { continue };
                prop_assert!(has_room(&counts[&found]));
                let load = |counts: &[u32; 2]| match class {
                    SizeClass::Short => (0, counts[0] + counts[1]),
                    SizeClass::Long => (counts[1], counts[0] + counts[1]),
                };
                let least = open.into_iter().map(load).min();
                prop_assert_eq!(Some(load(&counts[&found])), least);
                counts.get_mut(&found).unwrap()[class.index()] += 1;
                table.started(Millis(0), &found, class);
                running.push((found, class));
            } else if !running.is_empty() {
                let (server, class) = running.swap_remove(usize::from(index) % running.len());
                counts.get_mut(&server).unwrap()[class.index()] -= 1;
                table.ended(Millis(0), &server, class, None);
            }
        }
    }

    /// At most three in ten servers are ejected, no matter how many are slow and how slow they are.
    #[test]
    fn at_most_three_in_ten_are_ejected(ratios in proptest::collection::vec((0..SERVERS, 1..60u32), 1..300)) {
        let mut table = table();
        for (index, ratio) in ratios {
            table.observe_latency_ratio(Millis(0), &id(index), f64::from(ratio) / 3.0);
            let ejected = table.iter().filter(|server| server.next_probe.is_some()).count();
            prop_assert!(ejected <= 3, "{ejected} servers ejected");
        }
    }
}

#[test]
fn slow_server_is_probed_and_readmitted() {
    let mut table = table();
    (0..10).for_each(|_| table.observe_latency_ratio(Millis(0), &id(0), 10.0));
    for _ in 0..SERVERS as u32 * SLOTS {
        let Some(server) = choose(&mut table, 1, SizeClass::Short) else { break };
        assert_ne!(server, id(0));
        table.started(Millis(1), &server, SizeClass::Short);
    }
    assert_eq!(choose(&mut table, 600, SizeClass::Short), Some(id(0)));
    table.started(Millis(600), &id(0), SizeClass::Short);
    assert_eq!(choose(&mut table, 700, SizeClass::Short), None);
    table.ended(Millis(800), &id(0), SizeClass::Short, None);
    (0..10).for_each(|_| table.observe_latency_ratio(Millis(900), &id(0), 1.0));
    assert_eq!(choose(&mut table, 901, SizeClass::Short), Some(id(0)));
}

#[test]
fn failing_server_backs_off_and_recovers() {
    let mut table = table();
    table.started(Millis(0), &id(0), SizeClass::Short);
    table.ended(Millis(0), &id(0), SizeClass::Short, Some(AttemptFault::Closed));
    let count_selected = |table: &mut ServerTable, now| {
        let mut found = Vec::new();
        while let Some(server) = choose(table, now, SizeClass::Short) {
            table.started(Millis(now), &server, SizeClass::Short);
            found.push(server);
        }
        for server in &found {
            table.cancelled(Millis(now), server, SizeClass::Short);
        }
        found.iter().filter(|server| **server == id(0)).count()
    };
    assert_eq!(count_selected(&mut table, 100), 0);
    // After its backoff it gets one request at a time until a request has succeeded.
    assert_eq!(count_selected(&mut table, 10_000), 1);
    table.started(Millis(10_001), &id(0), SizeClass::Short);
    table.ended(Millis(10_001), &id(0), SizeClass::Short, None);
    assert_eq!(count_selected(&mut table, 10_002), SLOTS as usize);
}

#[test]
fn excess_in_load_report_decays_with_age() {
    let mut table = table();
    let report = LoadReport { running: 8, as_of_ms: Millis(1), ..LoadReport::default() };
    table.report(Millis(0), &id(0), report);
    let load = |table: &ServerTable, now| table.get(&id(0)).unwrap().expected_load(Millis(now), 0);
    assert_eq!(load(&table, 0), 8);
    assert_eq!(load(&table, 1_000), 4);
    assert_eq!(load(&table, 10_000), 0);
}

#[test]
fn budget_bounds_extra_attempts() {
    let mut budget = AttemptBudget::default();
    let mut taken = 0;
    for _ in 0..1_000 {
        budget.deposit(Share::new(0.05).unwrap());
        taken += u32::from(budget.try_spend());
    }
    assert!((50..=52).contains(&taken), "{taken}");
    (0..1_000).for_each(|_| budget.deposit(Share::new(0.05).unwrap()));
    assert_eq!((0..100).filter(|_| budget.try_spend()).count(), 2);
}
