//! Requests that may run at most once, in a cluster of entry VMs with one fault at a time.

#[path = "common/once_cluster.rs"]
#[allow(dead_code)]
mod once_cluster;

use guavapass::{
    control::{RefusalCode, RunState},
    units::Millis,
};
use once_cluster::{Call, CallerAnswer, OnceCluster};

const SEED: u64 = 11;

fn cluster() -> OnceCluster {
    OnceCluster::new(3, 2, 2, SEED)
}

fn refusal(cluster: &OnceCluster, place: once_cluster::Place) -> (RefusalCode, RunState) {
    match &cluster.answers[&place] {
        CallerAnswer::Refused(refusal) => (refusal.code, refusal.run),
        answer => panic!("expected a refusal, got {answer:?}"),
    }
}

#[test]
fn claim_runs_and_bills_once() {
    let mut cluster = cluster();
    let key = cluster.key(1, 0);
    let place = cluster.send(0, &Call::booking(1, &key));
    cluster.run(3_000);
    assert!(cluster.is_whole(place), "{:?}", cluster.answers);
    assert_eq!(cluster.runs[&1], 1);
    assert_eq!(cluster.billed(), (1, 0));
}

#[test]
fn claim_without_key() {
    let mut cluster = cluster();
    let call = Call { key: None, ..Call::booking(1, "") };
    let place = cluster.send(0, &call);
    cluster.run(100);
    assert_eq!(refusal(&cluster, place), (RefusalCode::BadRequest, RunState::NotRun));
}

#[test]
fn claim_resend_at_same_vm() {
    let mut cluster = cluster();
    let call = Call::booking(1, &cluster.key(1, 0));
    let first = cluster.send(0, &call);
    cluster.run(15);
    let joined = cluster.send(0, &call);
    cluster.run(200);
    let later = cluster.send(0, &call);
    cluster.run(200);
    assert!([first, joined, later].iter().all(|place| cluster.is_whole(*place)));
    assert_eq!(cluster.runs[&1], 1);
}

#[test]
fn claim_resend_at_other_vm() {
    let mut cluster = cluster();
    let call = Call::booking(1, &cluster.key(1, 0));
    let places = [0, 1, 2, 1].map(|vm| {
        let place = cluster.send(vm, &call);
        cluster.run(12);
        place
    });
    cluster.run(1_000);
    assert!(places.iter().all(|place| cluster.is_whole(*place)), "{:?}", cluster.answers);
    assert_eq!(cluster.runs[&1], 1);
}

#[test]
fn claim_other_body() {
    let mut cluster = cluster();
    let key = cluster.key(1, 0);
    cluster.send(0, &Call::booking(1, &key));
    cluster.run(300);
    let same = cluster.send(0, &Call::booking(2, &key));
    let other = cluster.send(1, &Call::booking(3, &key));
    cluster.run(500);
    assert_eq!(refusal(&cluster, same), (RefusalCode::Unprocessable, RunState::NotRun));
    assert_eq!(refusal(&cluster, other), (RefusalCode::Unprocessable, RunState::NotRun));
}

#[test]
fn claim_outside_window() {
    let mut cluster = cluster();
    let old = cluster.send(0, &Call::booking(1, &cluster.key(1, 31 * 60 * 1_000)));
    cluster.run(100);
    assert_eq!(refusal(&cluster, old), (RefusalCode::Unprocessable, RunState::Unknown));
    assert!(cluster.runs.is_empty());
}

#[test]
fn claim_append_answer_lost() {
    let mut cluster = cluster();
    let call = Call::booking(1, &cluster.key(1, 0));
    cluster.log.lose_next = 2;
    let first = cluster.send(0, &call);
    let second = cluster.send(1, &call);
    cluster.run(2_000);
    assert!(cluster.is_whole(first) && cluster.is_whole(second), "{:?}", cluster.answers);
    assert_eq!(cluster.runs[&1], 1);
}

