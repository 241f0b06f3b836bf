//! Bills: the fold of the `bills` stream, the ledger, and billing in a cluster of entry VMs with
//! faults.

#[path = "common/once_cluster.rs"]
#[allow(dead_code)]
mod once_cluster;

use guavapass::{
    billing::*,
    control::{RefusalCode, RunState, TokenUsage, WorkTarget},
    ids::{AttemptId, Incarnation, Offset, RequestId, RequestNumber, VmId},
    peer::PeerName,
    ports::PlatformError,
    units::{Cost, Millis, Tokens},
};
use once_cluster::{Call, CallerAnswer, OnceCluster};
use proptest::prelude::*;

fn request(vm: &str, number: u64) -> RequestId {
    let (vm, number) = (vm.parse().unwrap(), RequestNumber(number));
    RequestId { vm, incarnation: Incarnation(1), number }
}

fn record(key: u64, by: u64, stage: BillStage) -> BillRecord {
    BillRecord {
        key: BillKey::of_request(&request("key", key)),
        request: request("vm-1", by),
        team: "crews".parse().unwrap(),
        subscriber: "ana".parse().unwrap(),
        opened: Millis(100),
        stage,
    }
}

fn open(key: u64, by: u64) -> BillRecord {
    let target = WorkTarget::Service("booking".parse().unwrap());
    record(key, by, BillStage::Open { target, estimate: Cost(2.0) })
}

fn closed(key: u64, by: u64, cost: f64) -> BillRecord {
    let part = BillPart {
        attempt: AttemptId(1),
        target: WorkTarget::Service("booking".parse().unwrap()),
        server: "server-1".parse().unwrap(),
        run: RunState::Ran,
        usage: TokenUsage { prompt: Tokens(3), output: Tokens(4) },
        cost: Cost(cost),
        charge: PartCharge::Charged,
    };
    record(key, by, BillStage::Final { cost: Cost(cost), parts: vec![part] })
}

fn total(fold: &BillFold, rule: UnsettledRule) -> TeamTotal {
    let report = BillReport::of(fold, rule, None, Millis(0));
    report.teams.values().next().copied().unwrap_or_default()
}

#[test]
fn fold_final_replaces_open() {
    let mut fold = BillFold::default();
    for bill in [closed(1, 1, 5.0), open(1, 1), open(1, 2)] {
        fold.add(bill);
    }
    let total = total(&fold, UnsettledRule::Estimate);
    assert_eq!((total.requests, total.unsettled, total.cost), (1, 0, Cost(5.0)));
    assert_eq!((total.prompt_tokens, total.output_tokens), (Tokens(3), Tokens(4)));
}

#[test]
fn fold_first_final_wins() {
    let mut fold = BillFold::default();
    for bill in [closed(1, 1, 5.0), closed(1, 2, 9.0)] {
        fold.add(bill);
    }
    assert_eq!(total(&fold, UnsettledRule::Estimate).cost, Cost(5.0));
}

#[test]
fn fold_void_cancels_open_of_same_request_only() {
    let mut fold = BillFold::default();
    for bill in [open(1, 1), record(1, 1, BillStage::Void)] {
        fold.add(bill);
    }
    assert_eq!(fold.bills().count(), 0);
    fold.add(open(1, 2));
    assert_eq!(total(&fold, UnsettledRule::Estimate).unsettled, 1);
}

#[test]
fn fold_unsettled_by_rule() {
    let mut fold = BillFold::default();
    fold.add(open(1, 1));
    assert_eq!(total(&fold, UnsettledRule::Estimate).cost, Cost(2.0));
    assert_eq!(total(&fold, UnsettledRule::Nothing).cost, Cost(0.0));
    assert_eq!(total(&fold, UnsettledRule::Nothing).unsettled, 1);
}

#[test]
fn report_by_team_and_time() {
    let mut fold = BillFold::default();
    fold.add(closed(1, 1, 5.0));
    let other = "others".parse().unwrap();
    let count = |team, since| {
        BillReport::of(&fold, UnsettledRule::Estimate, team, Millis(since)).teams.len()
    };
    assert_eq!((count(None, 100), count(None, 101), count(Some(&other), 0)), (1, 0, 0));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The same records give the same bills, whatever their order and however often they are
    /// repeated.
    #[test]
    fn fold_order_and_repetition(order in prop::collection::vec(0..6_usize, 0..40)) {
        let records = [
            open(1, 1), closed(1, 1, 5.0), open(2, 2), open(3, 3), record(3, 3, BillStage::Void),
            closed(4, 4, 7.0),
        ];
        let mut once = BillFold::default();
        let mut repeated = BillFold::default();
        records.iter().cloned().for_each(|bill| once.add(bill));
        for index in order {
            repeated.add(records[index].clone());
        }
        records.iter().rev().cloned().for_each(|bill| repeated.add(bill));
        let both = [once, repeated].map(|fold| total(&fold, UnsettledRule::Estimate));
        prop_assert_eq!(both[0], both[1]);
    }
}

