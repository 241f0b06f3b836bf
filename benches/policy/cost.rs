//! Cost at the quality target, against the naive router and the clairvoyant cheapest plan.

use crate::{
    SEEDS,
    deployment::Deployment,
    naive::NaiveRouter,
    router::{self, BenchRouter},
    stats,
    workload::{Demand, Job},
    world::{Quality, World},
};
use guavapass::{
    configuration::{ConfigurationDocument, VersionState},
    control::AnswerMode,
    ids::VersionId,
    units::Tokens,
};
use std::collections::BTreeMap;

const RUN_MS: u64 = 7_200_000;
/// The first part, in which little is known yet.
const FIRST: std::ops::Range<u64> = 0..1_200_000;
/// The part after an hour.
const LATER: std::ops::Range<u64> = 3_600_000..RUN_MS;

/// The share of answers whose luck is shared by all versions: a hard request is hard for all.
const SHARED_LUCK: f64 = 0.4;

fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

fn draw(luck: u64, name: &str) -> f64 {
    unit(xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), luck))
}

/// The true share of good answers of each version, near its prior.
pub fn truths(document: &ConfigurationDocument, seed: u64) -> BTreeMap<VersionId, f64> {
    let near = |(id, entry): (VersionId, &guavapass::configuration::VersionEntry)| {
        let offset = (draw(seed, &id.to_string()) - 0.5) * 0.04;
        (id, (entry.prior_quality.get() + offset).min(0.98))
    };
    document.versions().map(near).collect()
}

/// Decides whether a version answers a job well.
pub fn is_good(job: &Job, id: &VersionId, truth: f64) -> bool {
    let name = id.to_string();
    let shared = draw(job.luck, &format!("{name} shared")) < SHARED_LUCK;
    let luck = if shared { draw(job.luck, "all") } else { draw(job.luck, &name) };
    luck < truth
}

pub fn steady(truths: BTreeMap<VersionId, f64>) -> Quality {
    Box::new(move |_, job, id| is_good(job, id, truths[id]))
}

/// The expected cost of the cheapest plan that meets the target, with the truth known.
fn clairvoyant(
    document: &ConfigurationDocument,
    truths: &BTreeMap<VersionId, f64>,
    job: &Job,
) -> f64 {
    let team = &document.teams[&job.team.parse().unwrap()];
    let target = team.quality_target.get();
    let versions: Vec<(f64, f64)> = document
        .versions()
        .filter(|(id, entry)| team.allows(id) && entry.state == VersionState::Live)
        .map(|(id, entry)| (entry.cost_of(Tokens(job.prompt), Tokens(job.output)).0, truths[&id]))
        .collect();
    let mut plans: Vec<(f64, f64)> = versions.clone();
    if job.mode == AnswerMode::Whole {
        let both = SHARED_LUCK * SHARED_LUCK;
        for (cost, quality) in &versions {
            for (other_cost, other) in versions.iter().filter(|other| other.0 > *cost) {
                let rescued =
                    both * (other - quality).max(0.0) + (1.0 - both) * (1.0 - quality) * other;
                plans.push((cost + (1.0 - quality) * other_cost, quality + rescued));
            }
        }
    }
    let meets = plans.iter().filter(|plan| plan.1 >= target).map(|plan| plan.0);
    let cheapest = meets.fold(f64::INFINITY, f64::min);
    if cheapest.is_finite() {
        return cheapest;
    }
    plans.iter().max_by(|a, b| a.1.total_cmp(&b.1)).map_or(0.0, |plan| plan.0)
}

struct CostRun {
    cost: f64,
    answered: usize,
    teams: BTreeMap<&'static str, (usize, usize)>,
    bound: f64,
}

fn measure<R: BenchRouter>(
    router: R,
    deployment: Deployment,
    seed: u64,
    document: &ConfigurationDocument,
    until: u64,
) -> [CostRun; 2] {
    let demand = Demand {
        deployment,
        from: 0,
        to: until,
        short_per_second: 8.0,
        long_per_second: 0.25,
        burst: 3.0,
        heavy: None,
    };
    let truths = truths(document, seed);
    let pool = deployment.pool();
    let quality = steady(truths.clone());
    let mut world = World::new(router, document, &pool, 10, demand.jobs(seed), quality);
    world.run(until + 200_000);
    [FIRST, LATER].map(|part| summed(&world, part, document, &truths))
}

fn summed<R: BenchRouter>(
    world: &World<R>,
    part: std::ops::Range<u64>,
    document: &ConfigurationDocument,
    truths: &BTreeMap<VersionId, f64>,
) -> CostRun {
    let mut run = CostRun { cost: 0.0, answered: 0, teams: BTreeMap::new(), bound: 0.0 };
    for (job, result) in world.arrived(part.start, part.end) {
        if result.end.is_none() {
            continue;
        }
        run.cost += result.cost;
        run.answered += 1;
        run.bound += clairvoyant(document, truths, job);
        let team = run.teams.entry(job.team).or_default();
        team.0 += usize::from(result.good);
        team.1 += 1;
    }
    run
}

/// The distance of each team's share of good answers from its target, in standard errors.
fn distances(run: &CostRun, document: &ConfigurationDocument) -> Vec<f64> {
    let distance = |(team, (good, all)): (&&str, &(usize, usize))| {
        let target = document.teams[&team.parse().unwrap()].quality_target.get();
        let share = *good as f64 / *all as f64;
        (share - target) / (target * (1.0 - target) / *all as f64).sqrt()
    };
    run.teams.iter().map(distance).collect()
}

pub fn run() {
    stats::head("Cost at the quality target");
    for deployment in Deployment::ALL {
        let mut figures: [[Vec<f64>; 4]; 2] = Default::default();
        for seed in SEEDS {
            let document = deployment.document();
            let slots = document.pools[&deployment.pool()].slots;
            let ours = router::shipping(&document);
            let ours = measure(ours, deployment, seed, &document, RUN_MS);
            // The naive router learns nothing: its cost of an answer is the same at any time.
            let naive = NaiveRouter::new(&document, slots, seed);
            let [naive, _] = measure(naive, deployment, seed, &document, FIRST.end);
            for (ours, figures) in ours.iter().zip(&mut figures) {
                let each = |run: &CostRun| run.cost / run.answered as f64;
                let distances = distances(ours, &document);
                figures[0].push(each(ours) / each(&naive));
                figures[1].push(ours.cost / ours.bound);
                figures[2].push(distances.iter().filter(|gap| **gap < -2.0).count() as f64);
                figures[3].push(distances.iter().copied().fold(f64::INFINITY, f64::min));
            }
        }
        for (when, figures) in ["first 20 min", "after an hour"].iter().zip(&figures) {
            let line = |what: &str, index: usize, target: &str| {
                let found = stats::spread(&figures[index]);
                stats::line(&format!("{what}, {when}"), deployment.name(), &found, target);
            };
            line("cost, share of the naive router's", 0, "≤ 0.55");
            line("cost, multiple of the clairvoyant", 1, "≤ 1.15");
            line("teams below target by 2 standard errors", 2, "0");
            line("worst team's distance in standard errors", 3, "≥ -2");
        }
    }
}
