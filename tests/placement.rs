//! Placement of versions in a simulated cluster with faults: the lease, the plan and the orders.

#[path = "support/placement_world.rs"]
mod placement_world;

use guavapass::{
    configuration::{ConfigurationDocument, FenceRule, RolloutPlan, RolloutStage, VersionState},
    ids::Fence,
    units::Share,
};
use placement_world::{World, document, version};
use proptest::{prelude::*, test_runner::RngSeed};

const DOCUMENT: &str = r#"{
    "schema": 1,
    "pools": { "planning": {
        "kind": "engine", "slots": 4, "long_slots": 2, "progress_timeout_ms": 5000,
        "memory_bytes": 200, "loads_per_minute": 60, "fence_rule": "refuses"
    } },
    "models": { "planner": { "stable": "1", "versions": {
        "1": {
            "pool": "planning", "cost_per_million_prompt_tokens": 1.0, "memory_bytes": 100,
            "cost_per_million_output_tokens": 4.0, "prior_quality": 0.9,
            "first_token_ms": 100, "stream_rate": 50.0
        },
        "2": {
            "pool": "planning", "cost_per_million_prompt_tokens": 5.0, "memory_bytes": 100,
            "cost_per_million_output_tokens": 20.0, "prior_quality": 0.95,
            "first_token_ms": 100, "stream_rate": 50.0
        },
        "3": {
            "pool": "planning", "cost_per_million_prompt_tokens": 5.0, "memory_bytes": 100,
            "cost_per_million_output_tokens": 20.0, "prior_quality": 0.95,
            "first_token_ms": 100, "stream_rate": 50.0
        }
    } } },
    "teams": { "crews": {
        "keys": [{ "subscriber": "ana", "sha256": "KEY" }],
        "allowed": ["planner"], "quality_target": 0.85, "deadline_ms": 10000
    } },
    "presets": { "ordinary": {} },
    "preset": "ordinary"
}"#;

/// More VMs than may acquire the lease of a pool.
const VMS: usize = 5;
const SETTLE_MS: u64 = 600_000;

fn base(rule: FenceRule) -> ConfigurationDocument {
    let mut document = document(DOCUMENT);
    document.pools.get_mut(&"planning".parse().unwrap()).unwrap().fence_rule = rule;
    document
}

fn with_rollout(
    mut document: ConfigurationDocument,
    to: &str,
    share: f64,
) -> ConfigurationDocument {
    let share = Share::new(share).unwrap();
    let model = document.models.get_mut(&"planner".parse().unwrap()).unwrap();
    model.rollout = Some(RolloutPlan {
        to: to.into(),
        stages: vec![RolloutStage { share, min_ratings: 1 }],
        stage: 0,
        exposure_cap: 100,
    });
    document
}

fn without(mut document: ConfigurationDocument, name: &str) -> ConfigurationDocument {
    let model = document.models.get_mut(&"planner".parse().unwrap()).unwrap();
    model.rollout = None;
    model.versions.get_mut(name).unwrap().state = VersionState::Withdrawn;
    document
}

/// Returns a pool of six engines, all of which have version 1 loaded and no other version.
fn world(rule: FenceRule) -> World {
    let mut world = World::new(VMS, 6, rule, base(rule));
    world.preload(0..6, "planner@1");
    world
}

fn is_settled(world: &World) -> bool {
    let document = world.document();
    let wanted = |name: &str, live: usize| match &document.models.values().next().unwrap() {
        model if model.versions[name].state == VersionState::Withdrawn => 0,
        model if model.rollout.as_ref().is_some_and(|plan| plan.to == name) => live,
        _ => 1,
    };
    let share = document.models.values().next().unwrap().rollout.as_ref();
    let staged = share.map_or(1, |plan| (plan.stages[0].share.get() * 6.0).ceil() as usize);
    ["1", "2", "3"].iter().all(|name| {
        let copies = world.copies(&format!("planner@{name}"));
        let least = wanted(name, staged);
        if least == 0 { copies == 0 } else { copies >= least }
    })
}

