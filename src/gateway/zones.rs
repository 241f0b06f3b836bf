//! Evacuated data centres: servers that operators want to get no more work.
//!
//! Operators order the evacuation of a data centre with a record of their stream and end it by
//! removing the record. The order is state: it is read again after a restart, and the newest record
//! counts, whatever its source. [`evacuations`] applies the orders, [`EvacuatedCentres`] holds
//! what follows from them for the choice of a server.
//!
//! See `docs/design/zones.md`.

use super::*;

mod evacuated_centres;
mod evacuation_order;
mod evacuations;

pub use {evacuated_centres::EvacuatedCentres, evacuation_order::EvacuationOrder};

pub(super) use evacuations::EvacuationReads;
