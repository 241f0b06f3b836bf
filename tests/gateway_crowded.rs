//! Requests whose connections all servers of the pool refused, so that nothing was sent.

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

/// Rejects every run of a request until it waits or is refused; returns the number of runs.
fn reject_runs(world: &mut GatewayFixture, request: RequestNumber) -> usize {
    let mut tries = 0;
    while world.starts(request).len() > tries {
        tries += 1;
        world.not_run(request, tries as u64, NotRunCause::Crowded);
    }
    tries
}

/// Rejects all runs of a request and returns after how many milliseconds it is sent again, if that
/// is within 200 ms.
fn retried_after(world: &mut GatewayFixture, request: RequestNumber) -> Option<u64> {
    let tries = reject_runs(world, request);
    (1..=200).find(|_| {
        world.tick(1);
        world.starts(request).len() > tries
    })
}

#[test]
fn full_pool_request_waits() {
    for path in ["/book/1", "/slot/1"] {
        let mut world = GatewayFixture::new();
        let request = world.arrive(path);
        let after = retried_after(&mut world, request);
        assert!(after.is_some_and(|ms| ms <= 60), "{path}: sent again after {after:?} ms");
        assert!(world.refusal(request).is_none());
        let last = world.starts(request).len() as u64;
        world.whole(request, last, 200);
        assert!(world.is_delivered(request, last));
    }
}

#[test]
fn full_pool_request_refused_in_time() {
    let mut world = GatewayFixture::new();
    let request = world.arrive("/book/1");
    let started = world.now;
    let mut tries = 0;
    while world.refusal(request).is_none() {
        while world.starts(request).len() > tries {
            tries += 1;
            world.not_run(request, tries as u64, NotRunCause::Crowded);
        }
        world.tick(5);
        assert!(world.now.since(started) < Millis(2_000), "not refused within its objective");
    }
    let refusal = world.refusal(request).unwrap();
    assert_eq!(refusal.run, RunState::NotRun);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn full_pool_after_broken_run_is_not_reported_as_not_run() {
    let mut world = GatewayFixture::new();
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
fn full_pool_heavy_team_waits_longer() {
    let mut world = GatewayFixture::new();
    let mut next = document(2);
    let holders = ["heavy", "light", "third", "fourth"].map(|team| {
        let holder = KeyHolder { team: text::<TeamId>(team), rank: None };
        (format!("key-{team}").into(), holder)
    });
    next.keys = TeamKeys::Named(holders.into());
    world.page(StoreStream::Operators, vec![StoreRecord::Configuration(Arc::new(next))]);
    let arrive = |world: &mut GatewayFixture, team: &str| {
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
            let wait = retried_after(&mut world, request).unwrap();
            let last = world.starts(request).len() as u64;
            world.whole(request, last, 200);
            wait
        });
        means.push(waits.sum::<u64>() / 20);
    }
    assert!(means[0] >= 2 * means[1], "heavy {} ms, light {} ms", means[0], means[1]);
}