fn replica() -> VmId {
    "vm-2".parse().unwrap()
}

fn peer(vm: &str) -> PeerName {
    PeerName { vm: vm.parse().unwrap(), incarnation: Incarnation(1) }
}

fn lost_append() -> Result<Offset, PlatformError> {
    Err(PlatformError::Lost { address: "log".into(), cause: "cut".into() })
}

#[test]
fn ledger_repeats_lost_append_oldest_first() {
    let mut ledger = BillLedger::default();
    for number in 1..=3 {
        ledger.open(open(number, number), Vec::new());
        ledger.close(RequestNumber(number), closed(number, number, 1.0).stage);
    }
    let first = ledger.due_actions(Millis(1_000), 1);
    ledger.on_appended(Millis(1_001), &lost_append());
    ledger.open(open(4, 4), Vec::new());
    ledger.close(RequestNumber(4), closed(4, 4, 1.0).stage);
    let second = ledger.due_actions(Millis(2_000), 1);
    let batch = |actions: &[BillAction]| match actions {
        [BillAction::Append(bytes), ..] => rmp_serde::from_slice::<Vec<BillRecord>>(bytes).unwrap(),
        other => panic!("expected an append first, got {other:?}"),
    };
    let (first, second) = (batch(&first), batch(&second));
    assert_eq!(first, second[..3]);
    assert_eq!(second.len(), 4);
    ledger.on_appended(Millis(2_001), &Ok(Offset(0)));
    assert_eq!((ledger.unsettled_count(), ledger.memory_usage().0.0), (0, 0));
}

#[test]
fn ledger_drains_faster_than_it_fills() {
    const BILLS_A_SECOND: u64 = 8_000;
    const TICK_MS: u64 = 10;
    let mut ledger = BillLedger::default();
    let mut appends = 0;
    for tick in 0..500 {
        for number in 0..BILLS_A_SECOND * TICK_MS / 1_000 {
            let number = tick * BILLS_A_SECOND + number;
            ledger.open(open(number, number), Vec::new());
            ledger.close(RequestNumber(number), closed(number, number, 1.0).stage);
        }
        let now = Millis(1_000 + tick * TICK_MS);
        let actions = ledger.due_actions(now, 1);
        if actions.iter().any(|action| matches!(action, BillAction::Append(_))) {
            appends += 1;
            ledger.on_appended(now, &Ok(Offset(appends)));
        }
    }
    assert!(
        ledger.unsettled_count() < 400,
        "{} bills still wait for an append",
        ledger.unsettled_count()
    );
    assert!(appends <= 5 * 40, "{appends} appends in 5 s");
}

#[test]
fn ledger_full_drops_nothing() {
    let mut ledger = BillLedger::default();
    let mut count = 0;
    while !ledger.is_full() {
        count += 1;
        ledger.open(open(count, count), Vec::new());
        ledger.close(RequestNumber(count), closed(count, count, 1.0).stage);
    }
    assert_eq!(ledger.unsettled_count() as u64, count);
    assert!(ledger.get(RequestNumber(1)).is_some());
    assert!(ledger.memory_usage().0.0 >= BillLedger::OWN_LIMIT_BYTES);
}

#[test]
fn ledger_resends_until_kept() {
    let mut ledger = BillLedger::default();
    ledger.open(open(1, 1), vec![replica()]);
    let sends = |ledger: &mut BillLedger, now| {
        let is_keep =
            |action: &BillAction| matches!(action, BillAction::Send(_, BillMessage::Keep(_)));
        ledger.due_actions(Millis(now), 2).iter().filter(|action| is_keep(action)).count()
    };
    assert_eq!((sends(&mut ledger, 1), sends(&mut ledger, 2)), (1, 0));
    assert_eq!(sends(&mut ledger, 1_500), 1);
    let kept = BillMessage::Kept { open: vec![RequestNumber(1)], closed: Vec::new() };
    ledger.on_message(&peer("vm-2"), &kept);
    assert_eq!(sends(&mut ledger, 9_000), 0);
    assert!(ledger.is_replicated(RequestNumber(1)));
    ledger.close(RequestNumber(1), closed(1, 1, 1.0).stage);
    assert!(
        !ledger.is_replicated(RequestNumber(1)),
        "a confirmed open copy does not confirm the closed bill"
    );
    ledger.on_message(&peer("vm-2"), &kept);
    assert!(
        !ledger.is_replicated(RequestNumber(1)),
        "a late confirmation of the open copy does not confirm the closed bill"
    );
}

