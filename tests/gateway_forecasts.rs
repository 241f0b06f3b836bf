//! Forecasts of when answers begin and end, and the decisions that rest on them.

#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;

use gateway_world::*;
use guavapass::{
    gateway::*,
    ids::{RequestNumber, ServerId},
    units::{Millis, Tokens},
};
use rand::{RngExt, SeedableRng};

/// The time from the first event of a large model's answer to its end in these tests.
const LARGE_STREAM_MS: u64 = 3_000;

/// Returns a core that has seen the answers of the large model to some requests.
fn world_with_large_answers() -> GatewayFixture {
    let mut world = GatewayFixture::new();
    for number in 0..16 {
        let request = world.arrive("/sized/1");
        world.began(request, 1, Some(10));
        world.tick(100);
        world.began(request, 2, None);
        let difference = if number % 2 == 0 { 200 } else { 0 };
        world.advance_with_store(LARGE_STREAM_MS + difference);
        world.whole(request, 2, 200);
    }
    world
}

/// Delivers a request that waits for so long, and its small model's answer of low confidence.
fn small_answer(world: &mut GatewayFixture, deadline_ms: u64) -> RequestNumber {
    let request =
        world.arrive_with("/sized/1", |arrival| arrival.deadline = Some(Millis(deadline_ms)));
    world.began(request, 1, Some(10));
    request
}

#[test]
fn escalate_refused_when_end_after_deadline() {
    let mut world = world_with_large_answers();
    let request = small_answer(&mut world, LARGE_STREAM_MS - 500);
    assert!(world.is_delivered(request, 1), "the small answer is there in time");
    assert_eq!(world.starts(request).len(), 1);
}

#[test]
fn escalate_when_end_before_deadline() {
    let mut world = world_with_large_answers();
    let request = small_answer(&mut world, 2 * LARGE_STREAM_MS);
    assert!(!world.is_delivered(request, 1));
    assert_eq!(world.starts(request).len(), 2);
}

#[test]
fn escalate_refused_when_answers_were_abandoned() {
    let mut world = GatewayFixture::new();
    let first = small_answer(&mut world, 6_000);
    world.tick(100);
    world.began(first, 2, None);
    world.advance_with_store(1_000);
    world.whole(first, 2, 200);
    for _ in 0..8 {
        let request = small_answer(&mut world, 5_000);
        if world.starts(request).len() == 2 {
            world.tick(100);
            world.began(request, 2, None);
        }
        world.advance_with_store(5_000);
    }
    let request = small_answer(&mut world, 5_000);
    assert!(world.is_delivered(request, 1), "no such answer was complete after 5 s");
}

#[test]
fn escalate_refused_while_unfinished_streams_are_slow() {
    let mut world = world_with_large_answers();
    let slow = small_answer(&mut world, 30_000);
    world.tick(100);
    world.began(slow, 2, None);
    world.advance_with_store(5_800);
    let request = small_answer(&mut world, 5_500);
    assert!(world.is_delivered(request, 1), "the open stream shows that they have become slower");
}

#[test]
fn server_avoided_after_slow_answers() {
    let mut book = ServerRegistry::default();
    for number in 1..=2 {
        book.apply_entry(server(&format!("e{number}"), ENGINES, "v1"));
    }
    let place = |book: &ServerRegistry, tie| -> ServerId {
        let part = |id, tokens| PromptPart { id, tokens: Tokens(tokens) };
        let wish = ServerCriteria {
            pool: &pool(ENGINES),
            software: &SoftwareRule::Any,
            tried: &[],
            data_centre: &text("norte"),
            parts: &[part(tie, 4_000)],
            pace: PoolLatencyModel::engine(),
            may_use_limited: true,
            tie,
        };
        select_server(Millis(0), book, &wish).unwrap().server
    };
    let slow = place(&book, 5);
    let speed = &mut book.get_mut(&slow).unwrap().speed;
    (0..10).for_each(|_| speed.record(10.0, 17.0));
    assert!((0..50).all(|tie| place(&book, tie) != slow));
}

#[test]
fn server_avoided_while_its_runs_are_late() {
    let mut world = GatewayFixture::new();
    let late = world.arrive("/plan/1");
    let home = world.starts(late)[0].server.clone();
    let prompt = world.arrive("/plan/1");
    assert_eq!(world.starts(prompt)[0].server, home, "the shared part is cached there");
    world.began(prompt, 1, None);
    world.whole(prompt, 1, 200);
    // Before the late run itself moves to another server.
    world.advance_with_store(1_500);
    let next = world.arrive("/plan/1");
    assert_ne!(world.starts(next)[0].server, home, "the first event of a run there is overdue");
}

#[test]
fn lateness_is_part_of_the_reported_load() {
    let mut book = ServerRegistry::default();
    book.apply_entry(server("e1", ENGINES, "v1"));
    book.set_lateness(Millis(0), &[(server_id("e1"), 900.0)].into());
    let load = book.get(&server_id("e1")).unwrap().own_load();
    assert_eq!(load.backlog_ms, 900);
    book.set_lateness(Millis(0), &[].into());
    assert_eq!(book.get(&server_id("e1")).unwrap().own_load().backlog_ms, 0);
}

#[test]
fn forecast_error_covers_its_quantiles() {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(46);
    let mut error = ForecastError::default();
    let (mut within, mut counted) = (0, 0);
    for number in 0..2_000 {
        // The sum of uniform numbers is near to normal; the ratio has a median of 1.5.
        let normal = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
        let took = 1_000.0 * 1.5 * (0.5 * normal).exp();
        if number >= 50 {
            counted += 1;
            within += u32::from(error.probability_within(1_000.0, took) <= 0.9);
        }
        error.record(1_000.0, took);
    }
    let share = f64::from(within) / f64::from(counted);
    assert!((0.85..0.95).contains(&share), "{share} of the times were within the 90% quantile");
}

#[test]
fn pace_grows_with_requests_beside() {
    let mut pace = StreamPace::default();
    for requests in [2.0, 8.0, 4.0, 16.0, 6.0, 12.0] {
        pace.record(requests, 3.0 + 0.5 * requests);
    }
    assert!((pace.token_ms(10.0) - 8.0).abs() < 0.01);
    assert!((pace.token_ms(30.0) - 18.0).abs() < 0.01);
}
