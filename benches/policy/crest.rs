//! A fivefold crest that comes within 2 s from one heavy team.

use crate::{
    SEEDS,
    cost::{steady, truths},
    deployment::Deployment,
    naive::NaiveRouter,
    plots,
    router::{self, BenchRouter},
    stats,
    workload::{Demand, Job},
    world::World,
};

const RUN_MS: u64 = 120_000;
const CREST: std::ops::Range<u64> = 60_000..90_000;

/// Ordinary demand, and four times as much from one team during the crest.
fn jobs(deployment: Deployment, seed: u64, short_per_second: f64) -> (Vec<Job>, &'static str) {
    let heavy = deployment.teams().0[0];
    let base = Demand {
        deployment,
        from: 0,
        to: RUN_MS,
        short_per_second,
        long_per_second: 0.2,
        burst: 1.5,
        heavy: None,
    };
    let crest = Demand {
        from: CREST.start,
        to: CREST.end,
        long_per_second: 0.0,
        heavy: Some((heavy, 4.0)),
        ..base.clone()
    };
    let mut jobs = base.jobs(seed);
    jobs.extend(crest.jobs(seed + 1_000).into_iter().filter(|job| job.team == heavy));
    jobs.sort_by_key(|job| job.at);
    (jobs, heavy)
}

fn measure<R: BenchRouter>(router: R, deployment: Deployment, seed: u64) -> (f64, f64, World<R>) {
    let document = deployment.document();
    let quality = steady(truths(&document, seed));
    let (jobs, heavy) = jobs(deployment, seed, 30.0);
    let mut world = World::new(router, &document, &deployment.pool(), 10, jobs, quality);
    world.run(RUN_MS + 60_000);
    let (mut light, mut all, mut heads) = (0, 0, vec![]);
    for (job, result) in world.arrived(CREST.start, CREST.end) {
        if job.team == heavy || job.is_long {
            continue;
        }
        all += 1;
        light += usize::from(world.in_time(job, result));
        if job.mode == guavapass::control::AnswerMode::Stream {
            heads.extend(result.first_token.map(|head| (head - job.at) as f64 / 1_000.0));
        }
    }
    (light as f64 / f64::from(all), stats::quantile(&heads, 0.95), world)
}

pub fn run() {
    stats::head("A fivefold crest from one heavy team");
    for deployment in Deployment::ALL {
        let (mut light, mut heads, mut naive_light) = (vec![], vec![], vec![]);
        for seed in SEEDS {
            let document = deployment.document();
            let slots = document.pools[&deployment.pool()].slots;
            let (share, head, world) = measure(router::shipping(&document), deployment, seed);
            let naive = NaiveRouter::new(&document, slots, seed);
            let (naive_share, _, naive_world) = measure(naive, deployment, seed);
            light.push(share);
            heads.push(head);
            naive_light.push(naive_share);
            if seed == 1 {
                plots::crest(deployment, &world, &naive_world, RUN_MS);
            }
        }
        let name = deployment.name();
        stats::line(
            "light teams' answered share in the crest",
            name,
            &stats::spread(&light),
            "≥ 0.99",
        );
        stats::line("the same of the naive router", name, &stats::spread(&naive_light), "");
        stats::line(
            "light teams' first token p95 in the crest, s",
            name,
            &stats::spread(&heads),
            "≤ 0.46",
        );
    }
}
