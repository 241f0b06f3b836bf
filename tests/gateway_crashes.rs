//! Requests that end the backend servers that run them, before several entry VMs.

#[path = "support/crashing_pool.rs"]
#[allow(dead_code)]
mod crashing_pool;
#[path = "support/gateway_crowd.rs"]
#[allow(dead_code)]
mod gateway_crowd;
#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;

use crashing_pool::CrashingPool;
use gateway_crowd::GatewayCrowd;
use guavapass::{
    health::{CrashBook, RequestFingerprint},
    units::Millis,
};

const CENTRES: [&str; 2] = ["norte", "sur"];
/// The entry VMs of a data centre.
const SIZE: usize = 4;
/// The rule's `contact_ms`.
const CONTACT: Millis = Millis(3_000);
/// The servers that the rule lets a request reach once it has ended three and that is known.
const LATER_SENDS: usize = 3;
const KILLER: RequestFingerprint = RequestFingerprint(0xdead);
const POPULAR: RequestFingerprint = RequestFingerprint(0xbeef);

fn pool() -> CrashingPool {
    let mut crowd = GatewayCrowd::new(&CENTRES, SIZE);
    crowd.start_all();
    crowd.run(4_000);
    assert_eq!(crowd.ready(), crowd.len());
    let mut pool = CrashingPool::new(crowd);
    pool.killers.insert(KILLER);
    pool
}

/// Lets the killer come again at one entry VM after the other, beside other requests.
fn come_again(pool: &mut CrashingPool, path: &str, seconds: u64) {
    let vms = pool.crowd.len();
    for step in 0..seconds * 20 {
        let vm = step as usize % vms;
        pool.call(vm, "/plan/1", RequestFingerprint(10_000 + step));
        if step % 10 == 0 {
            pool.call((step / 10) as usize % vms, path, KILLER);
        }
        pool.run(50);
    }
    pool.run(2_000);
}

fn assert_stopped(pool: &CrashingPool) {
    let later = pool.seen_after_crash(KILLER, 3, CONTACT);
    let crashes = pool.crashes_under(KILLER);
    assert!(crashes >= 3, "the request has ended {crashes} servers");
    assert!(later <= LATER_SENDS, "{later} sends after the third crash; {crashes} servers ended");
}

#[test]
fn crashing_stream_stopped_over_all_vms() {
    let mut pool = pool();
    come_again(&mut pool, "/plan/1", 20);
    assert_stopped(&pool);
}

#[test]
fn crashing_call_stopped_over_all_vms() {
    for path in ["/slot/1", "/book/1"] {
        let mut pool = pool();
        come_again(&mut pool, path, 20);
        assert_stopped(&pool);
    }
}

#[test]
fn crashing_request_stopped_at_one_vm() {
    let mut pool = pool();
    for _ in 0..40 {
        pool.call(0, "/plan/1", KILLER);
        pool.run(500);
    }
    assert_stopped(&pool);
}

#[test]
fn crashing_request_does_not_harm_those_beside_it() {
    let mut pool = pool();
    come_again(&mut pool, "/plan/1", 20);
    let beside = |fingerprint: &RequestFingerprint| *fingerprint != KILLER;
    let refused = pool.refused.iter().filter(|(fingerprint, _)| beside(fingerprint)).count();
    let answered = pool.answered.iter().filter(|fingerprint| beside(fingerprint)).count();
    assert_eq!((refused, answered), (0, 400));
}

#[test]
fn crashing_request_refused_as_not_run_and_for_long() {
    let mut pool = pool();
    come_again(&mut pool, "/plan/1", 20);
    let (_, refusal) = pool.refused.last().unwrap();
    assert_eq!(refusal.run, guavapass::control::RunState::NotRun);
    assert!(refusal.retry_after.is_some_and(|after| after >= Millis(60_000)), "{refusal:?}");
}

#[test]
fn crashing_request_known_to_a_vm_that_was_cut_off() {
    let mut pool = pool();
    let last = pool.crowd.len() - 1;
    pool.crowd.cut.insert(last);
    for step in 0..40 {
        pool.call(step % last, "/plan/1", KILLER);
        pool.run(250);
    }
    pool.crowd.cut.clear();
    pool.run(3_000);
    let before = pool.crashes_under(KILLER);
    pool.call(last, "/plan/1", KILLER);
    pool.run(1_000);
    assert_eq!(pool.crashes_under(KILLER), before, "the others have told it");
}

