//! Comparing two versions by the latencies of their answers.

use guavapass::{
    gateway::{
        LatencyComparison, LatencyHistogram, LatencyMeasure, VersionLatencies, VersionSide,
        WorkKind,
    },
    units::Millis,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn kind(route: &str) -> WorkKind {
    WorkKind::of(route, None, LatencyMeasure::First)
}

fn times(old: &[u64], new: &[u64]) -> VersionLatencies {
    let mut times = VersionLatencies::default();
    for took in old {
        times.add(VersionSide::Old, kind("plan"), Millis(*took));
    }
    for took in new {
        times.add(VersionSide::New, kind("plan"), Millis(*took));
    }
    times
}

#[test]
fn rank_is_the_fraction_of_faster_answers() {
    let mut sketch = LatencyHistogram::default();
    for took in [100, 100, 100, 1_000, 1_000, 1_000] {
        sketch.add(kind("plan"), Millis(took));
    }
    let rank = |took| sketch.rank(kind("plan"), Millis(took)).unwrap();
    let ranks = [10, 100, 300, 1_000, 9_000].map(|took| (rank(took) * 100.0) as u32);
    assert_eq!(ranks, [0, 25, 50, 75, 100]);
    assert_eq!(sketch.rank(kind("note"), Millis(1)), None, "nothing to compare with");
}

#[test]
fn rank_needs_enough_answers() {
    let mut sketch = LatencyHistogram::default();
    for _ in 0..5 {
        sketch.add(kind("plan"), Millis(100));
    }
    assert_eq!(sketch.rank(kind("plan"), Millis(100)), None);
}

#[test]
fn only_answers_of_the_same_kind_are_compared() {
    // The new version got a larger share of the long requests.
    let mut times = VersionLatencies::default();
    for number in 0..100 {
        let (route, took) = if number % 10 == 0 { ("plan", 5_000) } else { ("note", 100) };
        times.add(VersionSide::Old, kind(route), Millis(took));
    }
    for _ in 0..50 {
        times.add(VersionSide::New, kind("plan"), Millis(5_000));
    }
    assert!(times.verdict().is_sound(), "{}", times.verdict());
}

#[test]
fn verdict_needs_answers() {
    let old = [100; 50];
    let verdict = |count: usize, took: u64| times(&old, &vec![took; count]).verdict();
    assert!(!verdict(0, 100).is_sound() && !verdict(0, 100).is_slow());
    assert!(!verdict(3, 100).is_sound(), "three answers are too few");
    assert!(verdict(20, 100).is_sound());
    assert!(!verdict(6, 900).is_slow() && !verdict(6, 900).is_sound());
    assert!(verdict(12, 900).is_slow());
}

#[test]
fn latencies_of_another_stage_are_ignored() {
    let mut sum = VersionLatencies::of_stage(1);
    sum.add_all(&times(&[100; 50], &[900; 50]));
    assert!(sum.is_empty());
}

#[test]
fn size_is_bounded_in_kinds_and_bytes() {
    let mut times = VersionLatencies::default();
    for route in 0..10_000_u64 {
        for took in [10, 100, 1_000, 100_000] {
            times.add(VersionSide::Old, kind(&route.to_string()), Millis(took + route));
        }
    }
    let bytes = rmp_serde::to_vec(&times).unwrap().len();
    assert!(bytes < 8_192, "{bytes} bytes in each poll that reports them");
}

/// Few answers of a version may be slow ones by chance, so that the verdict allows for 2.5 standard
/// errors.
#[test]
fn equal_versions_are_rarely_found_slow() {
    const DRAWS: usize = 5_000;
    /// The chance that a normal variable is 2.5 standard errors or more above its mean.
    const ALLOWED_SHARE: f64 = 0.0062;
    let mut random = ChaCha8Rng::seed_from_u64(890_184);
    let mut draw = |from: usize, to: usize| random.random_range(from..to);
    let mut slow = 0;
    for _ in 0..DRAWS {
        let count = draw(60, 200);
        let old: Vec<u64> = (0..count).map(|_| draw(20, 4_000) as u64).collect();
        let answers = draw(1, 200);
        let new: Vec<u64> = (0..answers).map(|_| old[draw(0, old.len())]).collect();
        slow += usize::from(times(&old, &new).verdict().is_slow());
    }
    assert!(slow as f64 <= ALLOWED_SHARE * DRAWS as f64, "{slow} of {DRAWS}");
}

proptest! {
    /// The mean rank is a share, and a version with the same answers is never found slow.
    #[test]
    fn mean_rank_is_a_share_and_equal_answers_are_not_slow(
        old in prop::collection::vec(20_u64..4_000, 60..200),
        new in prop::collection::vec(20_u64..4_000, 1..200),
    ) {
        let verdict = times(&old, &new).verdict();
        prop_assert!((0.0..=1.0).contains(&verdict.mean_rank));
        prop_assert!(!times(&old, &old).verdict().is_slow());
    }

    /// A version of which half of the answers take eight times as long is never found sound once
    /// there are enough answers.
    #[test]
    fn version_with_half_slow_answers_is_not_sound(
        old in prop::collection::vec(100_u64..1_000, 60..200),
        picks in prop::collection::vec(any::<prop::sample::Index>(), 60..200),
    ) {
        let slowed = |(place, pick): (usize, &prop::sample::Index)| {
            let took = *pick.get(&old);
            if place % 2 == 0 { took * 8 } else { took }
        };
        let new: Vec<u64> = picks.iter().enumerate().map(slowed).collect();
        let verdict = times(&old, &new).verdict();
        prop_assert!(!verdict.is_sound(), "{verdict}");
    }

    /// No result is both sound and slow.
    #[test]
    fn verdict_is_not_both_sound_and_slow(answers in 0_u32..5_000, mean_rank in 0.0..1.0_f64) {
        let verdict = LatencyComparison { answers, mean_rank };
        prop_assert!(!(verdict.is_sound() && verdict.is_slow()));
    }
}
