//! Rollouts of pool software: shares, evidence and records.

#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;

use gateway_world::*;
use guavapass::{
    gateway::*,
    ids::{Incarnation, Offset},
    units::Millis,
};

const DURATION_MS: u64 = 24_000;

fn order() -> RolloutOrder {
    RolloutOrder { pool: pool(ENGINES), target: "v2".into(), duration: Millis(DURATION_MS) }
}

/// Returns a gateway core that has read the stream of rollout states and learned of a rollout long
/// enough ago for the canary stage to take unknown sessions. The servers have room for all requests
/// of a test, as requests wait where a pool has too little.
fn world() -> GatewayFixture {
    const SLOTS: u32 = 1_000;
    let mut world = GatewayFixture::new();
    let old = (1..=3).map(|number| server(&format!("e{number}"), ENGINES, "v1"));
    let new = (1..=3).map(|number| server(&format!("n{number}"), ENGINES, "v2"));
    let servers = old.chain(new).map(|entry| said(ServerEntry { slots: SLOTS, ..entry }));
    world.page(StoreStream::Servers, servers.collect());
    world.page(StoreStream::Operators, vec![StoreRecord::Order(order())]);
    world.newest(StoreStream::Rollouts, Vec::new());
    run_with_store(&mut world, RolloutTrack::SETTLE_MS);
    world
}

fn is_new(world: &GatewayFixture, request: guavapass::ids::RequestNumber) -> bool {
    world.starts(request)[0].server.as_str().starts_with('n')
}

/// Returns the share of the sessions that run on the new version.
fn share(world: &mut GatewayFixture) -> f64 {
    let requests: Vec<_> = (0..1_000).map(|_| world.arrive("/plan/1")).collect();
    let share = requests.iter().filter(|request| is_new(world, **request)).count() as f64 / 1_000.0;
    for request in requests {
        world.began(request, 1, None);
        world.whole(request, 1, 200);
    }
    share
}

/// Lets time pass while the store accepts all appends.
fn run_with_store(world: &mut GatewayFixture, ms: u64) {
    for _ in 0..ms / 100 {
        let before = world.commands.len();
        world.advance_with_store(100);
        let appends: Vec<_> = world.commands[before..]
            .iter()
            .filter_map(|command| match command {
                GatewayCommand::Append { record, .. } => Some(record.clone()),
                _ => None,
            })
            .collect();
        for record in appends {
            let end = Offset(90);
            world.handle(GatewayEvent::Appended { record, result: Ok(end) });
        }
    }
}

/// Lets time pass while requests are answered: after `old_ms` by the old version and after `new_ms`
/// by the new one.
fn run_with_traffic(world: &mut GatewayFixture, ms: u64, old_ms: u64, new_ms: u64) {
    const STEP_MS: u64 = 100;
    let mut open: Vec<(guavapass::ids::RequestNumber, Millis)> = Vec::new();
    for _ in 0..ms / STEP_MS {
        for _ in 0..4 {
            let request = world.arrive("/plan/1");
            let takes = if is_new(world, request) { new_ms } else { old_ms };
            open.push((request, world.now + Millis(takes)));
        }
        run_with_store(world, STEP_MS);
        let now = world.now;
        for (request, _) in open.extract_if(.., |(_, ends)| *ends <= now) {
            world.began(request, 1, None);
            world.whole(request, 1, 200);
        }
    }
}

fn evidence(vm: &str, good: u32, bad: u32) -> StoreRecord {
    let (vm, incarnation, target) = (text(vm), Incarnation(1), "v2".into());
    StoreRecord::Evidence(EvidenceRecord {
        vm,
        incarnation,
        pool: pool(ENGINES),
        target,
        good,
        bad,
        old: AnswerCounts::default(),
        times: None,
    })
}

#[test]
fn share_stays_below_the_exposure_limit_then_increases() {
    let mut world = world();
    let canary_share = share(&mut world);
    assert!(
        canary_share > 0.0 && canary_share <= 0.15,
        "{canary_share} of the sessions in the canary stage"
    );
    run_with_traffic(&mut world, DURATION_MS / 2, 300, 300);
    let middle = share(&mut world);
    assert!(middle <= 0.15, "{middle} of the sessions in the middle");
    run_with_traffic(&mut world, DURATION_MS / 5, 300, 300);
    assert!((share(&mut world) - 1.0).abs() < 0.001);
}

