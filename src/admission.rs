//! Which request runs next.
//!
//! Each pool has a queue. The queue is fair by team and, inside a team, by subscriber.

use super::*;

mod fair_queue;

pub use fair_queue::{FairQueue, QueueEntry};
