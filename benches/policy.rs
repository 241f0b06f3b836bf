//! Measures the decisions: the shipping core in virtual time against small fake servers.
//!
//! `cargo bench --bench policy` runs everything; `cargo bench --bench policy -- NAME…` runs the
//! named parts: cost, exposure, blocking, slow, crest, goodput, decision.

#[path = "policy/blocking.rs"]
mod blocking;
#[path = "policy/cost.rs"]
mod cost;
#[path = "policy/crest.rs"]
mod crest;
#[path = "policy/decision.rs"]
mod decision;
#[path = "policy/deployment.rs"]
mod deployment;
#[path = "policy/exposure.rs"]
mod exposure;
#[path = "policy/fake_server.rs"]
mod fake_server;
#[path = "policy/goodput.rs"]
mod goodput;
#[path = "policy/naive.rs"]
mod naive;
#[path = "policy/plots.rs"]
mod plots;
#[path = "policy/router.rs"]
mod router;
#[path = "policy/slow.rs"]
mod slow;
#[path = "policy/stats.rs"]
mod stats;
#[path = "policy/workload.rs"]
mod workload;
#[path = "policy/world.rs"]
mod world;

/// The seeds of every part.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

fn main() {
    let names: Vec<String> =
        std::env::args().skip(1).filter(|name| !name.starts_with('-')).collect();
    let parts: [(&str, fn()); 7] = [
        ("cost", cost::run),
        ("exposure", exposure::run),
        ("blocking", blocking::run),
        ("slow", slow::run),
        ("crest", crest::run),
        ("goodput", goodput::run),
        ("decision", decision::run),
    ];
    for (name, part) in parts {
        if names.is_empty() || names.iter().any(|wanted| wanted == name) {
            part();
        }
    }
}