#[test]
fn ledger_ignores_late_open_copy() {
    let mut ledger = BillLedger::default();
    let origin = peer("vm-1");
    ledger.on_message(&origin, &BillMessage::Keep(vec![closed(1, 1, 1.0)]));
    ledger.on_message(&origin, &BillMessage::Keep(vec![open(1, 1)]));
    ledger.adopt(|_| true);
    let actions = ledger.due_actions(Millis(1_000), 1);
    let Some(BillAction::Append(bytes)) = actions.first() else { panic!("{actions:?}") };
    let batch: Vec<BillRecord> = rmp_serde::from_slice(bytes).unwrap();
    assert!(batch.len() == 1 && batch[0].is_closed());
}

#[test]
fn ledger_drops_settled_copies_after_report() {
    let (mut origin, mut replica) = (BillLedger::default(), BillLedger::default());
    replica.on_message(&peer("vm-1"), &BillMessage::Keep(vec![open(1, 1)]));
    let review = replica.due_actions(Millis(60_000), 2);
    let Some(BillAction::Send(_, holding)) = review.first() else { panic!("{review:?}") };
    let Some(BillAction::Send(_, settled)) = origin.on_message(&peer("vm-2"), holding) else {
        panic!("the origin must answer");
    };
    replica.on_message(&peer("vm-1"), &settled);
    assert_eq!(replica.memory_usage().1.0, 0);
}

#[test]
fn bills_survive_killed_vm() {
    let mut cluster = OnceCluster::new(4, 2, 3, 5);
    for label in 0..200 {
        cluster.send(label as usize % 4, &Call::status(label));
        cluster.run(3);
    }
    cluster.kill(1);
    cluster.run(40_000);
    let (billed, unsettled) = cluster.billed();
    assert_eq!(billed, cluster.runs.len() as u64);
    assert!(unsettled > 0, "requests were running at the killed VM");
}

#[test]
fn bills_wait_for_log() {
    let mut cluster = OnceCluster::new(3, 2, 3, 5);
    cluster.log.down = true;
    for label in 0..100 {
        cluster.send(label as usize % 3, &Call::status(label));
        cluster.run(5);
    }
    cluster.run(20_000);
    assert_eq!(cluster.billed(), (0, 0));
    cluster.log.down = false;
    cluster.run(10_000);
    assert_eq!(cluster.billed(), (100, 0));
    assert_eq!(cluster.report().teams.values().next().unwrap().cost, Cost(100.0));
}

#[test]
fn bills_with_lost_appends_and_messages() {
    let mut cluster = OnceCluster::new(3, 2, 3, 5);
    cluster.drop_per_mille = 300;
    cluster.duplicate_per_mille = 300;
    for label in 0..100 {
        cluster.log.lose_next = u32::from(label % 3 == 0);
        cluster.send(label as usize % 3, &Call::status(label));
        cluster.run(20);
    }
    cluster.run(20_000);
    assert_eq!(cluster.billed(), (100, 0));
}

#[test]
fn bills_retried_request_is_one_bill() {
    let mut cluster = OnceCluster::new(3, 2, 3, 5);
    cluster.faults.lose_answers = 1;
    let place = cluster.send(0, &Call::status(1));
    cluster.run(5_000);
    assert!(cluster.is_whole(place));
    assert_eq!((cluster.runs[&1], cluster.billed()), (2, (1, 0)));
    let fold = cluster.bills();
    let (_, BillState::Settled(bill)) = fold.bills().next().unwrap() else { panic!("settled") };
    let BillStage::Final { cost, parts } = &bill.stage else { panic!("final") };
    let charges: Vec<PartCharge> = parts.iter().map(|part| part.charge).collect();
    assert_eq!((charges, *cost), (vec![PartCharge::Free, PartCharge::Charged], Cost(1.0)));
}

