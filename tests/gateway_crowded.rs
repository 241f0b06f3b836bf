//! Calls that all servers of their pool have turned away before anything was sent.

#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;

use gateway_world::*;
use guavapass::{
    control::RunState,
    gateway::*,
    ids::{RequestNumber, TeamId},
    units::Millis,
};
use std::sync::Arc;

/// Turns away each try of a request that is under way; returns how many there were.
fn turn_away(world: &mut GatewayWorld, request: RequestNumber) -> usize {
    let mut tries = 0;
    while world.starts(request).len() > tries {
        tries += 1;
        world.not_run(request, tries as u64, NotRunCause::Crowded);
    }
    tries
}

/// Answers no try of a request until it has been sent once more, and returns when that was.
fn sent_again_after(world: &mut GatewayWorld, request: RequestNumber) -> Option<u64> {
    let tries = turn_away(world, request);
    (1..=200).find(|_| {
        world.tick(1);
        world.starts(request).len() > tries
    })
}

#[test]
fn crowded_everywhere_waits() {
    for path in ["/book/1", "/slot/1"] {
        let mut world = GatewayWorld::new();
        let request = world.arrive(path);
        let after = sent_again_after(&mut world, request);
        assert!(after.is_some_and(|ms| ms <= 60), "{path}: sent again after {after:?} ms");
        assert!(world.refusal(request).is_none());
        let last = world.starts(request).len() as u64;
        world.whole(request, last, 200);
        assert!(world.is_delivered(request, last));
    }
}

#[test]
fn crowded_for_long_refused() {
    let mut world = GatewayWorld::new();
    let request = world.arrive("/book/1");
    let begun = world.now;
    let mut tries = 0;
    while world.refusal(request).is_none() {
        while world.starts(request).len() > tries {
            tries += 1;
            world.not_run(request, tries as u64, NotRunCause::Crowded);
        }
        world.tick(5);
        assert!(world.now.since(begun) < Millis(2_000), "held past its objective");
    }
    let refusal = world.refusal(request).unwrap();
    assert_eq!(refusal.run, RunState::NotRun);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn crowded_after_a_broken_run_promises_nothing() {
    let mut world = GatewayWorld::new();
    let request = world.arrive("/slot/1");
    world.broken(request, 1, None);
    let mut tries = 1;
    while world.refusal(request).is_none() {
        while world.starts(request).len() > tries {
            tries += 1;
            world.not_run(request, tries as u64, NotRunCause::Crowded);
        }
        world.tick(5);
    }
    assert_ne!(world.refusal(request).unwrap().run, RunState::NotRun, "the first run may have run");
}

#[test]
fn crowded_heavy_team_waits_longer() {
    let mut world = GatewayWorld::new();
    let mut next = document(2);
    for team in ["heavy", "light", "third", "fourth"] {
        let holder = KeyHolder { team: text::<TeamId>(team), rank: None };
        next.keys.insert(format!("key-{team}").into(), holder);
    }
    world.page(StoreStream::Operators, vec![StoreRecord::Configuration(Arc::new(next))]);
    let arrive = |world: &mut GatewayWorld, team: &str| {
        world.arrive_with("/book/1", |arrival| arrival.key = Some(format!("key-{team}").into()))
    };
    for round in 0..60 {
        let team = if round % 20 == 0 { ["light", "third", "fourth"][round / 20] } else { "heavy" };
        let request = arrive(&mut world, team);
        world.whole(request, 1, 200);
    }
    let mut means = Vec::new();
    for team in ["heavy", "light"] {
        let waits = (0..20).map(|_| {
            let request = arrive(&mut world, team);
            let wait = sent_again_after(&mut world, request).unwrap();
            let last = world.starts(request).len() as u64;
            world.whole(request, last, 200);
            wait
        });
        means.push(waits.sum::<u64>() / 20);
    }
    assert!(means[0] >= 2 * means[1], "heavy {} ms, light {} ms", means[0], means[1]);
}