#[test]
fn orders_load_every_live_version() {
    let mut world = world(FenceRule::Refuses);
    world.run_until(SETTLE_MS, is_settled).expect("every version is loaded");
    assert_eq!(world.last_copies_lost, []);
    world.assert_fenced();
}

#[test]
fn rest_needs_no_order_and_no_append() {
    let mut world = world(FenceRule::Refuses);
    world.run_until(SETTLE_MS, is_settled).unwrap();
    world.run(120_000);
    let (orders, appends) = (world.orders, world.appends);
    world.run(600_000);
    assert_eq!((world.orders, world.appends), (orders, appends));
    assert_eq!(world.holder(), None);
}

#[test]
fn rollout_loads_its_share() {
    let mut world = world(FenceRule::Refuses);
    world.run_until(SETTLE_MS, is_settled).unwrap();
    world.publish(with_rollout(base(FenceRule::Refuses), "2", 0.5));
    world
        .run_until(SETTLE_MS, |world| world.copies("planner@2") >= 3)
        .expect("half of the engines load version 2");
}

#[test]
fn withdrawn_version_is_unloaded_after_its_requests() {
    for vm in 0..VMS {
        let mut world = world(FenceRule::Refuses);
        world.run_until(SETTLE_MS, is_settled).unwrap();
        world.run(2_000);
        world.run_ms = 40_000;
        world.ask(vm, "planner@2");
        world.run(500);
        assert_eq!(world.started, 1);
        world.publish(without(base(FenceRule::Refuses), "2"));
        world.run_until(SETTLE_MS, is_settled).expect("version 2 is unloaded");
        assert_eq!(world.failed_requests, 0);
        assert_eq!(world.answered, 1);
    }
}

#[test]
fn withdrawn_while_loading() {
    let mut world = world(FenceRule::Refuses);
    world.load_ms = 60_000;
    world.run_until(SETTLE_MS, |world| !world.downloads.is_empty()).unwrap();
    world.publish(without(base(FenceRule::Refuses), "2"));
    world.run_until(SETTLE_MS, is_settled).expect("version 3 is loaded and version 2 is not");
    world.run(120_000);
    assert_eq!(world.copies("planner@2"), 0);
}

#[test]
fn engine_restarted_empty() {
    let mut world = world(FenceRule::Refuses);
    world.run_until(SETTLE_MS, is_settled).unwrap();
    let index = world.engines.iter().position(|e| e.loaded.contains(&version("planner@2")));
    world.restart_engine(index.unwrap());
    world.run_until(SETTLE_MS, is_settled).expect("version 2 is loaded again");
}

#[test]
fn lost_answers_change_nothing() {
    let mut world = world(FenceRule::Refuses);
    world.lose_orders = true;
    world.lose_appends = true;
    world.run_until(SETTLE_MS, is_settled).expect("every version is loaded");
    let downloads = world.downloads.len();
    world.run(60_000);
    assert_eq!(world.downloads.len(), downloads);
}

#[test]
fn log_down_gives_no_orders() {
    let mut world = world(FenceRule::Refuses);
    world.run_until(SETTLE_MS, is_settled).unwrap();
    world.run(60_000);
    world.log_down = true;
    world.restart_engine(0);
    let orders = world.orders;
    world.run(300_000);
    assert_eq!(world.orders, orders);
    assert!(world.copies("planner@1") >= 5, "loaded versions must stay loaded");
    world.log_down = false;
    world.run_until(SETTLE_MS, is_settled).unwrap();
}

/// Runs until a VM holds the lease in the middle of a roll-out, and returns the VM and its fencing
/// number.
fn hold_in_rollout(world: &mut World) -> (usize, Fence) {
    world.run_until(SETTLE_MS, is_settled).unwrap();
    let document = with_rollout(world.document(), "2", 1.0);
    world.publish(document);
    world.load_ms = 20_000;
    world.run_until(SETTLE_MS, |world| world.copies("planner@2") >= 2).unwrap();
    world.holder().expect("a VM holds the lease")
}

