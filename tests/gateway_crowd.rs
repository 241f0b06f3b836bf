//! How many entry VMs act together towards the store, in virtual time.

#[path = "support/gateway_crowd.rs"]
#[allow(dead_code)]
mod gateway_crowd;
#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;

use gateway_crowd::*;
use guavapass::units::Millis;

const CENTRES: [&str; 2] = ["norte", "sur"];
/// The entry VMs of one data centre at the size of the users' target: 400 in 8.
const SIZE: usize = 50;
/// The calls a second and data centre that a quiet crowd and one in trouble may make: two VMs that
/// follow both streams, and two looks a second by all others together.
const CALLS_PER_CENTRE: usize = 8;

/// Returns a crowd that has started and settled.
fn settled() -> GatewayCrowd {
    let mut crowd = GatewayCrowd::new(&CENTRES, SIZE);
    crowd.start_all();
    crowd.run(5_000);
    assert_eq!(crowd.ready(), crowd.len());
    crowd
}

/// Returns a third of the VMs, spread over both data centres.
fn third(crowd: &GatewayCrowd) -> Vec<usize> {
    (0..crowd.len()).filter(|vm| vm * 7 % 20 < 7).collect()
}

/// Publishes a configuration each second for so many seconds; at most `missing` VMs may not be ready.
fn publish_on(crowd: &mut GatewayCrowd, seconds: usize, missing: usize, why: &str) {
    for second in 0..seconds {
        crowd.run(1_000);
        crowd.publish();
        let ready = crowd.ready();
        assert!(ready + missing >= crowd.len(), "{why}: {ready} are ready in second {second}");
    }
}

fn assert_few_calls(crowd: &GatewayCrowd, from: Millis) {
    let seconds = crowd.now.since(from).0 as usize / 1_000;
    let (calls, limit) = (crowd.calls_since(from), CALLS_PER_CENTRE * CENTRES.len() * seconds);
    assert!(calls <= limit, "{calls} calls in {seconds} s, {limit} are allowed");
}

#[test]
fn start_all_at_once() {
    let mut crowd = GatewayCrowd::new(&CENTRES, SIZE);
    let from = crowd.now;
    crowd.start_all();
    crowd.run(500);
    assert_eq!(crowd.ready(), crowd.len(), "callers that come meanwhile are turned away");
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
    assert_eq!(crowd.ready(), crowd.len(), "another VM tells them all there is");
    assert_few_calls(&crowd, from);
}

#[test]
fn refused_for_some() {
    for mood in [StoreMood::Refuses, StoreMood::Silent] {
        let mut crowd = settled();
        let from = crowd.now;
        for vm in third(&crowd) {
            crowd.moods.insert(vm, mood);
        }
        publish_on(&mut crowd, 8, 0, &format!("{mood:?}: others know what the store has"));
        assert_few_calls(&crowd, from);
        crowd.moods.clear();
        crowd.run(3_000);
        assert_few_calls(&crowd, from);
    }
}

#[test]
fn refused_for_first_ranks() {
    let mut crowd = settled();
    let callers = crowd.callers_since(crowd.now.since(Millis(2_000)));
    assert_eq!(callers.len(), CENTRES.len(), "one VM of each data centre reads the store");
    for mood in [StoreMood::Refuses, StoreMood::Silent] {
        // Whoever reads instead is refused as well, up to two in each data centre.
        for _ in 0..2 {
            let from = crowd.now;
            for vm in crowd.callers_since(crowd.now.since(Millis(1_500))) {
                crowd.moods.insert(vm, mood);
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
        crowd.moods.insert(vm, StoreMood::Refuses);
    }
    publish_on(&mut crowd, 8, 0, "the other data centre knows what the store has");
    assert_few_calls(&crowd, from);
}

#[test]
fn store_down() {
    for mood in [StoreMood::Refuses, StoreMood::Silent] {
        let mut crowd = settled();
        let from = crowd.now;
        for vm in 0..crowd.len() {
            crowd.moods.insert(vm, mood);
        }
        crowd.run(8_000);
        assert_eq!(crowd.ready(), 0, "nobody knows which keys hold");
        assert_few_calls(&crowd, from);
        let from = crowd.now;
        crowd.moods.clear();
        crowd.run(4_000);
        assert_eq!(crowd.ready(), crowd.len(), "{mood:?}: all have heard that it is back");
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
    publish_on(&mut crowd, 8, CENTRES.len(), "only those that are frozen lack knowledge");
    assert_few_calls(&crowd, from);
}

#[test]
fn cut_off_from_all() {
    let mut crowd = settled();
    let from = crowd.now;
    crowd.cut = third(&crowd).into_iter().collect();
    for vm in third(&crowd) {
        crowd.moods.insert(vm, StoreMood::Silent);
    }
    crowd.run(8_000);
    assert!(crowd.ready() + third(&crowd).len() >= crowd.len(), "the others serve on");
    // Each of them is alone and looks for itself, at most once a second.
    let looks = third(&crowd).len() * 8;
    let calls = crowd.calls_since(from);
    assert!(calls <= looks + CALLS_PER_CENTRE * CENTRES.len() * 8, "{calls} calls");
    let from = crowd.now;
    crowd.cut.clear();
    crowd.moods.clear();
    crowd.run(4_000);
    assert_eq!(crowd.ready(), crowd.len(), "all are back");
    assert_few_calls(&crowd, from);
}

#[test]
fn cut_off_together() {
    let mut crowd = settled();
    let from = crowd.now;
    crowd.is_cut_together = true;
    crowd.cut = third(&crowd).into_iter().collect();
    publish_on(&mut crowd, 10, 0, "one of them reads for the others");
    assert_few_calls(&crowd, from);
}

#[test]
fn cut_off_from_others() {
    let mut crowd = settled();
    crowd.cut = third(&crowd).into_iter().collect();
    publish_on(&mut crowd, 6, 0, "the store tells what others cannot");
    let from = crowd.now;
    crowd.cut.clear();
    crowd.run(4_000);
    assert_eq!(crowd.ready(), crowd.len());
    // A hub that was cut off is asked again after 8 s at most; until then its follower reads too.
    crowd.run(7_000);
    let callers = crowd.callers_since(crowd.now.since(Millis(2_000)));
    assert_eq!(callers.len(), CENTRES.len(), "one VM of each data centre reads the store again");
    assert!(crowd.now.since(from).0 > 0);
}
