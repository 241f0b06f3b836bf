//! Room: what goes first, waits or is turned away where a pool has too little room.

use super::*;

mod bid;
mod pool_room;
mod retry_purpose;
mod retry_spending;
mod room_check;
mod room_counts;
mod server_search;

pub use {
    bid::Bid,
    pool_room::{PoolRoom, RoomDecision},
    room_counts::RoomCounts,
};

pub(super) use retry_purpose::RetryPurpose;
