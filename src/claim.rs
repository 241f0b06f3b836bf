//! Requests that may run at most once: tickets and claims.
//!
//! A [`Ticket`] is run by the incarnation that issued it and by no other. A caller's own key is
//! claimed on one of the `claims-NN` streams of the log: the [`ClaimFold`] of the stream says who
//! holds the key, and only the holder sends. A [`ClaimGatherer`] appends the claims of all entry
//! VMs in batches and reads its stream back. Neither needs a lease, or clocks that agree.

use super::*;

mod batch;
mod fold;
mod gatherer;
mod key;
mod message;
mod name;
mod once_table;
mod stream;
mod ticket;
mod ticket_error;
mod verdict;
mod window;

pub use {
    batch::{ClaimBatch, ClaimEntry},
    fold::ClaimFold,
    gatherer::{ClaimGatherer, GathererAction},
    key::{ClaimKey, IdempotencyKey},
    message::ClaimMessage,
    name::ClaimName,
    once_table::{OnceEntry, OnceKey, OnceStage, OnceTable},
    stream::ClaimStream,
    ticket::Ticket,
    ticket_error::TicketError,
    verdict::{ClaimHolder, ClaimVerdict},
    window::KeyWindow,
};
