//! Admission control: which request runs next, and which is refused.
//!
//! Each pool has a [`FairQueue`], which shares expected slot time fairly between teams and,
//! within a team, between subscribers. [`LimitBook`] enforces the teams' limits. [`LoadGate`]
//! bounds the time that a request may wait in a queue.

use super::*;

mod fair_queue;
mod fair_scheduler;
mod limit_book;
mod load_gate;
mod team_queue;
mod token_bucket;

use team_queue::TeamQueue;
pub use {
    fair_queue::{FairQueue, QueueEntry},
    fair_scheduler::FairScheduler,
    limit_book::{LimitBook, LimitShare, TeamDemand},
    load_gate::LoadGate,
    token_bucket::TokenBucket,
};
