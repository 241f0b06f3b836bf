//! Goodput as all teams' demand rises to five times the capacity.

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
use guavapass::control::AnswerMode;

const RUN_MS: u64 = 40_000;
const WARM_UP_MS: u64 = 10_000;
/// Short requests a second that keep all slots of the pool busy, by deployment.
const CAPACITY: f64 = 75.0;
const FACTORS: [f64; 6] = [0.5, 1.0, 1.5, 2.0, 3.0, 5.0];

struct GoodputRun {
    goodput: f64,
    head_p95: f64,
    gap_p95_ms: f64,
}

fn measure<R: BenchRouter>(
    router: R,
    deployment: Deployment,
    seed: u64,
    factor: f64,
) -> GoodputRun {
    let document = deployment.document();
    let demand = Demand {
        deployment,
        from: 0,
        to: RUN_MS,
        short_per_second: CAPACITY * factor,
        long_per_second: 0.1 * factor,
        burst: 1.0,
        heavy: None,
    };
    let quality = steady(truths(&document, seed));
    let jobs = demand.jobs(seed);
    let mut world = World::new(router, &document, &deployment.pool(), 10, jobs, quality);
    world.run(RUN_MS + 30_000);
    let in_window = world.jobs.iter().zip(&world.results).filter(|(job, result)| {
        world.in_time(job, result)
            && result.end.is_some_and(|end| (WARM_UP_MS..RUN_MS).contains(&end))
    });
    let good = in_window.count();
    let (mut heads, mut gaps) = (vec![], vec![]);
    for (job, result) in world.arrived(WARM_UP_MS, RUN_MS) {
        let (Some(head), Some(end)) = (result.first_token, result.end) else { continue };
        if job.mode == AnswerMode::Stream && !job.is_long {
            heads.push((head - job.at) as f64 / 1_000.0);
            gaps.push((end - head) as f64 / job.output as f64);
        }
    }
    GoodputRun {
        goodput: good as f64 / ((RUN_MS - WARM_UP_MS) as f64 / 1_000.0),
        head_p95: stats::quantile(&heads, 0.95),
        gap_p95_ms: stats::quantile(&gaps, 0.95),
    }
}

pub fn run() {
    stats::head("Goodput beyond the capacity");
    for deployment in Deployment::ALL {
        let (mut kept, mut naive_kept, mut heads, mut gaps) = (vec![], vec![], vec![], vec![]);
        for seed in SEEDS {
            let document = deployment.document();
            let slots = document.pools[&deployment.pool()].slots;
            let ours: Vec<GoodputRun> = FACTORS
                .iter()
                .map(|factor| measure(router::shipping(&document), deployment, seed, *factor))
                .collect();
            let naive = |factor| {
                let naive = NaiveRouter::new(&document, slots, seed);
                measure(naive, deployment, seed, factor).goodput
            };
            let naive: Vec<f64> = FACTORS.iter().map(|factor| naive(*factor)).collect();
            let peak = ours.iter().map(|run| run.goodput).fold(0.0, f64::max);
            kept.push(ours.last().unwrap().goodput / peak);
            naive_kept.push(naive.last().unwrap() / naive.iter().copied().fold(0.0, f64::max));
            heads.push(ours.last().unwrap().head_p95);
            gaps.push(ours.last().unwrap().gap_p95_ms);
            if seed == 1 {
                let line: Vec<String> = FACTORS
                    .iter()
                    .zip(&ours)
                    .zip(&naive)
                    .map(|((factor, run), naive)| {
                        format!("{factor}×: {:.1} ({naive:.1})", run.goodput)
                    })
                    .collect();
                stats::line(
                    "answers in time a second (naive), seed 1",
                    deployment.name(),
                    &line.join(", "),
                    "",
                );
            }
        }
        let name = deployment.name();
        stats::line("goodput at 5 × capacity over the peak", name, &stats::spread(&kept), "≥ 0.9");
        stats::line("the same of the naive router", name, &stats::spread(&naive_kept), "");
        stats::line(
            "first token p95 of short streams at 5 ×, s",
            name,
            &stats::spread(&heads),
            "≤ 0.46",
        );
        stats::line("time between tokens p95 at 5 ×, ms", name, &stats::spread(&gaps), "≤ 66");
    }
}
