//! Seeded arrivals like the deployments': bursts, a few long jobs, a few heavy subscribers.

use crate::deployment::Deployment;
use guavapass::control::AnswerMode;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP_MS: u64 = 10;

/// One request as its caller and the engines know it.
#[derive(Clone, Debug)]
pub struct Job {
    pub at: u64,
    pub team: &'static str,
    pub key: String,
    pub mode: AnswerMode,
    pub prompt: u64,
    pub most: u64,
    pub output: u64,
    pub is_long: bool,
    /// Decides which versions answer it well.
    pub luck: u64,
}

/// What arrives in a time.
#[derive(Clone, Debug)]
pub struct Demand {
    pub deployment: Deployment,
    pub from: u64,
    pub to: u64,
    pub short_per_second: f64,
    pub long_per_second: f64,
    /// The factor on short work in bursts of 2 s, one in about 20 s.
    pub burst: f64,
    /// Sends this factor of the short work on top, from one team.
    pub heavy: Option<(&'static str, f64)>,
}

impl Demand {
    /// Returns the jobs in order of time.
    pub fn jobs(&self, seed: u64) -> Vec<Job> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (short_teams, long_teams) = self.deployment.teams();
        let document = self.deployment.document();
        let subscribers = |team: &str| -> Vec<String> {
            let entry = &document.teams[&team.parse().unwrap()];
            entry.keys.iter().map(|key| key.subscriber.to_string()).collect()
        };
        let mut jobs = Vec::new();
        let mut burst_until = 0;
        let mut at = self.from;
        while at < self.to {
            if at >= burst_until && random.random::<f64>() < STEP_MS as f64 / 20_000.0 {
                burst_until = at + 2_000;
            }
            let factor = if at < burst_until { self.burst } else { 1.0 };
            let mut add = |team: &'static str, is_long: bool, random: &mut ChaCha8Rng| {
                let keys = subscribers(team);
                // The first subscriber of a team sends most of its work.
                let index = if random.random::<f64>() < 0.7 {
                    0
                } else {
                    random.random_range(0..keys.len())
                };
                let at = at + random.random_range(0..STEP_MS);
                jobs.push(job(at, team, &keys[index], is_long, random));
            };
            let step = STEP_MS as f64 / 1_000.0;
            for _ in 0..poisson(&mut random, self.short_per_second * factor * step) {
                let index = (random.random::<f64>().powi(2) * short_teams.len() as f64) as usize;
                add(short_teams[index], false, &mut random);
            }
            for _ in 0..poisson(&mut random, self.long_per_second * step) {
                let index = random.random_range(0..long_teams.len());
                add(long_teams[index], true, &mut random);
            }
            if let Some((team, times)) = self.heavy {
                for _ in 0..poisson(&mut random, self.short_per_second * times * step) {
                    add(team, false, &mut random);
                }
            }
            at += STEP_MS;
        }
        jobs.sort_by_key(|job| job.at);
        jobs
    }
}

fn job(
    at: u64,
    team: &'static str,
    subscriber: &str,
    is_long: bool,
    random: &mut ChaCha8Rng,
) -> Job {
    let (prompt, output) = if is_long {
        (random.random_range(6_000..20_000), random.random_range(600..2_400))
    } else {
        (random.random_range(50..600), random.random_range(20..160))
    };
    let mode = if random.random::<f64>() < 0.5 { AnswerMode::Stream } else { AnswerMode::Whole };
    Job {
        at,
        team,
        key: format!("{subscriber}-key"),
        mode,
        prompt,
        most: if is_long { 2_400 } else { 200 },
        output,
        is_long,
        luck: random.random(),
    }
}

pub fn poisson(random: &mut ChaCha8Rng, mean: f64) -> u64 {
    let (limit, mut product, mut count) = ((-mean).exp(), random.random::<f64>(), 0);
    while product > limit {
        product *= random.random::<f64>();
        count += 1;
    }
    count
}
