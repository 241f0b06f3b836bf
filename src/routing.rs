//! Which version a request runs on.
//!
//! A [`RoutingPolicy`] turns what is known of a request into a [`RoutePlan`]: the versions to try
//! in order, and why the others were passed over.

use super::*;

mod cheapest;
mod plan;
mod policy;
mod profile;

pub use {
    cheapest::CheapestPolicy,
    plan::{PlanStep, RoutePlan},
    policy::{RoutingPolicy, RoutingView},
    profile::{RequestProfile, SizeClass},
};
