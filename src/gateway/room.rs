//! Room: what goes first, waits or is turned away where a pool has too little room.

use super::*;

mod retry_purpose;
mod retry_spending;
mod server_search;

pub(super) use retry_purpose::RetryPurpose;