#[test]
fn session_keeps_its_version_in_the_canary_stage() {
    let mut world = world();
    for number in 0..50 {
        let session = format!("session-{number}");
        let mut sides = Vec::new();
        for _ in 0..3 {
            let request = world.arrive_with("/plan/1", |arrival| {
                arrival.session = Some(session.as_str().into());
            });
            sides.push(is_new(&world, request));
            world.advance_with_store(1_000 / 10);
        }
        assert!(sides.windows(2).all(|pair| pair[0] == pair[1]), "{session}: {sides:?}");
    }
}

#[test]
fn bad_version_is_withdrawn() {
    let mut world = world();
    let mut bad = 0;
    while bad < 5 {
        let request = world.arrive("/plan/1");
        if is_new(&world, request) {
            world.broken(request, 1, None);
            bad += 1;
        }
    }
    world.advance_with_store(1_000);
    let appends = world.rollout_appends();
    assert!(appends.iter().any(|(state, at)| *state == RolloutState::Withdrawn && at.is_some()));
    assert!(share(&mut world) == 0.0);
}

#[test]
fn bad_version_is_withdrawn_by_evidence_of_other_vms() {
    let mut world = world();
    share(&mut world);
    world.page(StoreStream::Evidence, vec![evidence("front-2", 2, 1), evidence("front-3", 1, 1)]);
    world.advance_with_store(1_000);
    let is_withdrawn = |(state, _): &(RolloutState, _)| *state == RolloutState::Withdrawn;
    assert!(!world.rollout_appends().iter().any(is_withdrawn), "two bad answers may be chance");
    world.page(StoreStream::Evidence, vec![evidence("front-4", 30, 40)]);
    assert!(share(&mut world) == 0.0);
}

#[test]
fn few_failures_do_not_withdraw() {
    let mut world = world();
    world.page(StoreStream::Evidence, vec![evidence("front-2", 96, 4)]);
    assert!(share(&mut world) > 0.0);
}

#[test]
fn good_answers_are_reported_rarely() {
    let mut world = world();
    let reports = |world: &GatewayFixture| {
        let appends = world.commands.iter().filter(|command| {
            matches!(command, GatewayCommand::Append { record: StoreRecord::Evidence(_), .. })
        });
        appends.count()
    };
    share(&mut world);
    let good = reports(&world);
    assert!((1..=5).contains(&good), "good answers are reported in {good} records");
    let request = loop {
        let request = world.arrive("/plan/1");
        if is_new(&world, request) {
            break request;
        }
    };
    world.broken(request, 1, None);
    world.advance_with_store(1_000);
    assert_eq!(reports(&world), good + 1);
}

#[test]
fn good_version_is_completed_by_a_conditional_append() {
    let mut world = world();
    run_with_traffic(&mut world, DURATION_MS * 8 / 10, 300, 300);
    let is_completed = |(state, _): &(RolloutState, _)| *state == RolloutState::Completed;
    assert!(
        !world.rollout_appends().iter().any(is_completed),
        "old servers may still have open streams"
    );
    run_with_store(&mut world, DURATION_MS / 10);
    let completed = world.rollout_appends().into_iter().find(is_completed);
    assert!(completed.is_some_and(|(_, at)| at.is_some()), "the append is conditional");
}

#[test]
fn record_of_another_vm_is_applied() {
    let mut world = world();
    let state = RolloutState::Withdrawn;
    let record = RolloutRecord { pool: pool(ENGINES), target: "v2".into(), state, stage: 0 };
    world.page(StoreStream::Rollouts, vec![StoreRecord::Rollout(record.clone())]);
    assert!(share(&mut world) == 0.0);
    let later = RolloutRecord { state: RolloutState::Completed, ..record };
    world.page(StoreStream::Rollouts, vec![StoreRecord::Rollout(later)]);
    assert!(share(&mut world) == 0.0, "a final state does not change");
}

#[test]
fn failed_conditional_append_is_not_retried_before_a_read() {
    let mut world = world();
    world.advance_with_store(1_000);
    let record = StoreRecord::Rollout(RolloutRecord {
        pool: pool(ENGINES),
        target: "v2".into(),
        state: RolloutState::Running,
        stage: 0,
    });
    let appends = world.rollout_appends().len();
    let moved = Err(StoreError::Moved { end: Offset(99) });
    world.handle(GatewayEvent::Appended { record, result: moved });
    world.advance_with_store(3_000);
    assert_eq!(
        world.rollout_appends().len(),
        appends,
        "nothing is appended before the stream is read"
    );
}

