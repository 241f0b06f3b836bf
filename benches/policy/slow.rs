//! Two of ten servers slowed tenfold for 30 s, with load reports that come 5 s late.

use crate::{
    SEEDS,
    cost::{steady, truths},
    deployment::Deployment,
    fake_server::SlowTime,
    naive::NaiveRouter,
    router::{self, BenchRouter},
    stats,
    workload::Demand,
    world::World,
};

const RUN_MS: u64 = 240_000;
const SLOW: std::ops::Range<u64> = 120_000..150_000;
const LAG_MS: u64 = 5_000;

struct SlowRun {
    p99: f64,
    head_p99: f64,
    hedged: f64,
}

fn measure<R: BenchRouter>(router: R, deployment: Deployment, seed: u64, factor: f64) -> SlowRun {
    let document = deployment.document();
    let demand = Demand {
        deployment,
        from: 0,
        to: RUN_MS,
        short_per_second: 10.0,
        long_per_second: 0.2,
        burst: 2.0,
        heavy: None,
    };
    let quality = steady(truths(&document, seed));
    let jobs = demand.jobs(seed);
    let mut world = World::new(router, &document, &deployment.pool(), 10, jobs, quality);
    world.report_lag_ms = LAG_MS;
    for server in world.servers.values_mut().take(2) {
        server.slow.push(SlowTime { from: SLOW.start, to: SLOW.end, factor });
    }
    world.run(RUN_MS + 100_000);
    let (mut ends, mut heads, mut hedged) = (vec![], vec![], 0);
    for (job, result) in world.arrived(SLOW.start, SLOW.end) {
        if !job.is_long {
            let end = result.end.unwrap_or(RUN_MS);
            ends.push((end - job.at) as f64 / 1_000.0);
            heads.push((result.first_token.unwrap_or(RUN_MS) - job.at) as f64 / 1_000.0);
        }
        hedged += usize::from(result.hedged);
    }
    let hedged = hedged as f64 / ends.len() as f64;
    SlowRun { p99: stats::quantile(&ends, 0.99), head_p99: stats::quantile(&heads, 0.99), hedged }
}

pub fn run() {
    stats::head("Two of ten servers slowed tenfold for 30 s, reports 5 s late");
    for deployment in Deployment::ALL {
        let (mut ratio, mut head, mut naive_ratio, mut hedged) = (vec![], vec![], vec![], vec![]);
        for seed in SEEDS {
            let document = deployment.document();
            let slots = document.pools[&deployment.pool()].slots;
            let ours = |factor| measure(router::shipping(&document), deployment, seed, factor);
            let naive = |factor| {
                measure(NaiveRouter::new(&document, slots, seed), deployment, seed, factor)
            };
            let (usual, slowed) = (ours(1.0), ours(10.0));
            ratio.push(slowed.p99 / usual.p99);
            head.push(slowed.head_p99 / usual.head_p99);
            hedged.push(slowed.hedged);
            naive_ratio.push(naive(10.0).p99 / naive(1.0).p99);
        }
        let name = deployment.name();
        stats::line(
            "p99 of short work in the slow time over p99 unslowed",
            name,
            &stats::spread(&ratio),
            "≤ 2",
        );
        stats::line("p99 of its first token, the same ratio", name, &stats::spread(&head), "");
        stats::line("p99 ratio of the naive router", name, &stats::spread(&naive_ratio), "");
        stats::line(
            "hedged share of requests in the slow time",
            name,
            &stats::spread(&hedged),
            "≤ 0.05",
        );
    }
}
