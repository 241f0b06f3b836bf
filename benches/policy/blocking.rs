//! Short work while long work fills the pool.

use crate::{
    SEEDS,
    cost::{steady, truths},
    deployment::Deployment,
    naive::NaiveRouter,
    router::{self, BenchRouter},
    stats,
    workload::Demand,
    world::World,
};

/// Long requests a second that fill the pool.
const FILLING: f64 = 2.5;
const RUN_MS: u64 = 300_000;
const WARM_UP_MS: u64 = 60_000;

/// The p99 of short work in seconds, and the output tokens of long work a second.
fn measure<R: BenchRouter>(router: R, deployment: Deployment, seed: u64, long: f64) -> (f64, f64) {
    let document = deployment.document();
    let demand = Demand {
        deployment,
        from: 0,
        to: RUN_MS,
        short_per_second: 6.0,
        long_per_second: long,
        burst: 2.0,
        heavy: None,
    };
    let quality = steady(truths(&document, seed));
    let jobs = demand.jobs(seed);
    let mut world = World::new(router, &document, &deployment.pool(), 10, jobs, quality);
    world.run(RUN_MS);
    let mut short = Vec::new();
    for (job, result) in world.arrived(WARM_UP_MS, RUN_MS - 20_000) {
        if !job.is_long {
            // What has not been answered counts as late.
            let end = result.end.unwrap_or(RUN_MS);
            short.push((end - job.at) as f64 / 1_000.0);
        }
    }
    let ended = world.jobs.iter().zip(&world.results).filter(|(job, result)| {
        job.is_long && result.end.is_some_and(|end| (WARM_UP_MS..RUN_MS).contains(&end))
    });
    let tokens: u64 = ended.map(|(job, _)| job.output).sum();
    let seconds = (RUN_MS - WARM_UP_MS) as f64 / 1_000.0;
    (stats::quantile(&short, 0.99), tokens as f64 / seconds)
}

pub fn run() {
    stats::head("Short work behind long work");
    for deployment in Deployment::ALL {
        let (mut ratio, mut naive_ratio, mut long, mut alone, mut filled) =
            (vec![], vec![], vec![], vec![], vec![]);
        for seed in SEEDS {
            let document = deployment.document();
            let slots = document.pools[&deployment.pool()].slots;
            let ours = || router::shipping(&document);
            let naive = || NaiveRouter::new(&document, slots, seed);
            let (without, _) = measure(ours(), deployment, seed, 0.0);
            let (with, tokens) = measure(ours(), deployment, seed, FILLING);
            let (naive_without, _) = measure(naive(), deployment, seed, 0.0);
            let (naive_with, naive_tokens) = measure(naive(), deployment, seed, FILLING);
            ratio.push(with / without);
            naive_ratio.push(naive_with / naive_without);
            long.push(tokens / naive_tokens);
            alone.push(without);
            filled.push(with);
        }
        let name = deployment.name();
        stats::line("p99 of short work without long work, s", name, &stats::spread(&alone), "");
        stats::line("p99 of short work with long work, s", name, &stats::spread(&filled), "");
        stats::line("p99 with long work over p99 without", name, &stats::spread(&ratio), "≤ 1.5");
        stats::line("the same of the naive router", name, &stats::spread(&naive_ratio), "");
        stats::line("long work's tokens, share of naive", name, &stats::spread(&long), "≥ 0.9");
    }
}