#[test]
fn hub_reads_the_stream_before_it_appends_again() {
    let mut world = GatewayFixture::new();
    world.gateway.set_relay(card("front-1", "norte"), Vec::new());
    world.page(StoreStream::Operators, vec![StoreRecord::Order(order())]);
    world.newest(StoreStream::Rollouts, Vec::new());
    world.advance_with_store(1_000);
    let appends = world.rollout_appends().len();
    assert_eq!(appends, 1, "the record of the rollout's start");
    let record = StoreRecord::Rollout(RolloutRecord {
        pool: pool(ENGINES),
        target: "v2".into(),
        state: RolloutState::Running,
        stage: 0,
    });
    let moved = Err(StoreError::Moved { end: Offset(99) });
    world.handle(GatewayEvent::Appended { record, result: moved });
    world.advance_with_store(1_000);
    assert_eq!(
        world.rollout_appends().len(),
        appends,
        "nothing is appended before the stream is read"
    );
}

#[test]
fn rollout_stream_is_read_while_the_server_list_fails() {
    let mut world = GatewayFixture::new();
    let refused = || FeedAnswer::From(Err(StoreError::Refused { status: 503 }));
    world.handle(GatewayEvent::Read { stream: StoreStream::Servers, answer: refused() });
    world.commands.clear();
    world.page(StoreStream::Operators, vec![StoreRecord::Order(order())]);
    world.tick(10);
    let is_followed = |command: &GatewayCommand| match command {
        GatewayCommand::Read(FeedRead::Newest { stream, .. }) => *stream == StoreStream::Rollouts,
        _ => false,
    };
    assert!(world.commands.iter().any(is_followed));
}

#[test]
fn overload_of_both_versions_does_not_withdraw() {
    let mut world = world();
    let without_prompt = |arrival: &mut RoutedArrival| arrival.parts.clear();
    let mut slow_new_answers = 0;
    for _ in 0..60 {
        let requests = (0..12).map(|_| world.arrive_with("/plan/1", without_prompt));
        let requests: Vec<_> = requests.collect();
        let (slow, quick) = requests.split_at(3);
        for request in quick {
            world.began(*request, 1, None);
        }
        world.advance_with_store(600);
        for request in slow {
            world.began(*request, 1, None);
        }
        slow_new_answers += slow.iter().filter(|request| is_new(&world, **request)).count();
        for request in &requests {
            world.whole(*request, 1, 200);
        }
        world.commands.clear();
    }
    assert!(slow_new_answers >= 5, "{slow_new_answers} slow answers of the new version");
    world.advance_with_store(1_000);
    let is_withdrawn = |(state, _): &(RolloutState, _)| *state == RolloutState::Withdrawn;
    assert!(!world.rollout_appends().iter().any(is_withdrawn));
}

#[test]
fn vm_that_learns_late_applies_the_recorded_stage() {
    let mut world = world();
    let state = RolloutState::Running;
    let record = RolloutRecord { pool: pool(ENGINES), target: "v2".into(), state, stage: 3 };
    world.page(StoreStream::Rollouts, vec![StoreRecord::Rollout(record)]);
    assert!((share(&mut world) - 1.0).abs() < 0.001);
}

#[test]
fn share_is_not_increased_without_the_store() {
    let mut world = world();
    world.advance_with_store(DURATION_MS * 9 / 10);
    assert!(share(&mut world) <= 0.15, "the share is not increased without a record");
}

#[test]
fn evidence_of_good_answers_counts() {
    let mut world = world();
    let others = ["front-2", "front-3", "front-4"].map(|vm| evidence(vm, 30, 0));
    world.page(StoreStream::Evidence, others.into());
    world.page(StoreStream::Evidence, vec![evidence("front-5", 3, 5)]);
    assert!(share(&mut world) > 0.0, "5 of 98 answers are bad, though not at the VM that saw them");
}

#[test]
fn session_in_progress_stays_on_the_old_version_in_the_canary_stage() {
    let mut world = GatewayFixture::new();
    let call = |world: &mut GatewayFixture, number: u32| {
        let session = format!("session-{number}");
        let request = world.arrive_with("/plan/1", |arrival| {
            arrival.session = Some(session.into());
        });
        let is_new = is_new(world, request);
        world.began(request, 1, None);
        world.whole(request, 1, 200);
        is_new
    };
    for number in 0..200 {
        call(&mut world, number);
    }
    let servers = (1..=3).map(|number| said(server(&format!("n{number}"), ENGINES, "v2")));
    world.page(StoreStream::Servers, servers.collect());
    world.page(StoreStream::Operators, vec![StoreRecord::Order(order())]);
    world.newest(StoreStream::Rollouts, Vec::new());
    for _ in 0..3 {
        run_with_store(&mut world, 3_000);
        assert!((0..200).all(|number| !call(&mut world, number)), "they ran on the old version");
    }
    assert!((200..400).any(|number| call(&mut world, number)), "new sessions try the new version");
}