#[test]
fn bills_refused_request_has_none() {
    let mut cluster = OnceCluster::new(3, 2, 3, 5);
    cluster.faults.unreachable = 99;
    let call = Call { deadline: Some(Millis(500)), ..Call::status(1) };
    let place = cluster.send(0, &call);
    cluster.run(10_000);
    let CallerAnswer::Refused(refusal) = &cluster.answers[&place] else { panic!("refused") };
    assert_eq!((refusal.code, refusal.run), (RefusalCode::BadGateway, RunState::NotRun));
    cluster.kill(0);
    cluster.run(20_000);
    assert_eq!(cluster.billed(), (0, 0));
}

#[test]
fn bills_of_cut_off_vm_go_to_log_first() {
    let mut cluster = OnceCluster::new(2, 2, 3, 5);
    cluster.cut = true;
    let call = Call::status(1);
    cluster.send(0, &call);
    while cluster.runs.is_empty() {
        cluster.run(1);
    }
    cluster.kill(0);
    cluster.cut = false;
    cluster.run(20_000);
    assert_eq!(cluster.billed(), (1, 1));
}

#[test]
fn bills_of_long_cut_off_vm_go_to_log_first() {
    let mut cluster = OnceCluster::new(2, 2, 3, 5);
    cluster.cut = true;
    cluster.run(10_000);
    cluster.send(0, &Call::status(1));
    while cluster.runs.is_empty() {
        cluster.run(1);
    }
    cluster.kill(0);
    cluster.cut = false;
    cluster.run(20_000);
    assert_eq!(cluster.billed(), (1, 1));
}

#[test]
fn bills_survive_killed_vm_while_log_is_down() {
    let mut cluster = OnceCluster::new(4, 2, 3, 5);
    cluster.log.down = true;
    for label in 0..200 {
        cluster.send(label as usize % 4, &Call::status(label));
        cluster.run(3);
    }
    cluster.kill(1);
    cluster.run(20_000);
    cluster.log.down = false;
    cluster.run(20_000);
    assert_eq!(cluster.billed().0, cluster.runs.len() as u64);
}

#[test]
fn bills_closed_at_silent_replica_go_to_the_other() {
    let mut ledger = BillLedger::default();
    let other: VmId = "vm-3".parse().unwrap();
    ledger.open(open(1, 1), vec![replica(), other.clone()]);
    ledger.due_actions(Millis(1), 3);
    let kept = BillMessage::Kept { open: vec![RequestNumber(1)], closed: Vec::new() };
    ledger.on_message(&peer("vm-2"), &kept);
    ledger.close(RequestNumber(1), closed(1, 1, 1.0).stage);
    let sent = |actions: Vec<BillAction>| -> Vec<(VmId, BillMessage)> {
        let send = |action| match action {
            BillAction::Send(to, message) => Some((to, message)),
            BillAction::Append(_) => None,
        };
        actions.into_iter().filter_map(send).collect()
    };
    let first = sent(ledger.due_actions(Millis(2), 3));
    assert!(matches!(&first[..], [(to, BillMessage::Close(_))] if *to == replica()), "{first:?}");
    let again = sent(ledger.due_actions(Millis(2_000), 3));
    let whole = |to: &VmId| {
        again.iter().any(|(vm, message)| vm == to && matches!(message, BillMessage::Keep(_)))
    };
    assert!(whole(&replica()) && whole(&other), "{again:?}");
}

#[test]
fn charge_hedge_that_lost_is_free() {
    let outcome = |is_released| AttemptOutcomeSummary {
        step: 0,
        is_whole: true,
        is_released,
        has_produced: true,
    };
    let charges = AttemptOutcomeSummary::charges(&[outcome(false), outcome(true)]);
    assert_eq!(charges, [PartCharge::Free, PartCharge::Charged]);
}

#[test]
fn charge_each_decided_step_once() {
    let outcome = |step, is_whole, is_released| AttemptOutcomeSummary {
        step,
        is_whole,
        is_released,
        has_produced: is_whole,
    };
    let outcomes = [
        outcome(0, false, false),
        outcome(0, true, false),
        outcome(0, true, false),
        outcome(1, true, true),
    ];
    let expected = [PartCharge::Free, PartCharge::Charged, PartCharge::Free, PartCharge::Charged];
    assert_eq!(AttemptOutcomeSummary::charges(&outcomes), expected);
}

#[test]
fn charge_released_part_of_a_stream() {
    let outcomes =
        [AttemptOutcomeSummary { step: 0, is_whole: false, is_released: true, has_produced: true }];
    assert_eq!(AttemptOutcomeSummary::charges(&outcomes), [PartCharge::Charged]);
}
