//! Measures placement: the time to serve a new version within the weight store's rate, the orders
//! and appends at rest and through a roll-out, and the requests that a change of placement hurts.
//!
//! Time is the fakes' own, so the figures do not depend on the machine.

#[path = "../tests/support/placement_world.rs"]
mod placement_world;

use guavapass::{
    configuration::{
        ConfigurationDocument, FenceRule, RolloutPlan, RolloutStage, VersionEntry, VersionState,
    },
    units::{ByteSize, Share},
};
use placement_world::{World, document};

const HOUR_MS: u64 = 3_600_000;
const SETTLE_MS: u64 = 900_000;

const DOCUMENT: &str = r#"{
    "schema": 1,
    "pools": { "planning": {
        "kind": "engine", "slots": 16, "long_slots": 8, "progress_timeout_ms": 5000,
        "memory_bytes": 200, "loads_per_minute": 6
    } },
    "models": { "planner": { "stable": "1", "versions": { "1": {
        "pool": "planning", "cost_per_million_prompt_tokens": 1.0, "memory_bytes": 100,
        "cost_per_million_output_tokens": 4.0, "prior_quality": 0.9,
        "first_token_ms": 100, "stream_rate": 50.0
    } } } },
    "teams": { "crews": {
        "keys": [{ "subscriber": "ana", "sha256": "KEY" }],
        "allowed": ["planner"], "quality_target": 0.85, "deadline_ms": 20000
    } },
    "presets": { "ordinary": {} },
    "preset": "ordinary"
}"#;

fn base(loads_per_minute: u32, rule: FenceRule) -> ConfigurationDocument {
    let mut document = document(DOCUMENT);
    let pool = document.pools.get_mut(&"planning".parse().unwrap()).unwrap();
    pool.loads_per_minute = loads_per_minute;
    pool.fence_rule = rule;
    document
}

/// Adds a version as the target of a roll-out to a share of the pool.
fn rollout(mut document: ConfigurationDocument, name: &str, share: f64) -> ConfigurationDocument {
    let model = document.models.get_mut(&"planner".parse().unwrap()).unwrap();
    let entry: VersionEntry = model.versions["1"].clone();
    model.versions.insert(name.into(), VersionEntry { memory_bytes: ByteSize(100), ..entry });
    let share = Share::new(share).unwrap();
    model.rollout = Some(RolloutPlan {
        to: name.into(),
        stages: vec![RolloutStage { share, min_ratings: 1 }],
        stage: 0,
        exposure_cap: 100,
    });
    document
}

fn withdraw(mut document: ConfigurationDocument, name: &str) -> ConfigurationDocument {
    let model = document.models.get_mut(&"planner".parse().unwrap()).unwrap();
    model.rollout = None;
    model.stable = model.versions.keys().find(|id| *id != name).unwrap().clone();
    model.versions.get_mut(name).unwrap().state = VersionState::Withdrawn;
    document
}

fn world(vms: usize, servers: usize, loads_per_minute: u32, rule: FenceRule) -> World {
    let mut world = World::new(vms, servers, rule, base(loads_per_minute, rule));
    world.loads_per_minute = u64::from(loads_per_minute);
    world.load_ms = 8_000;
    world.preload(0..servers, "planner@1");
    world.run(60_000);
    world
}

/// Runs with traffic on each version in proportion to its copies.
fn run_with_traffic(world: &mut World, ms: u64, names: &[&str]) {
    const ASK_EVERY_MS: u64 = 500;
    for round in 0..ms / ASK_EVERY_MS {
        for vm in 0..world.vms.len() {
            for name in names {
                if (round as usize + vm) % world.engines.len() < world.copies(name) {
                    world.ask(vm, name);
                }
            }
        }
        world.run(ASK_EVERY_MS);
    }
}

fn time_to_serve(rule: FenceRule, loads_per_minute: u32) {
    const SERVERS: usize = 10;
    const HALF: usize = 5;
    let mut world = world(6, SERVERS, loads_per_minute, rule);
    world.publish(rollout(base(loads_per_minute, rule), "2", 0.5));
    let took = world.run_until(SETTLE_MS, |world| world.copies("planner@2") >= HALF).unwrap();
    let interval = 60_000 / u64::from(loads_per_minute);
    let least = (HALF as u64 - 1) * interval + world.load_ms;
    println!(
        "| {rule:?} | {loads_per_minute} | {:.1} | {:.1} | {:.2} |",
        least as f64 / 1e3,
        took as f64 / 1e3,
        took as f64 / least as f64
    );
}

fn at_rest(vms: usize, servers: usize) {
    let mut world = world(vms, servers, 6, FenceRule::Refuses);
    world.run(120_000);
    let (orders, appends) = (world.orders, world.appends);
    world.run(HOUR_MS);
    let (orders, appends) = (world.orders - orders, world.appends - appends);
    println!("| at rest, an hour | {vms} | {servers} | {orders} | {appends} | - | - |");
}

/// A roll-out in three stages, the withdrawal of the old version, and a restarted server, within
/// an hour and under traffic.
fn day_of_a_pool(vms: usize, servers: usize, rule: FenceRule) {
    let mut world = world(vms, servers, 6, rule);
    let (orders, appends) = (world.orders, world.appends);
    let both = ["planner@1", "planner@2"];
    for share in [0.1, 0.5, 1.0] {
        world.publish(rollout(base(6, rule), "2", share));
        run_with_traffic(&mut world, HOUR_MS / 6, &both);
    }
    let document = withdraw(world.document(), "1");
    world.publish(document);
    run_with_traffic(&mut world, HOUR_MS / 2, &both[1..]);
    let (orders, appends) = (world.orders - orders, world.appends - appends);
    println!(
        "| roll-out and withdrawal, an hour, {rule:?} | {vms} | {servers} | {orders} | {appends} | {} | {} |",
        world.answered, world.failed_requests
    );
    for (message, count) in &world.refusals {
        println!("| refused {count}: {message} | | | | | | |");
    }
    assert_eq!(world.copies("planner@1"), 0, "the withdrawn version is unloaded");
    assert_eq!(world.copies("planner@2"), servers, "the new version is everywhere");
}

fn main() {
    println!("Time to serve a new version on half a pool of 10, loads of 8 s:\n");
    println!("| Engines' fence rule | Loads a minute | Least, s | Taken, s | Ratio |");
    println!("|---|---|---|---|---|");
    for loads_per_minute in [3, 6, 12] {
        time_to_serve(FenceRule::Refuses, loads_per_minute);
        time_to_serve(FenceRule::Ignores, loads_per_minute);
    }
    println!("\nOrders and appends of one pool:\n");
    println!("| Case | Entry VMs | Servers | Orders | Appends | Answered | Failed |");
    println!("|---|---|---|---|---|---|---|");
    at_rest(8, 10);
    at_rest(16, 38);
    day_of_a_pool(8, 10, FenceRule::Refuses);
    day_of_a_pool(8, 10, FenceRule::Ignores);
    day_of_a_pool(16, 38, FenceRule::Refuses);
}