#[test]
fn claim_log_down_is_unknown_and_ticket_works() {
    let mut cluster = cluster();
    let call = Call::booking(1, &cluster.key(1, 0));
    let first = cluster.send(0, &call);
    cluster.run(300);
    assert!(cluster.is_whole(first));
    cluster.log.down = true;
    cluster.run(100);
    let fresh = cluster.send(1, &Call::booking(2, &cluster.key(2, 0)));
    cluster.run(1_000);
    assert_eq!(refusal(&cluster, fresh), (RefusalCode::Unavailable, RunState::Unknown));
    let ticket = cluster.ticket(1).unwrap();
    let booked = cluster.send(1, &Call::booking(3, &ticket));
    cluster.run(500);
    assert!(cluster.is_whole(booked), "{:?}", cluster.answers[&booked]);
    cluster.log.down = false;
    let again = cluster.send(2, &Call::booking(2, &cluster.key(2, 1_600)));
    cluster.run(2_000);
    assert!(cluster.is_whole(again), "{:?}", cluster.answers[&again]);
    assert!(cluster.false_not_run.is_empty());
}

#[test]
fn claim_released_when_not_run() {
    let mut cluster = cluster();
    let call = Call::booking(1, &cluster.key(1, 0));
    cluster.faults.unreachable = 9;
    let first = cluster.send(0, &Call { deadline: Some(Millis(1_000)), ..call.clone() });
    cluster.run(1_500);
    assert_eq!(cluster.run_state(first), Some(RunState::NotRun));
    cluster.faults.unreachable = 0;
    cluster.run(15_000);
    let second = cluster.send(1, &call);
    cluster.run(1_000);
    assert!(cluster.is_whole(second), "{:?}", cluster.answers[&second]);
    assert_eq!(cluster.runs[&1], 1);
    cluster.run(3_000);
    assert_eq!(cluster.billed(), (1, 0));
}

#[test]
fn claim_claimant_killed() {
    let mut cluster = cluster();
    let call = Call::booking(1, &cluster.key(1, 0));
    cluster.send(0, &call);
    while cluster.runs.is_empty() {
        cluster.run(1);
    }
    cluster.kill(0);
    let second = cluster.send(1, &call);
    cluster.run(12_000);
    assert_eq!(cluster.run_state(second), Some(RunState::Unknown));
    assert_eq!(cluster.runs[&1], 1);
    cluster.run(10_000);
    assert_eq!(cluster.billed(), (1, 1), "the bill is unsettled: a peer adopted the open copy");
}

#[test]
fn claim_claimant_paused() {
    let mut cluster = cluster();
    let call = Call::booking(1, &cluster.key(1, 0));
    cluster.send(0, &call);
    cluster.run(2);
    cluster.pause(0);
    let second = cluster.send(1, &call);
    cluster.run(8_000);
    cluster.resume(0);
    cluster.run(8_000);
    assert!(cluster.most_runs() <= 1, "{:?}", cluster.runs);
    assert!(cluster.answers.contains_key(&second));
    assert!(cluster.false_not_run.is_empty());
}

#[test]
fn claim_lost_answer_is_unknown() {
    let mut cluster = cluster();
    let call = Call::booking(1, &cluster.key(1, 0));
    cluster.faults.lose_answers = 1;
    let first = cluster.send(0, &call);
    cluster.run(200);
    let second = cluster.send(1, &call);
    cluster.run(500);
    assert_eq!(cluster.run_state(first), Some(RunState::Unknown));
    assert_eq!(cluster.run_state(second), Some(RunState::Unknown));
    assert_eq!(cluster.runs[&1], 1);
    cluster.run(3_000);
    assert_eq!(cluster.billed(), (1, 1));
}

#[test]
fn claim_caller_gone_comes_back() {
    let mut cluster = cluster();
    let call = Call::booking(1, &cluster.key(1, 0));
    let first = cluster.send(0, &call);
    while cluster.runs.is_empty() {
        cluster.run(1);
    }
    cluster.caller_gone(first);
    cluster.run(2);
    let second = cluster.send(2, &call);
    cluster.run(1_000);
    assert!(cluster.is_whole(second), "{:?}", cluster.answers[&second]);
    assert_eq!(cluster.runs[&1], 1);
}

#[test]
fn claim_messages_duplicated_and_late() {
    let mut cluster = cluster();
    let call = Call::booking(1, &cluster.key(1, 0));
    cluster.duplicate_per_mille = 1_000;
    let places = [0, 1, 2].map(|vm| cluster.send(vm, &call));
    cluster.run(2_000);
    assert!(places.iter().all(|place| cluster.is_whole(*place)));
    assert_eq!(cluster.runs[&1], 1);
}

