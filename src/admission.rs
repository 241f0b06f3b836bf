//! Admission control: which request runs next, and which is refused.
//!
//! Each pool has a [`FairQueue`], which shares expected slot time fairly between teams and,
//! within a team, between subscribers. [`TeamLimiter`] enforces the teams' limits. [`QueueWaitLimiter`]
//! bounds the time that a request may wait in a queue.

use super::*;

mod fair_queue;
mod fair_scheduler;
mod queue_wait_limiter;
mod team_limiter;
mod team_queue;
mod token_bucket;

use team_queue::TeamQueue;
pub use {
    fair_queue::{FairQueue, QueueEntry},
    fair_scheduler::FairScheduler,
    queue_wait_limiter::QueueWaitLimiter,
    team_limiter::{LimitShare, TeamDemand, TeamLimiter},
    token_bucket::TokenBucket,
};