#[test]
fn session_on_the_new_version_does_not_switch_back() {
    let mut world = world();
    let ask = |world: &mut GatewayFixture, number: u32| {
        let session = format!("session-{number}");
        let request = world.arrive_with("/plan/1", |arrival| {
            arrival.session = Some(session.into());
        });
        (request, is_new(world, request))
    };
    let new: Vec<u32> = (0..300).filter(|number| ask(&mut world, *number).1).collect();
    assert!(!new.is_empty());
    assert!(new.iter().all(|number| ask(&mut world, *number).1));
}

#[test]
fn canary_share_of_a_large_pool_is_smaller() {
    let track = RolloutTrack::new(Millis(0), order());
    let shares = [9, 31, 60, 90].map(|servers| track.share(&bounds(), servers));
    assert!((shares[0] - shares[1]).abs() < 1e-9, "{shares:?}");
    assert!((shares[0] - 2.0 * shares[2]).abs() < 1e-9, "{shares:?}");
    assert!((shares[0] - 4.0 * shares[3]).abs() < 1e-9, "{shares:?}");
}

fn has_recorded(world: &GatewayFixture, wanted: RolloutState) -> bool {
    world.rollout_appends().iter().any(|(state, _)| *state == wanted)
}

#[test]
fn share_of_a_version_without_answers_is_not_increased() {
    let mut world = world();
    run_with_store(&mut world, DURATION_MS * 2);
    assert!(share(&mut world) <= 0.15, "there is no evidence for the version");
    assert!(!has_recorded(&world, RolloutState::Completed));
}

#[test]
fn slow_version_is_withdrawn() {
    for new_ms in [600, 900, 2_400] {
        let mut world = world();
        run_with_traffic(&mut world, DURATION_MS, 300, new_ms);
        assert!(has_recorded(&world, RolloutState::Withdrawn), "{new_ms} ms instead of 300");
        assert!(share(&mut world) == 0.0);
    }
}

#[test]
fn share_of_a_slow_version_is_not_increased() {
    let mut world = world();
    let mut seen = 0;
    for _ in 0..DURATION_MS / 1_000 {
        run_with_traffic(&mut world, 1_000, 300, 2_400);
        seen = seen.max(
            world
                .commands
                .iter()
                .filter(|command| match command {
                    GatewayCommand::Append { record: StoreRecord::Rollout(record), .. } => {
                        record.stage > 0
                    }
                    _ => false,
                })
                .count(),
        );
    }
    assert_eq!(seen, 0, "the share of a slow version must not be increased");
}

#[test]
fn version_whose_callers_disconnect_is_withdrawn() {
    let mut world = world();
    for _ in 0..DURATION_MS / 500 {
        let requests: Vec<_> = (0..20).map(|_| world.arrive("/plan/1")).collect();
        let (new, old): (Vec<_>, Vec<_>) =
            requests.into_iter().partition(|request| is_new(&world, *request));
        run_with_store(&mut world, 300);
        for request in old {
            world.began(request, 1, None);
            world.whole(request, 1, 200);
        }
        run_with_store(&mut world, 1_700);
        for request in new {
            world.handle(GatewayEvent::CallerGone { request });
        }
    }
    assert!(has_recorded(&world, RolloutState::Withdrawn), "none of them saw a first event");
}

#[test]
fn early_disconnects_do_not_count_against_a_version() {
    let mut world = world();
    for _ in 0..DURATION_MS / 500 {
        let requests: Vec<_> = (0..20).map(|_| world.arrive("/plan/1")).collect();
        run_with_store(&mut world, 100);
        for request in requests.iter().skip(10) {
            world.handle(GatewayEvent::CallerGone { request: *request });
        }
        run_with_store(&mut world, 400);
        for request in requests.iter().take(10) {
            world.began(*request, 1, None);
            world.whole(*request, 1, 200);
        }
    }
    assert!(!has_recorded(&world, RolloutState::Withdrawn));
    assert!(has_recorded(&world, RolloutState::Completed));
}

#[test]
fn good_version_is_completed_when_both_versions_are_overloaded() {
    let mut world = world();
    // The load rises in the middle of the canary stage and stays high.
    run_with_traffic(&mut world, DURATION_MS / 4, 300, 250);
    run_with_traffic(&mut world, DURATION_MS, 2_000, 1_800);
    assert!(!has_recorded(&world, RolloutState::Withdrawn));
    assert!(has_recorded(&world, RolloutState::Completed));
}