#[test]
fn paused_holder_is_refused() {
    let mut world = world(FenceRule::Refuses);
    let (holder, fence) = hold_in_rollout(&mut world);
    world.vms[holder].stalled_until = world.now + 200_000;
    world.run(3_000);
    world.vms[holder].paused_until = world.now + 100_000;
    world.run_until(90_000, |world| world.holder().is_some_and(|(vm, _)| vm != holder));
    let (second, newer) = world.holder().expect("another VM has taken the lease");
    assert!(second != holder && newer > fence);
    world.run_until(SETTLE_MS, is_settled).expect("the roll-out is completed");
    world.run(200_000);
    world.assert_fenced();
    assert!(world.refused > 0, "the engines must refuse the delayed orders of the paused holder");
    assert_eq!(world.last_copies_lost, []);
    assert!(is_settled(&world));
}

#[test]
fn paused_holder_before_engines_that_ignore_fences() {
    let mut world = world(FenceRule::Ignores);
    let (holder, _) = hold_in_rollout(&mut world);
    world.vms[holder].stalled_until = world.now + 20_000;
    world.run(3_000);
    world.vms[holder].paused_until = world.now + 100_000;
    world.run_until(SETTLE_MS, is_settled).expect("the roll-out is completed");
    let mut fences = Vec::new();
    for engine in &world.engines {
        fences.extend(engine.accepted.iter().map(|(fence, _)| *fence));
        assert!(engine.accepted.iter().map(|(fence, _)| *fence).is_sorted());
    }
    assert_eq!(world.last_copies_lost, []);
}

#[test]
fn late_order_on_engine_that_ignores_fences_is_undone() {
    let mut world = world(FenceRule::Ignores);
    let (holder, _) = hold_in_rollout(&mut world);
    world.vms[holder].stalled_until = world.now + 300_000;
    world.run(5_000);
    world.vms[holder].paused_until = world.now + 295_000;
    world.run(300_000);
    world.run_until(SETTLE_MS, is_settled).expect("the late order is undone");
    world.run(120_000);
    assert!(is_settled(&world));
}

#[test]
fn holder_replaced_in_rollout() {
    let mut world = world(FenceRule::Refuses);
    let (holder, fence) = hold_in_rollout(&mut world);
    world.replace_vm(holder);
    world.run_until(SETTLE_MS, is_settled).expect("the roll-out is completed");
    assert!(world.lease_records().len() > 1);
    let newest = world.engines.iter().map(|engine| engine.fence).max().unwrap();
    assert!(newest > fence);
    world.assert_fenced();
}

#[test]
fn holder_cut_from_log_hands_over() {
    let mut world = world(FenceRule::Refuses);
    let (holder, _) = hold_in_rollout(&mut world);
    world.vms[holder].cut_from_log = true;
    world
        .run_until(SETTLE_MS, is_settled)
        .expect("another VM takes over and completes the roll-out");
    world.assert_fenced();
}

#[test]
fn status_shows_the_change_under_way() {
    let mut world = world(FenceRule::Refuses);
    let (holder, fence) = hold_in_rollout(&mut world);
    let pool = &world.status(holder)[0];
    assert_eq!((pool.held_here, pool.fence), (true, Some(fence)));
    assert_eq!(pool.holder.as_ref(), Some(&world.vms[holder].name));
    assert_eq!(pool.may_order.len(), 3);
    let changes = |server: &&guavapass::placement::ServerPlacementStatus| {
        server.pending.is_some() && server.actual.as_ref() != Some(&server.desired)
    };
    let server = pool.servers.iter().find(changes).expect("a server has a pending order");
    let text = pool.to_string();
    assert!(text.contains(&format!("fence {fence}  may order ")), "{text}");
    assert!(text.contains(&format!("{}  desired ", server.server)), "{text}");
}

