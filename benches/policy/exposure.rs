//! Exposure to a version that falls from 0.9 to 0.5 good answers, and false withdrawals.

use crate::{
    cost::is_good, deployment::Deployment, plots, router, stats, workload::Demand, world::World,
};
use guavapass::{
    configuration::{ConfigurationDocument, RolloutPlan, RolloutStage},
    control::Control,
    routing::{EvidenceCounts, SizeClass, VersionMonitor},
    units::{Millis, Share},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=11;
const FALL_MS: u64 = 400_000;
const RUN_MS: u64 = 1_600_000;
const GOOD: f64 = 0.9;
const BAD: f64 = 0.5;
/// The version-days without a fall, and those after which a version is replaced.
const DAYS: u64 = 3_000;
const DAYS_A_LIFE: u64 = 30;

/// A document in which the new version takes a share of one model, which all teams use.
fn document(deployment: Deployment, share: f64) -> ConfigurationDocument {
    let mut document = deployment.document();
    let new = deployment.new_version();
    let model = document.models.get_mut(&new.model).unwrap();
    for version in model.versions.values_mut() {
        version.prior_quality = Share::new(GOOD).unwrap();
    }
    let stage = RolloutStage { share: Share::new(share).unwrap(), min_ratings: 1_000_000 };
    model.rollout = Some(RolloutPlan {
        to: new.version.clone(),
        stages: vec![stage],
        stage: 0,
        exposure_cap: u64::MAX,
    });
    let name = new.model.as_str();
    for team in document.teams.values_mut() {
        team.allowed = vec![name.into()];
        team.deadline_ms = Millis(120_000);
    }
    document
}

struct ExposureRun {
    ratings: f64,
    poor_answers: f64,
    seconds: f64,
    world: World<Control>,
}

fn measure(deployment: Deployment, seed: u64, share: f64) -> ExposureRun {
    let document = document(deployment, share);
    let new = deployment.new_version();
    let demand = Demand {
        deployment,
        from: 0,
        to: RUN_MS,
        short_per_second: 8.0,
        long_per_second: 0.0,
        burst: 2.0,
        heavy: None,
    };
    let id = new.clone();
    let quality = Box::new(move |now: u64, job: &crate::workload::Job, version: &_| {
        let truth = if *version == id && now >= FALL_MS { BAD } else { GOOD };
        is_good(job, version, truth)
    });
    let control = router::shipping(&document);
    let pool = deployment.pool();
    let mut world = World::new(control, &document, &pool, 10, demand.jobs(seed), quality);
    world.run_while(RUN_MS, |world| !world.router.is_withdrawn(&new));
    let withdrawn = world.router.is_withdrawn(&new);
    let ratings = world.ratings.iter().filter(|rating| rating.0 >= FALL_MS && rating.1 == new);
    let (count, last) = ratings.fold((0, FALL_MS), |(count, _), rating| (count + 1, rating.0));
    let answers = world.results.iter().filter(|result| {
        result.version.as_ref() == Some(&new) && result.end.is_some_and(|end| end >= FALL_MS)
    });
    let poor_answers = answers.filter(|result| !result.good).count();
    let ratings = if withdrawn { f64::from(count) } else { f64::INFINITY };
    world.run(FALL_MS + 300_000);
    let seconds = (last - FALL_MS) as f64 / 1_000.0;
    ExposureRun { ratings, poor_answers: poor_answers as f64, seconds, world }
}

/// The false withdrawals in a number of version-days of steady quality.
fn false_withdrawals(days: u64, ratings_a_day: u64, offset: f64) -> f64 {
    let deployment = Deployment::Kencana;
    let document = deployment.document();
    let mut entry = document.version(&deployment.new_version()).unwrap().clone();
    let mut random = ChaCha8Rng::seed_from_u64(days);
    let mut withdrawn = 0;
    for life in 0..days / DAYS_A_LIFE {
        let truth = 0.8 + 0.16 * (life % 16) as f64 / 16.0;
        entry.prior_quality = Share::new(truth - offset).unwrap();
        let mut guard = VersionMonitor::default();
        for rating in 0..ratings_a_day * DAYS_A_LIFE {
            let now = Millis(rating * 86_400_000 / ratings_a_day);
            let good = random.random::<f64>() < truth;
            let news = EvidenceCounts { good: u64::from(good), poor: u64::from(!good), started: 0 };
            let baseline = guard.baseline(now, SizeClass::Short, &entry);
            if guard.rated(now, SizeClass::Short, baseline, news).is_some() {
                withdrawn += 1;
                break;
            }
        }
    }
    f64::from(withdrawn) * 1_000.0 / days as f64
}

pub fn run() {
    stats::head("Exposure to a version that falls from 0.9 to 0.5 good");
    for deployment in Deployment::ALL {
        for (share, target) in [(0.05, "≤ 60"), (1.0, "≤ 30")] {
            let (mut ratings, mut poor, mut seconds) = (vec![], vec![], vec![]);
            for seed in SEEDS {
                let run = measure(deployment, seed, share);
                ratings.push(run.ratings);
                poor.push(run.poor_answers);
                seconds.push(run.seconds);
                if seed == 1 && share < 1.0 {
                    plots::rollout(deployment, &run.world, FALL_MS);
                }
            }
            let name = deployment.name();
            let what = format!("ratings until withdrawn, at a share of {share}");
            stats::line(&what, name, &stats::spread(&ratings), target);
            stats::line("poor answers until then", name, &stats::spread(&poor), "");
            stats::line("seconds until then", name, &stats::spread(&seconds), "");
        }
    }
    for (ratings, offset) in [(2_000, 0.0), (10_000, 0.0), (10_000, -0.03), (10_000, 0.03)] {
        let what = format!(
            "false withdrawals in 1,000 version-days at {ratings} ratings a day, prior off by {}",
            -offset
        );
        let found = false_withdrawals(DAYS, ratings, offset);
        stats::line(&what, "both", &format!("{found:.2}"), "≤ 1");
    }
}
