//! Which request runs next, and which is refused.
//!
//! Each pool has a [`FairQueue`], fair by team and, inside a team, by subscriber, in expected
//! slot time. [`LimitBook`] holds the teams' limits. [`LoadGate`] decides how long a request may wait.

use super::*;

mod fair_queue;
mod fair_tags;
mod limit_book;
mod load_gate;
mod team_queue;
mod token_bucket;

use team_queue::TeamQueue;
pub use {
    fair_queue::{FairQueue, QueueEntry},
    fair_tags::FairTags,
    limit_book::{LimitBook, LimitShare, TeamDemand},
    load_gate::LoadGate,
    token_bucket::TokenBucket,
};