#[test]
fn latencies_of_other_data_centres_count() {
    let mut world = world();
    // This VM has only answers of the old version; other VMs report that the new one is slow.
    let requests: Vec<_> = (0..400).map(|_| world.arrive("/plan/1")).collect();
    run_with_store(&mut world, 300);
    for request in requests {
        if !is_new(&world, request) {
            world.began(request, 1, None);
            world.whole(request, 1, 200);
        }
    }
    let mut times = VersionLatencies::of_stage(0);
    for _ in 0..20 {
        let kind = WorkKind::of("plan", None, LatencyMeasure::First);
        times.add(VersionSide::New, kind, Millis(1_200));
    }
    let StoreRecord::Evidence(seen) = evidence("front-9", 20, 0) else { unreachable!() };
    let seen = EvidenceRecord { times: Some(times), ..seen };
    let poll = RelayPoll {
        evidence: vec![seen],
        ..RelayPoll::new(card("front-9", "sur"), PollPurpose::Loads)
    };
    let call = guavapass::ids::CallId(1);
    world.handle(GatewayEvent::Polled { call, poll: Box::new(poll) });
    run_with_store(&mut world, 500);
    assert!(has_recorded(&world, RolloutState::Withdrawn));
}

#[test]
fn cold_servers_do_not_count_against_a_version() {
    let mut world = GatewayFixture::new();
    let cold = |number| ServerEntry {
        cold: Millis(DURATION_MS),
        ..server(&format!("n{number}"), ENGINES, "v2")
    };
    world.page(StoreStream::Servers, (1..=3).map(|number| said(cold(number))).collect());
    world.page(StoreStream::Operators, vec![StoreRecord::Order(order())]);
    world.newest(StoreStream::Rollouts, Vec::new());
    run_with_store(&mut world, RolloutTrack::SETTLE_MS);
    run_with_traffic(&mut world, DURATION_MS / 2, 300, 900);
    assert!(!has_recorded(&world, RolloutState::Withdrawn));
}

#[test]
fn unproven_version_is_withdrawn_after_its_duration() {
    let mut world = world();
    run_with_store(&mut world, DURATION_MS * 9 / 10);
    assert!(!has_recorded(&world, RolloutState::Withdrawn));
    run_with_store(&mut world, DURATION_MS / 5);
    assert!(has_recorded(&world, RolloutState::Withdrawn));
}

#[test]
fn failures_are_compared_with_those_of_the_old_version_at_all_vms() {
    let mut world = world();
    // Two of ten answers of the old version fail at other VMs; this VM has seen none of them.
    let StoreRecord::Evidence(seen) = evidence("front-9", 20, 5) else { unreachable!() };
    let seen = EvidenceRecord { old: AnswerCounts { good: 400, bad: 100 }, ..seen };
    let poll = RelayPoll {
        evidence: vec![seen],
        ..RelayPoll::new(card("front-9", "sur"), PollPurpose::Loads)
    };
    let call = guavapass::ids::CallId(1);
    world.handle(GatewayEvent::Polled { call, poll: Box::new(poll) });
    run_with_store(&mut world, 500);
    assert!(
        !has_recorded(&world, RolloutState::Withdrawn),
        "5 bad answers of 25 are the same share"
    );
}

/// Lets the answers of the new version fail at this VM until it withdraws the version.
fn withdraw_locally(world: &mut GatewayFixture) {
    for _ in 0..400 {
        let request = world.arrive("/plan/1");
        if is_new(world, request) {
            world.broken(request, 1, None);
        }
    }
    world.tick(10);
}

fn state_record(state: RolloutState, stage_number: u8) -> StoreRecord {
    StoreRecord::Rollout(RolloutRecord {
        pool: pool(ENGINES),
        target: "v2".into(),
        state,
        stage: stage_number,
    })
}

#[test]
fn first_final_record_overrides_a_local_withdrawal() {
    let mut world = world();
    withdraw_locally(&mut world);
    assert!(share(&mut world) == 0.0);
    // The other VMs have completed the rollout, and the old servers stop.
    world.page(StoreStream::Rollouts, vec![state_record(RolloutState::Completed, 3)]);
    assert!((share(&mut world) - 1.0).abs() < 0.001);
}

#[test]
fn withdrawal_is_recorded_after_a_concurrent_stage_record() {
    let mut world = world();
    withdraw_locally(&mut world);
    world.commands.clear();
    world.handle(GatewayEvent::Appended {
        record: state_record(RolloutState::Withdrawn, 0),
        result: Err(StoreError::Moved { end: Offset(91) }),
    });
    world.page(StoreStream::Rollouts, vec![state_record(RolloutState::Running, 1)]);
    assert!(share(&mut world) == 0.0);
    world.advance_with_store(2_000);
    assert!(has_recorded(&world, RolloutState::Withdrawn));
}
