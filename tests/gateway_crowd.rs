//! How many entry VMs share the reading of the store, in virtual time.

#[path = "support/gateway_crowd.rs"]
#[allow(dead_code)]
mod gateway_crowd;
#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;

use gateway_crowd::*;
use guavapass::units::Millis;

const CENTRES: [&str; 2] = ["norte", "sur"];
/// The entry VMs in one data centre of the largest target deployment: 400 VMs in 8 data centres.
const SIZE: usize = 50;
/// The permitted store calls per second and data centre, in normal operation and during failures:
/// two VMs that follow both streams, and two probes a second by all others together.
const CALLS_PER_CENTRE: usize = 8;

/// Returns entry VMs that have started and are all ready.
fn settled() -> GatewaySimulation {
    let mut crowd = GatewaySimulation::new(&CENTRES, SIZE);
    crowd.start_all();
    crowd.run(5_000);
    assert_eq!(crowd.ready(), crowd.len());
    crowd
}

/// Returns about a third of the VMs, spread over both data centres.
fn third(crowd: &GatewaySimulation) -> Vec<usize> {
    (0..crowd.len()).filter(|vm| vm * 7 % 20 < 7).collect()
}

/// Publishes a configuration each second; at most `missing` VMs may be not ready at the end of each
/// second.
fn publish_each_second(crowd: &mut GatewaySimulation, seconds: usize, missing: usize, why: &str) {
    for second in 0..seconds {
        crowd.run(1_000);
        crowd.publish();
        let ready = crowd.ready();
        assert!(ready + missing >= crowd.len(), "{why}: {ready} are ready in second {second}");
    }
}

fn assert_few_calls(crowd: &GatewaySimulation, from: Millis) {
    let seconds = crowd.now.since(from).0 as usize / 1_000;
    let (calls, limit) = (crowd.calls_since(from), CALLS_PER_CENTRE * CENTRES.len() * seconds);
    assert!(calls <= limit, "{calls} calls in {seconds} s, {limit} are allowed");
}

#[test]
fn start_all_at_once() {
    let mut crowd = GatewaySimulation::new(&CENTRES, SIZE);
    let from = crowd.now;
    crowd.start_all();
    crowd.run(500);
    assert_eq!(crowd.ready(), crowd.len(), "VMs that are not ready turn callers away");
    crowd.run(2_500);
    assert_eq!(crowd.ready(), crowd.len());
    assert_few_calls(&crowd, from);
}

#[test]
fn start_beside_others() {
    let mut crowd = settled();
    let vms = third(&crowd);
    for vm in &vms {
        crowd.kill(*vm);
    }
    crowd.run(4_000);
    let from = crowd.now;
    for vm in vms {
        crowd.start(vm);
    }
    crowd.run(1_000);
    assert_eq!(crowd.ready(), crowd.len(), "running VMs send them all records");
    assert_few_calls(&crowd, from);
}

#[test]
fn refused_for_some() {
    for mood in [StoreMode::Refuses, StoreMode::Silent] {
        let mut crowd = settled();
        let from = crowd.now;
        for vm in third(&crowd) {
            crowd.store_modes.insert(vm, mood);
        }
        publish_each_second(&mut crowd, 8, 0, &format!("{mood:?}: others can read the store"));
        assert_few_calls(&crowd, from);
        crowd.store_modes.clear();
        crowd.run(3_000);
        assert_few_calls(&crowd, from);
    }
}

#[test]
fn refused_for_current_readers() {
    let mut crowd = settled();
    let callers = crowd.callers_since(crowd.now.since(Millis(2_000)));
    assert_eq!(callers.len(), CENTRES.len(), "one VM of each data centre reads the store");
    for mood in [StoreMode::Refuses, StoreMode::Silent] {
        // The VMs that take over the reading fail as well, up to two in each data centre.
        for _ in 0..2 {
            let from = crowd.now;
            for vm in crowd.callers_since(crowd.now.since(Millis(1_500))) {
                crowd.store_modes.insert(vm, mood);
            }
            crowd.run(4_000);
            assert_eq!(crowd.ready(), crowd.len(), "{mood:?}");
            assert_few_calls(&crowd, from);
        }
    }
}

