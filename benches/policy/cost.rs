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

const RUN_MS: u64 = 1_200_000;
const WARM_UP_MS: u64 = 120_000;

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
) -> CostRun {
    let demand = Demand {
        deployment,
        from: 0,
        to: RUN_MS,
        short_per_second: 8.0,
        long_per_second: 0.25,
        burst: 3.0,
        heavy: None,
    };
    let truths = truths(document, seed);
    let pool = deployment.pool();
    let quality = steady(truths.clone());
    let mut world = World::new(router, document, &pool, 10, demand.jobs(seed), quality);
    world.run(RUN_MS + 200_000);
    let mut run = CostRun { cost: 0.0, answered: 0, teams: BTreeMap::new(), bound: 0.0 };
    for (job, result) in world.arrived(WARM_UP_MS, RUN_MS) {
        if result.end.is_none() {
            continue;
        }
        run.cost += result.cost;
        run.answered += 1;
        run.bound += clairvoyant(document, &truths, job);
        let team = run.teams.entry(job.team).or_default();
        team.0 += usize::from(result.good);
        team.1 += 1;
    }
    run
}

pub fn run() {
    stats::head("Cost at the quality target");
    for deployment in Deployment::ALL {
        let (mut of_naive, mut of_bound, mut below, mut least) = (vec![], vec![], vec![], vec![]);
        for seed in SEEDS {
            let document = deployment.document();
            let slots = document.pools[&deployment.pool()].slots;
            let ours = measure(router::shipping(&document), deployment, seed, &document);
            let naive = NaiveRouter::new(&document, slots, seed);
            let naive = measure(naive, deployment, seed, &document);
            let each = |run: &CostRun| run.cost / run.answered as f64;
            of_naive.push(each(&ours) / each(&naive));
            of_bound.push(ours.cost / ours.bound);
            let gaps: Vec<f64> = ours
                .teams
                .iter()
                .map(|(team, (good, all))| {
                    let target = document.teams[&team.parse().unwrap()].quality_target.get();
                    let share = *good as f64 / *all as f64;
                    (share - target) / (target * (1.0 - target) / *all as f64).sqrt()
                })
                .collect();
            below.push(gaps.iter().filter(|gap| **gap < -2.0).count() as f64);
            least.push(gaps.iter().copied().fold(f64::INFINITY, f64::min));
        }
        let name = deployment.name();
        stats::line("cost, share of the naive router's", name, &stats::spread(&of_naive), "≤ 0.55");
        stats::line("cost, multiple of the clairvoyant", name, &stats::spread(&of_bound), "≤ 1.15");
        stats::line("teams below target by 2 standard errors", name, &stats::spread(&below), "0");
        stats::line(
            "worst team's distance in standard errors",
            name,
            &stats::spread(&least),
            "≥ -2",
        );
    }
}
