//! Requests that crash the backend servers that run them, with several entry VMs.

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
use gateway_crowd::GatewaySimulation;
use guavapass::{
    health::{CrashTracker, RequestFingerprint},
    units::Millis,
};

const CENTRES: [&str; 2] = ["norte", "sur"];
/// Number of entry VMs in each data centre.
const VMS_PER_CENTRE: usize = 4;
/// Time that the VMs have to exchange crashes, as `contact_ms` of the rule.
const CONTACT_TIME: Millis = Millis(3_000);
/// Number of servers that a request may reach, by the rule, once it has crashed three and the VMs
/// have had the time to exchange that.
const MAX_LATER_SENDS: usize = 3;
const CRASHING: RequestFingerprint = RequestFingerprint(0xdead);
const POPULAR: RequestFingerprint = RequestFingerprint(0xbeef);

fn pool() -> CrashingPool {
    let mut crowd = GatewaySimulation::new(&CENTRES, VMS_PER_CENTRE);
    crowd.start_all();
    crowd.run(4_000);
    assert_eq!(crowd.ready(), crowd.len());
    let mut pool = CrashingPool::new(crowd);
    pool.crashing.insert(CRASHING);
    pool
}

/// Sends the crashing request to the entry VMs in turn, every half second, among other requests.
fn send_repeatedly(pool: &mut CrashingPool, path: &str, seconds: u64) {
    let vms = pool.crowd.len();
    for step in 0..seconds * 20 {
        let vm = step as usize % vms;
        pool.call(vm, "/plan/1", RequestFingerprint(10_000 + step));
        if step % 10 == 0 {
            pool.call((step / 10) as usize % vms, path, CRASHING);
        }
        pool.run(50);
    }
    pool.run(2_000);
}

fn assert_stopped(pool: &CrashingPool) {
    let later = pool.seen_after_crash(CRASHING, 3, CONTACT_TIME);
    let crashes = pool.crashes_under(CRASHING);
    assert!(crashes >= 3, "the request has crashed {crashes} servers");
    assert!(
        later <= MAX_LATER_SENDS,
        "{later} sends after the third crash; {crashes} servers crashed"
    );
}

#[test]
fn crashing_stream_is_stopped_at_all_vms() {
    let mut pool = pool();
    send_repeatedly(&mut pool, "/plan/1", 20);
    assert_stopped(&pool);
}

#[test]
fn crashing_call_is_stopped_at_all_vms() {
    for path in ["/slot/1", "/book/1"] {
        let mut pool = pool();
        send_repeatedly(&mut pool, path, 20);
        assert_stopped(&pool);
    }
}

#[test]
fn crashing_request_is_stopped_at_a_single_vm() {
    let mut pool = pool();
    for _ in 0..40 {
        pool.call(0, "/plan/1", CRASHING);
        pool.run(500);
    }
    assert_stopped(&pool);
}

#[test]
fn crashing_request_does_not_affect_concurrent_requests() {
    let mut pool = pool();
    send_repeatedly(&mut pool, "/plan/1", 20);
    let is_other = |fingerprint: &RequestFingerprint| *fingerprint != CRASHING;
    let refused = pool.refused.iter().filter(|(fingerprint, _)| is_other(fingerprint)).count();
    let answered = pool.answered.iter().filter(|fingerprint| is_other(fingerprint)).count();
    assert_eq!((refused, answered), (0, 400));
}

#[test]
fn crashing_request_is_refused_as_not_run_with_a_long_retry_after() {
    let mut pool = pool();
    send_repeatedly(&mut pool, "/plan/1", 20);
    let (_, refusal) = pool.refused.last().unwrap();
    assert_eq!(refusal.run, guavapass::control::RunState::NotRun);
    assert!(refusal.retry_after.is_some_and(|after| after >= Millis(60_000)), "{refusal:?}");
}