#[test]
fn refused_for_one_centre() {
    let mut crowd = settled();
    let from = crowd.now;
    for vm in 0..SIZE {
        crowd.store_modes.insert(vm, StoreMode::Refuses);
    }
    publish_each_second(&mut crowd, 8, 0, "the other data centre can read the store");
    assert_few_calls(&crowd, from);
}

#[test]
fn store_down() {
    for mood in [StoreMode::Refuses, StoreMode::Silent] {
        let mut crowd = settled();
        let from = crowd.now;
        for vm in 0..crowd.len() {
            crowd.store_modes.insert(vm, mood);
        }
        crowd.run(8_000);
        assert_eq!(crowd.ready(), 0, "no VM can check keys");
        assert_few_calls(&crowd, from);
        let from = crowd.now;
        crowd.store_modes.clear();
        crowd.run(4_000);
        assert_eq!(crowd.ready(), crowd.len(), "{mood:?}: all VMs have recovered");
        assert_few_calls(&crowd, from);
    }
}

#[test]
fn readers_killed() {
    let mut crowd = settled();
    let mut running = crowd.len();
    for _ in 0..4 {
        let from = crowd.now;
        let callers = crowd.callers_since(crowd.now.since(Millis(1_500)));
        running -= callers.len();
        for vm in callers {
            crowd.kill(vm);
        }
        crowd.run(3_000);
        assert_eq!(crowd.ready(), running);
        assert_few_calls(&crowd, from);
    }
}

#[test]
fn readers_frozen() {
    let mut crowd = settled();
    let from = crowd.now;
    for vm in crowd.callers_since(crowd.now.since(Millis(1_500))) {
        crowd.freeze(vm, 4_000);
    }
    publish_each_second(&mut crowd, 8, CENTRES.len(), "only the frozen VMs lack the records");
    assert_few_calls(&crowd, from);
}

#[test]
fn cut_off_from_all() {
    let mut crowd = settled();
    let from = crowd.now;
    crowd.cut = third(&crowd).into_iter().collect();
    for vm in third(&crowd) {
        crowd.store_modes.insert(vm, StoreMode::Silent);
    }
    crowd.run(8_000);
    assert!(crowd.ready() + third(&crowd).len() >= crowd.len(), "the others stay ready");
    // Each isolated VM probes the store by itself, at most once a second.
    let probes = third(&crowd).len() * 8;
    let calls = crowd.calls_since(from);
    assert!(calls <= probes + CALLS_PER_CENTRE * CENTRES.len() * 8, "{calls} calls");
    let from = crowd.now;
    crowd.cut.clear();
    crowd.store_modes.clear();
    crowd.run(4_000);
    assert_eq!(crowd.ready(), crowd.len(), "all VMs have recovered");
    assert_few_calls(&crowd, from);
}

#[test]
fn cut_off_together() {
    let mut crowd = settled();
    let from = crowd.now;
    crowd.can_cut_vms_connect = true;
    crowd.cut = third(&crowd).into_iter().collect();
    publish_each_second(&mut crowd, 10, 0, "one of the isolated VMs reads for the others");
    assert_few_calls(&crowd, from);
}

#[test]
fn cut_off_from_others() {
    let mut crowd = settled();
    crowd.cut = third(&crowd).into_iter().collect();
    publish_each_second(&mut crowd, 6, 0, "isolated VMs read the store themselves");
    let from = crowd.now;
    crowd.cut.clear();
    crowd.run(4_000);
    assert_eq!(crowd.ready(), crowd.len());
    // A hub that was cut off is polled again after 8 s at most; until then its follower reads the
    // store too.
    crowd.run(7_000);
    let callers = crowd.callers_since(crowd.now.since(Millis(2_000)));
    assert_eq!(callers.len(), CENTRES.len(), "one VM of each data centre reads the store again");
    assert!(crowd.now.since(from).0 > 0);
}
