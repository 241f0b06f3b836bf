//! Model routing: the selection of the version that a request runs on.
//!
//! A [`RoutingPolicy`] derives a [`RoutePlan`] from a [`RequestProfile`]: the versions to try in
//! order, and why the others were passed over. [`QualityPolicy`] chooses the cheapest plan that
//! meets the team's quality target according to ratings of earlier answers; [`CheapestPolicy`]
//! uses only the configured priors. [`VersionMonitor`] detects versions whose quality drops or whose
//! error rate rises.

use super::*;

mod cheapest;
mod cusum_test;
mod evidence;
mod evidence_counters;
mod plan;
mod plan_search;
mod policy;
mod profile;
mod quality;
mod quality_estimate;
mod quality_surplus;
mod rollout_gate;
mod version_estimates;
mod version_monitor;

use plan_search::{PlanCandidate, PlanChoice, PlanSearch};
pub use {
    cheapest::CheapestPolicy,
    cusum_test::CusumTest,
    evidence::{AnswerEvidence, EvidenceCounts, EvidenceDigest, EvidenceEntry, RatingSource},
    evidence_counters::EvidenceCounters,
    plan::{PlanStep, RoutePlan},
    policy::{RoutingPolicy, RoutingView},
    profile::{RequestProfile, SizeClass},
    quality::QualityPolicy,
    quality_estimate::QualityEstimate,
    quality_surplus::QualitySurplus,
    rollout_gate::RolloutGate,
    version_estimates::VersionEstimates,
    version_monitor::{VersionMonitor, WithdrawalProposal},
};
