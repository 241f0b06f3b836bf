//! Requests that may run at most once: tickets and claims.
//!
//! A request with a [`Ticket`] is run only by the incarnation of the entry VM that issued the
//! ticket. A key that the caller generated is claimed on one of the `claims-NN` streams of the log.
//! The [`ClaimFold`] of the stream determines which entry VM holds the key, and only the holder
//! sends the request to a server. A [`ClaimBatcher`] appends the claims of all entry VMs in
//! batches and reads its stream back. Neither way needs a lease or synchronised clocks.

use super::*;

mod at_most_once_table;
mod batch;
mod batcher;
mod fold;
mod key;
mod message;
mod name;
mod stream;
mod ticket;
mod ticket_error;
mod verdict;
mod window;

pub use {
    at_most_once_table::{AtMostOnceEntry, AtMostOnceKey, AtMostOnceStage, AtMostOnceTable},
    batch::{ClaimBatch, ClaimEntry},
    batcher::{ClaimBatcher, ClaimBatcherAction},
    fold::ClaimFold,
    key::{ClaimKey, IdempotencyKey},
    message::ClaimMessage,
    name::ClaimName,
    stream::ClaimStream,
    ticket::Ticket,
    ticket_error::TicketError,
    verdict::{ClaimHolder, ClaimVerdict},
    window::KeyWindow,
};
