//! What entry VMs tell each other.
//!
//! [`PeerTable`] holds the entry VMs that this one knows. [`PeerMessage`] is what travels between
//! them; each variant's payload belongs to the module that sends it.

use super::*;

mod message;
mod peer_state;
mod peer_table;

pub use {
    message::{PeerMessage, PeerName},
    peer_state::PeerState,
    peer_table::PeerTable,
};
