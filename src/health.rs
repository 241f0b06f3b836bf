//! The backend servers: what they are, what runs on them and how well they do.

use super::*;

mod server_state;
mod server_table;
mod suspect_table;

pub use {
    server_state::{ServerState, ServerTrouble},
    server_table::ServerTable,
    suspect_table::{CrashId, SuspectNotice, SuspectStanding, SuspectTable},
};