#[test]
fn leaving_server_gets_no_order() {
    let mut world = world(FenceRule::Refuses);
    world.engines[0].member = guavapass::ports::MemberState::Leaving;
    world.run_until(SETTLE_MS, is_settled).unwrap();
    let document = with_rollout(world.document(), "2", 1.0);
    world.publish(document);
    world.run(120_000);
    assert_eq!(world.engines[0].accepted, []);
    assert_eq!(world.copies("planner@2"), 5);
}

#[test]
fn full_pool_swaps_without_losing_a_version() {
    let mut world = world(FenceRule::Refuses);
    world.preload(0..6, "planner@2");
    world.run_until(SETTLE_MS, is_settled).expect("version 3 is loaded");
    assert_eq!(world.last_copies_lost, []);
    assert_eq!(world.failed_requests, 0);
}

#[test]
fn nothing_is_unloaded_before_all_engines_are_fenced() {
    let mut world = world(FenceRule::Refuses);
    world.preload(0..6, "planner@2");
    world.engines[5].loses_orders = true;
    world.run(120_000);
    assert_eq!((world.copies("planner@1"), world.copies("planner@2")), (6, 6));
    world.engines[5].loses_orders = false;
    world.run_until(SETTLE_MS, is_settled).expect("version 3 is loaded");
    world.assert_fenced();
}

/// A fault or a change of the configuration during a run.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Pause(usize),
    Stall(usize),
    Replace(usize),
    CutFromLog(usize),
    LogDown,
    LoseAppends,
    LoseOrders,
    RestartEngine(usize),
    Rollout(usize),
    Withdraw,
    Heal,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..VMS).prop_map(Fault::Pause),
        (0..VMS).prop_map(Fault::Stall),
        (0..VMS).prop_map(Fault::Replace),
        (0..VMS).prop_map(Fault::CutFromLog),
        Just(Fault::LogDown),
        Just(Fault::LoseAppends),
        Just(Fault::LoseOrders),
        (0..6_usize).prop_map(Fault::RestartEngine),
        (1..=6_usize).prop_map(Fault::Rollout),
        Just(Fault::Withdraw),
        Just(Fault::Heal),
    ]
}

fn inject(world: &mut World, fault: Fault) {
    const FAULT_MS: u64 = 70_000;
    match fault {
        Fault::Pause(vm) => world.vms[vm].paused_until = world.now + FAULT_MS,
        Fault::Stall(vm) => world.vms[vm].stalled_until = world.now + FAULT_MS,
        Fault::Replace(vm) => world.replace_vm(vm),
        Fault::CutFromLog(vm) => world.vms[vm].cut_from_log = true,
        Fault::LogDown => world.log_down = true,
        Fault::LoseAppends => world.lose_appends = true,
        Fault::LoseOrders => world.lose_orders = true,
        Fault::RestartEngine(engine) => world.restart_engine(engine),
        Fault::Rollout(servers) => {
            let document = with_rollout(base(world.rule), "2", servers as f64 / 6.0);
            world.publish(document);
        }
        Fault::Withdraw => world.publish(without(base(world.rule), "2")),
        Fault::Heal => heal(world),
    }
}

fn heal(world: &mut World) {
    world.log_down = false;
    world.lose_appends = false;
    world.lose_orders = false;
    for vm in &mut world.vms {
        vm.cut_from_log = false;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn faults_end_in_the_desired_state(
        faults in prop::collection::vec((0..60_u64, fault()), 1..12),
        ignores in any::<bool>(),
    ) {
        let rule = if ignores { FenceRule::Ignores } else { FenceRule::Refuses };
        let mut world = world(rule);
        let restarts = faults.iter().any(|(_, fault)| matches!(fault, Fault::RestartEngine(_)));
        for (seconds, fault) in faults {
            world.run(seconds * 1_000);
            inject(&mut world, fault);
        }
        heal(&mut world);
        world.run(100_000);
        world.run_until(SETTLE_MS, is_settled).expect("the desired state is reached");
        world.run(100_000);
        prop_assert!(is_settled(&world));
        if rule == FenceRule::Refuses {
            world.assert_fenced();
            prop_assert!(restarts || world.last_copies_lost.is_empty());
        }
    }
}
