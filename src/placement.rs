//! Placement: which versions are loaded on which servers, and which entry VM may order that.
//!
//! Only one entry VM per pool sends orders at a time: the holder of the pool's [`PlacementLease`],
//! which is acquired and renewed by [`LeaseRecord`]s on the `placement` stream of the log. The
//! offset of the record that acquired the lease is the fencing number of the holder's orders.
//!
//! [`PlacementPlan`] is a pure function that computes which versions should be loaded, given the
//! demand, the roll-out stages, the memory of servers and the versions loaded already.
//! [`PoolPlacement`] turns the difference into [`EngineOrder`]s, for a few servers at a time and
//! within the rate limit of the weight store. Before a version is unloaded from a server, all entry
//! VMs drain it there: their [`DrainTable`]s keep them from starting requests on it.

use super::*;

mod demand_tracker;
mod drain_progress;
mod drain_table;
mod engine_order;
mod lease_record;
mod lease_table;
mod load_rate_limiter;
mod order_progress;
mod order_step;
mod placement_lease;
mod placement_message;
mod placement_plan;
mod placement_state;
mod placement_status;
mod placement_view;
mod pool_context;
mod pool_placement;

pub use {
    demand_tracker::DemandTracker,
    drain_progress::DrainProgress,
    drain_table::DrainTable,
    engine_order::{EngineOrder, OrderKind},
    lease_record::{LeaseRecord, LeaseStep},
    lease_table::{FoldedLease, LeaseState, LeaseTable, LeaseVerdict},
    load_rate_limiter::LoadRateLimiter,
    order_progress::{OrderProgress, OrderState},
    placement_lease::{LeaseIntent, OrderRight, PlacementLease},
    placement_message::{PlacementMessage, ServerVersion, VersionBusy, VersionRuns},
    placement_plan::PlacementPlan,
    placement_state::PlacementState,
    placement_status::{PlacementStatus, ServerPlacementStatus},
    placement_view::{PlacementView, ServerAvailability, ServerView, VersionNeed},
    pool_context::{PlacementAction, PoolContext},
    pool_placement::PoolPlacement,
};