#[test]
fn reconnected_vm_learns_of_the_crashing_request() {
    let mut pool = pool();
    let last = pool.crowd.len() - 1;
    pool.crowd.cut.insert(last);
    for step in 0..40 {
        pool.call(step % last, "/plan/1", CRASHING);
        pool.run(250);
    }
    pool.crowd.cut.clear();
    pool.run(3_000);
    let before = pool.crashes_under(CRASHING);
    pool.call(last, "/plan/1", CRASHING);
    pool.run(1_000);
    assert_eq!(pool.crashes_under(CRASHING), before, "the other VMs have reported it");
}

#[test]
fn restarted_vm_learns_of_the_crashing_request() {
    let mut pool = pool();
    send_repeatedly(&mut pool, "/plan/1", 6);
    let last = pool.crowd.len() - 1;
    pool.crowd.kill(last);
    pool.run(500);
    pool.crowd.start(last);
    pool.run(2_000);
    let before = pool.crashes_under(CRASHING);
    pool.call(last, "/plan/1", CRASHING);
    pool.run(1_000);
    assert_eq!(pool.crashes_under(CRASHING), before, "the other VMs have reported it");
}

#[test]
fn popular_request_on_a_failing_rack_is_served() {
    let mut pool = pool();
    let vms = pool.crowd.len();
    for step in 0..400_usize {
        pool.call(step % vms, "/plan/1", POPULAR);
        match step {
            100 => pool.end_servers(&["e1", "e2", "e3"]),
            // The other servers of the rack fail one by one.
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
fn request_on_unreachable_servers_is_served() {
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
fn request_with_closed_connections_at_running_servers_is_served() {
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
    assert_eq!(pool.answers_of(POPULAR), 1, "no server has crashed");
}

/// Returns the requests that were refused because servers had crashed while they ran them.
fn quarantined(pool: &CrashingPool) -> Vec<RequestFingerprint> {
    let is_quarantine = |refusal: &guavapass::control::Refusal| refusal.message.contains("ended");
    let refused = pool.refused.iter().filter(|(_, refusal)| is_quarantine(refusal));
    refused.map(|(fingerprint, _)| *fingerprint).collect()
}

#[test]
fn requests_that_shared_servers_with_a_crashing_one_are_not_quarantined() {
    for vms in [1, 8] {
        let mut pool = pool();
        pool.work_ms = 400;
        // 200 requests per second on six servers: 13 run beside the crashing request on any server,
        // and each of them is retried on a server that runs others of them.
        for step in 0..2_000_usize {
            pool.call(step % vms, "/plan/1", RequestFingerprint(10_000 + step as u64));
            if step % 100 == 0 {
                pool.call(step / 100 % vms, "/plan/1", CRASHING);
            }
            pool.run(5);
        }
        pool.run(3_000);
        assert_eq!(
            pool.crashes_under(CRASHING),
            CrashTracker::CRASHES,
            "the third crash identified the request"
        );
        let quarantined_requests = quarantined(&pool);
        assert!(
            quarantined_requests.iter().all(|fingerprint| *fingerprint == CRASHING),
            "{quarantined_requests:?}"
        );
    }
}

#[test]
fn two_crashing_requests_are_both_stopped() {
    const SECOND_CRASHING: RequestFingerprint = RequestFingerprint(0xdeae);
    let mut pool = pool();
    pool.crashing.insert(SECOND_CRASHING);
    let vms = pool.crowd.len();
    for step in 0..40 {
        pool.call(step % vms, "/plan/1", CRASHING);
        pool.call(step % vms, "/plan/1", SECOND_CRASHING);
        pool.run(500);
    }
    for crashing in [CRASHING, SECOND_CRASHING] {
        let later = pool.seen_after_crash(crashing, 3, CONTACT_TIME);
        assert!(later <= MAX_LATER_SENDS, "{crashing}: {later} sends after the third crash");
    }
}

#[test]
fn crashing_request_is_stopped_without_the_store() {
    let mut pool = pool();
    for vm in 0..pool.crowd.len() {
        pool.crowd.store_modes.insert(vm, gateway_crowd::StoreMode::Silent);
    }
    send_repeatedly(&mut pool, "/free/1", 20);
    assert_stopped(&pool);
}