#[test]
fn crashing_request_known_to_a_vm_that_has_just_started() {
    let mut pool = pool();
    come_again(&mut pool, "/plan/1", 6);
    let last = pool.crowd.len() - 1;
    pool.crowd.kill(last);
    pool.run(500);
    pool.crowd.start(last);
    pool.run(2_000);
    let before = pool.crashes_under(KILLER);
    pool.call(last, "/plan/1", KILLER);
    pool.run(1_000);
    assert_eq!(pool.crashes_under(KILLER), before, "the others have told it");
}

#[test]
fn popular_prompt_on_failing_rack_is_served() {
    let mut pool = pool();
    let vms = pool.crowd.len();
    for step in 0..400_usize {
        pool.call(step % vms, "/plan/1", POPULAR);
        match step {
            100 => pool.end_servers(&["e1", "e2", "e3"]),
            // The rest of the rack follows one by one.
            200 => pool.end_servers(&["e1"]),
            206 => pool.end_servers(&["e2"]),
            212 => pool.end_servers(&["e3"]),
            218 => pool.end_servers(&["e4"]),
            _ => {}
        }
        pool.run(30);
    }
    pool.run(2_000);
    assert_eq!(pool.answers_of(POPULAR), 400);
}

#[test]
fn request_at_servers_that_are_cut_off_is_served() {
    let mut pool = pool();
    for server in ["e1", "e2", "e3"] {
        pool.cut_server(server, true);
    }
    for step in 0..40 {
        pool.call(step % 8, "/plan/1", POPULAR);
        pool.run(250);
    }
    pool.run(2_000);
    assert_eq!(pool.refused.len(), 0);
}

#[test]
fn request_whose_answers_broke_at_living_servers_is_served() {
    let mut pool = pool();
    for step in 0..4 {
        pool.call(step, "/plan/1", POPULAR);
        for _ in 0..3 {
            pool.run(50);
            pool.close_runs();
        }
        pool.run(200);
    }
    pool.call(5, "/plan/1", POPULAR);
    pool.run(1_000);
    assert_eq!(pool.answers_of(POPULAR), 1, "no server has ended");
}

/// Returns the requests that were refused because servers had ended under them.
fn quarantined(pool: &CrashingPool) -> Vec<RequestFingerprint> {
    let is_quarantine = |refusal: &guavapass::control::Refusal| refusal.message.contains("ended");
    let refused = pool.refused.iter().filter(|(_, refusal)| is_quarantine(refusal));
    refused.map(|(fingerprint, _)| *fingerprint).collect()
}

#[test]
fn requests_that_shared_servers_with_a_crashing_one_are_not_blamed() {
    for vms in [1, 8] {
        let mut pool = pool();
        pool.work_ms = 400;
        // 200 a second on six servers: 13 run beside the killer wherever it goes, and each of them
        // is sent again where others are too.
        for step in 0..2_000_usize {
            pool.call(step % vms, "/plan/1", RequestFingerprint(10_000 + step as u64));
            if step % 100 == 0 {
                pool.call(step / 100 % vms, "/plan/1", KILLER);
            }
            pool.run(5);
        }
        pool.run(3_000);
        assert_eq!(pool.crashes_under(KILLER), CrashBook::CRASHES, "the third one told them apart");
        let blamed = quarantined(&pool);
        assert!(blamed.iter().all(|fingerprint| *fingerprint == KILLER), "{blamed:?}");
    }
}

#[test]
fn two_crashing_requests_stopped_together() {
    const OTHER: RequestFingerprint = RequestFingerprint(0xdeae);
    let mut pool = pool();
    pool.killers.insert(OTHER);
    let vms = pool.crowd.len();
    for step in 0..40 {
        pool.call(step % vms, "/plan/1", KILLER);
        pool.call(step % vms, "/plan/1", OTHER);
        pool.run(500);
    }
    for killer in [KILLER, OTHER] {
        let later = pool.seen_after_crash(killer, 3, CONTACT);
        assert!(later <= LATER_SENDS, "{killer}: {later} sends after the third crash");
    }
}

#[test]
fn crashing_request_refused_by_vms_without_the_store() {
    let mut pool = pool();
    for vm in 0..pool.crowd.len() {
        pool.crowd.moods.insert(vm, gateway_crowd::StoreMood::Silent);
    }
    come_again(&mut pool, "/free/1", 20);
    assert_stopped(&pool);
}
