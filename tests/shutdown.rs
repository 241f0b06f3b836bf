//! Tests of graceful shutdown in the core. The load balancer's lag is 200 ms.

#[path = "common/once_cluster.rs"]
#[allow(dead_code)]
mod once_cluster;

use guavapass::control::{RefusalCode, RunState};
use once_cluster::{Call, CallerAnswer, OnceCluster};

fn cluster(vms: usize) -> OnceCluster {
    OnceCluster::new(vms, 2, 3, 13)
}

#[test]
fn shutdown_accepts_requests_during_balancer_lag() {
    let mut cluster = cluster(3);
    cluster.shut_down(0);
    cluster.run(100);
    assert!(!cluster.nodes[0].control.as_ref().unwrap().is_ready());
    let during_lag = cluster.send(0, &Call::status(1));
    cluster.run(90);
    let near_end = cluster.send(0, &Call::status(2));
    cluster.run(20);
    cluster.run(5_000);
    assert!(cluster.is_whole(during_lag) && cluster.is_whole(near_end));
    assert!(cluster.nodes[0].stopped);
    assert_eq!(cluster.billed(), (2, 0));
}

#[test]
fn shutdown_refuses_requests_after_balancer_lag() {
    let mut cluster = cluster(3);
    cluster.send(0, &Call::status(1));
    cluster.shut_down(0);
    cluster.run(195);
    cluster.send(0, &Call::status(2));
    cluster.run(16);
    let late = cluster.send(0, &Call::status(3));
    cluster.run(5_000);
    match &cluster.answers[&late] {
        CallerAnswer::Refused(refusal) => {
            assert_eq!((refusal.code, refusal.run), (RefusalCode::Unavailable, RunState::NotRun));
        }
        answer => panic!("a refusal was expected, not {answer:?}"),
    }
}

/// VM 0 batches claims and is shut down while bookings are under way. All 60 must be answered, run
/// once and be billed.
#[test]
fn shutdown_of_batcher_under_bookings() {
    let mut cluster = cluster(3);
    let mut requests = Vec::new();
    for number in 0..60 {
        if number == 20 {
            cluster.shut_down(0);
        }
        let vm = if number < 25 { number as usize % 3 } else { 1 + number as usize % 2 };
        let key = cluster.key(number, 0);
        requests.push(cluster.send(vm, &Call::booking(number, &key)));
        cluster.run(20);
    }
    cluster.run(10_000);
    assert!(cluster.nodes[0].stopped);
    assert!(requests.iter().all(|request| cluster.is_whole(*request)), "{:?}", cluster.answers);
    assert!(cluster.runs.values().all(|runs| *runs == 1));
    assert_eq!(cluster.billed(), (60, 0));
}

/// A VM may end during an outage of the log if a peer has a copy of its bill, and that peer appends
/// it later.
#[test]
fn shutdown_leaves_bills_to_peers_while_log_is_down() {
    let mut cluster = cluster(3);
    cluster.log.down = true;
    cluster.send(0, &Call::status(1));
    cluster.run(100);
    cluster.shut_down(0);
    cluster.run(10_000);
    assert!(cluster.nodes[0].stopped);
    cluster.log.down = false;
    cluster.run(20_000);
    assert_eq!(cluster.billed(), (1, 0), "the peer with the copy appends the final bill");
}

/// A VM must not end while the log is down and no peer has a copy of its bill, even when told to
/// shut down again.
#[test]
fn shutdown_waits_if_bills_are_stored_nowhere() {
    let mut cluster = cluster(2);
    cluster.log.down = true;
    cluster.cut = true;
    cluster.run(5_000);
    let request = cluster.send(0, &Call::status(1));
    cluster.run(1_000);
    assert!(cluster.is_whole(request));
    cluster.shut_down(0);
    cluster.run(10_000);
    cluster.shut_down(0);
    cluster.run(1_000);
    assert!(!cluster.nodes[0].stopped, "a second shutdown order must not lose the bill");
    cluster.log.down = false;
    cluster.run(3_000);
    assert!(cluster.nodes[0].stopped);
    assert_eq!(cluster.billed(), (1, 0));
}

/// A claim whose request did not run is released before the VM ends, so that another VM can use the
/// key.
#[test]
fn shutdown_releases_unused_claims() {
    let mut cluster = cluster(3);
    cluster.faults.unreachable = 99;
    let key = cluster.key(1, 0);
    let call = Call { deadline: Some(guavapass::units::Millis(400)), ..Call::booking(1, &key) };
    let request = cluster.send(0, &call);
    cluster.run(20);
    cluster.shut_down(0);
    cluster.run(10_000);
    assert!(cluster.nodes[0].stopped);
    assert_eq!(cluster.run_state(request), Some(RunState::NotRun));
    cluster.faults.unreachable = 0;
    let again = cluster.send(1, &Call::booking(1, &key));
    cluster.run(2_000);
    assert!(cluster.is_whole(again), "{:?}", cluster.answers[&again]);
}
