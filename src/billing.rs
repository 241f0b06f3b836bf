//! Bills: each request that ran is billed exactly once.
//!
//! A [`BillLedger`] opens a bill before a request starts and replicates it to peers, closes it when
//! the request has ended, and appends it to the `bills` stream in batches. Appends and messages are
//! idempotent, because the [`BillFold`] of the stream counts only the first final record of each
//! key.

use super::*;

mod append_schedule;
mod attempt_outcome_summary;
mod fold;
mod key;
mod ledger;
mod message;
mod part;
mod record;
mod report;
mod unsettled;

use append_schedule::AppendSchedule;

pub use {
    attempt_outcome_summary::AttemptOutcomeSummary,
    fold::{BillFold, BillState},
    key::BillKey,
    ledger::{BillAction, BillLedger},
    message::BillMessage,
    part::{BillPart, PartCharge},
    record::{BillRecord, BillStage},
    report::{BillReport, TeamTotal},
    unsettled::UnsettledRule,
};
