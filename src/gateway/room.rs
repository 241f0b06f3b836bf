//! Room: what goes first, waits or is turned away where a pool has too little room.

use super::*;

mod bid;
mod pool_room;
mod retry_purpose;
mod retry_spending;
mod room_check;
mod server_search;

pub use {
    bid::Bid,
    pool_room::{PoolRoom, RoomDecision},
};

pub(super) use retry_purpose::RetryPurpose;