#[test]
fn ticket_resend_at_other_vm() {
    let mut cluster = cluster();
    let ticket = cluster.ticket(0).unwrap();
    let call = Call::booking(1, &ticket);
    let places = [1, 0, 2].map(|vm| {
        let place = cluster.send(vm, &call);
        cluster.run(10);
        place
    });
    cluster.run(500);
    assert!(places.iter().all(|place| cluster.is_whole(*place)), "{:?}", cluster.answers);
    assert_eq!(cluster.runs[&1], 1);
    cluster.run(3_000);
    assert_eq!(cluster.billed(), (1, 0));
}

#[test]
fn ticket_issuer_replaced() {
    let mut cluster = cluster();
    let ticket = cluster.ticket(0).unwrap();
    cluster.kill(0);
    cluster.restart(0);
    cluster.run(3_000);
    let at_other = cluster.send(1, &Call::booking(1, &ticket));
    let at_new = cluster.send(0, &Call::booking(1, &ticket));
    cluster.run(500);
    assert_eq!(cluster.run_state(at_other), Some(RunState::Unknown));
    assert_eq!(cluster.run_state(at_new), Some(RunState::Unknown));
    assert!(cluster.runs.is_empty());
}

#[test]
fn ticket_forged() {
    let mut cluster = cluster();
    let mut ticket = cluster.ticket(0).unwrap();
    let last = if ticket.pop() == Some('0') { '1' } else { '0' };
    ticket.push(last);
    let place = cluster.send(0, &Call::booking(1, &ticket));
    cluster.run(100);
    assert_eq!(refusal(&cluster, place).0, RefusalCode::Unprocessable);
    assert!(cluster.runs.is_empty());
}

#[test]
fn ticket_not_run_may_be_used_again() {
    let mut cluster = cluster();
    let ticket = cluster.ticket(0).unwrap();
    cluster.faults.unreachable = 9;
    let call = Call { deadline: Some(Millis(1_000)), ..Call::booking(1, &ticket) };
    let first = cluster.send(0, &call);
    cluster.run(1_500);
    assert_eq!(cluster.run_state(first), Some(RunState::NotRun));
    cluster.faults.unreachable = 0;
    cluster.run(15_000);
    let second = cluster.send(0, &Call::booking(1, &ticket));
    cluster.run(500);
    assert!(cluster.is_whole(second), "{:?}", cluster.answers[&second]);
}

#[test]
fn ticket_cut_off_data_centre() {
    let mut cluster = OnceCluster::new(4, 2, 2, SEED);
    cluster.cut = true;
    cluster.log.down = true;
    cluster.run(5_000);
    let ticket = cluster.ticket(2).unwrap();
    let there = cluster.send(2, &Call::booking(1, &ticket));
    let across = cluster.send(1, &Call::booking(1, &ticket));
    cluster.run(500);
    assert!(cluster.is_whole(there));
    assert_eq!(cluster.run_state(across), Some(RunState::Unknown));
    cluster.cut = false;
    cluster.log.down = false;
    cluster.run(5_000);
    let later = cluster.send(1, &Call::booking(1, &ticket));
    cluster.run(500);
    assert!(cluster.is_whole(later));
    assert_eq!(cluster.billed(), (1, 0));
}

#[test]
fn refusal_before_claim_is_unknown() {
    let mut cluster = cluster();
    let call = Call::booking(1, &cluster.key(1, 0));
    cluster.send(0, &call);
    cluster.run(300);
    cluster.shut_down(1);
    cluster.run(300);
    let late = cluster.send(1, &call);
    cluster.run(100);
    assert!(cluster.run_state(late).is_none_or(|run| run == RunState::Unknown));
    assert!(cluster.false_not_run.is_empty());
    let short = Call { deadline: Some(Millis(1)), ..call };
    let expired = cluster.send(2, &short);
    cluster.run(100);
    assert!(cluster.run_state(expired).is_none_or(|run| run != RunState::NotRun));
    assert!(cluster.false_not_run.is_empty(), "{:?}", cluster.false_not_run);
}
