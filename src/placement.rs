//! Which versions are loaded on which servers, and who may order that.
//!
//! One entry VM per pool orders at a time. Its right is a [`PlacementLease`], taken and renewed by
//! [`LeaseRecord`]s on the `placement` stream of the log; the offset of the record that took the
//! lease is the fencing number of its orders. [`PlacementPlan`] is a pure function from demand,
//! roll-out stages, memory and what is loaded to what should be loaded. [`PoolPlacement`] turns
//! the difference into [`EngineOrder`]s, a few servers at a time and within the rate of the weight
//! store. A version is drained on a server, by [`DrainTable`]s of all entry VMs, before it is
//! unloaded there.

use super::*;

mod demand_tracker;
mod drain_progress;
mod drain_table;
mod engine_order;
mod lease_record;
mod lease_table;
mod order_progress;
mod order_step;
mod placement_lease;
mod placement_message;
mod placement_plan;
mod placement_state;
mod placement_status;
mod placement_view;
mod pool_placement;
mod pool_scene;
mod weight_budget;

pub use {
    demand_tracker::DemandTracker,
    drain_progress::DrainProgress,
    drain_table::DrainTable,
    engine_order::{EngineOrder, OrderKind},
    lease_record::{LeaseRecord, LeaseStep},
    lease_table::{FoldedLease, LeaseState, LeaseTable, LeaseVerdict},
    order_progress::{OrderProgress, OrderState},
    placement_lease::{LeaseWish, OrderRight, PlacementLease},
    placement_message::{PlacementMessage, ServerVersion, VersionBusy, VersionRuns},
    placement_plan::PlacementPlan,
    placement_state::PlacementState,
    placement_status::{PlacementStatus, ServerPlacementStatus},
    placement_view::{PlacementView, ServerReach, ServerView, VersionNeed},
    pool_placement::PoolPlacement,
    pool_scene::{PlacementAction, PoolScene},
    weight_budget::WeightBudget,
};
