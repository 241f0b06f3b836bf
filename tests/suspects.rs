//! Tests of the detection of requests that crash every backend server that runs them: how many
//! servers such a request can crash before it is refused.

#[path = "common/once_cluster.rs"]
#[allow(dead_code)]
mod once_cluster;

use guavapass::{
    control::{RefusalCode, RunState},
    health::{CrashId, SuspectStatus, SuspectTable},
    ids::{AttemptId, RequestNumber},
    units::Millis,
};
use once_cluster::{Call, CallerAnswer, OnceCluster, Place};

const POISON_LABEL: u64 = 666;

fn cluster(vms: usize, zones: usize) -> OnceCluster {
    let mut cluster = OnceCluster::new(vms, zones, 40, 9);
    cluster.faults.crash_labels.insert(POISON_LABEL);
    cluster
}

/// Sends the request `times` times, each time through the next VM as soon as the previous request
/// is answered.
fn resend(cluster: &mut OnceCluster, times: usize) -> Vec<Place> {
    let mut places = Vec::new();
    for time in 0..times {
        let vm = time % cluster.nodes.len();
        let place = cluster.send(vm, &Call::status(POISON_LABEL));
        while !cluster.answers.contains_key(&place) {
            cluster.run(1);
        }
        places.push(place);
    }
    places
}

fn code(cluster: &OnceCluster, place: Place) -> (RefusalCode, RunState) {
    match &cluster.answers[&place] {
        CallerAnswer::Refused(refusal) => (refusal.code, refusal.run),
        answer => panic!("a refusal was expected, not {answer:?}"),
    }
}

#[test]
fn suspect_crashes_three_servers_with_9_vms() {
    let mut cluster = cluster(9, 4);
    let places = resend(&mut cluster, 30);
    assert_eq!(cluster.crashes.len(), 3);
    let last = *places.last().unwrap();
    assert_eq!(code(&cluster, last), (RefusalCode::Unprocessable, RunState::NotRun));
}

#[test]
fn suspect_crashes_three_servers_with_400_vms() {
    let mut cluster = cluster(400, 8);
    resend(&mut cluster, 12);
    assert_eq!(cluster.crashes.len(), 3);
}

#[test]
fn suspect_crashes_three_servers_on_each_side_of_a_partition() {
    let mut cluster = cluster(8, 4);
    cluster.cut = true;
    resend(&mut cluster, 40);
    assert_eq!(cluster.crashes.len(), 6);
}

#[test]
fn suspect_sent_to_all_vms_at_once() {
    let mut cluster = cluster(9, 4);
    for vm in 0..9 {
        cluster.send(vm, &Call::status(POISON_LABEL));
    }
    cluster.run(5_000);
    assert!(cluster.crashes.len() <= 27, "three for each VM: {}", cluster.crashes.len());
    let before = cluster.crashes.len();
    resend(&mut cluster, 20);
    assert_eq!(cluster.crashes.len(), before);
}

#[test]
fn suspect_notices_survive_message_loss() {
    let mut cluster = cluster(9, 4);
    cluster.drop_per_mille = 300;
    let first = cluster.send(0, &Call::status(POISON_LABEL));
    while !cluster.answers.contains_key(&first) {
        cluster.run(1);
    }
    cluster.run(2_000);
    cluster.drop_per_mille = 0;
    let before = cluster.crashes.len();
    resend(&mut cluster, 27);
    assert_eq!((before, cluster.crashes.len()), (3, 3));
}

#[test]
fn suspect_booking_with_different_keys() {
    let mut cluster = cluster(9, 4);
    for number in 0..9 {
        let key = cluster.key(number, 0);
        cluster.send(number as usize, &Call::booking(POISON_LABEL, &key));
        cluster.run(500);
    }
    assert_eq!(cluster.crashes.len(), 3);
    assert!(cluster.false_not_run.len() <= 6);
}

#[test]
fn other_requests_on_crashed_servers_are_answered() {
    let mut cluster = OnceCluster::new(3, 2, 4, 9);
    cluster.faults.crash_labels.insert(POISON_LABEL);
    let mut places = Vec::new();
    for label in 0..60 {
        places.push(cluster.send(label as usize % 3, &Call::status(label)));
        if label == 20 {
            cluster.send(0, &Call::status(POISON_LABEL));
        }
        cluster.run(2);
    }
    cluster.run(12_000);
    assert!(cluster.crashes.len() >= 2);
    let broken = places.iter().filter(|place| !cluster.is_whole(**place));
    let broken: Vec<_> = broken.map(|place| (place, &cluster.answers[place])).collect();
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn answered_request_is_cleared() {
    let mut table = SuspectTable::default();
    let crash = |number: u64| CrashId {
        request: format!("vm-1.1.{number}").parse().unwrap(),
        attempt: AttemptId(1),
    };
    let server = |number: u64| format!("server-{number}").parse().unwrap();
    table.crashed(Millis(1), 7, crash(1), &server(1));
    table.crashed(Millis(2), 7, crash(1), &server(1));
    assert_eq!(table.status(Millis(2), 7), SuspectStatus::Clear, "one crash, told twice");
    table.crashed(Millis(3), 7, crash(2), &server(2));
    assert_eq!(table.status(Millis(3), 7), SuspectStatus::Isolated);
    table.reserve(&server(3), RequestNumber(3));
    table.start_isolated_run(Millis(4), 7);
    assert_eq!(table.status(Millis(4), 7), SuspectStatus::Refused);
    assert_eq!(table.reserved_for(RequestNumber(3)), Some(&server(3)));
    table.reopen(Millis(5), 7, RequestNumber(3));
    assert_eq!(table.status(Millis(5), 7), SuspectStatus::Isolated);
    table.release_reserved(RequestNumber(3));
    table.cleared(Millis(5), 7);
    assert_eq!(table.status(Millis(5), 7), SuspectStatus::Clear);
    assert_eq!(table.reserved().count(), 0);
}
