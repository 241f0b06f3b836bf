//! Evacuated data centres and cold servers.
//!
//! Operators order the evacuation of a data centre with a record of their stream and end it by
//! removing the record. The order is state: it is read again after a restart, and the newest record
//! counts, whatever its source. [`evacuations`] applies the orders, [`EvacuatedCentres`] holds
//! what follows from them for the choice of a server.
//!
//! Servers that are taken back, or have just started, are cold and bear only a few requests:
//! [`cold_servers`].
//!
//! See `docs/design/zones.md`.

use super::*;

mod cold_report;
mod cold_servers;
mod cold_start;
mod evacuated_centres;
mod evacuation_order;
mod evacuations;
mod server_warmth;

pub use {
    cold_report::ColdReport, cold_start::ColdStart, evacuated_centres::EvacuatedCentres,
    evacuation_order::EvacuationOrder, server_warmth::ServerWarmth,
};

pub(super) use evacuations::EvacuationReads;
