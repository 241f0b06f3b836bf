//! Requests that may run at most once: tickets and claims.
//!
//! A request with a [`Ticket`] is run only by the incarnation of the entry VM that issued the
//! ticket. A key that the caller generated is claimed on one of the `claims-NN` streams of the log.
//! The [`ClaimFold`] of the stream determines which entry VM holds the key, and only the holder
//! sends the request to a server. A [`ClaimBatcher`] appends the claims of all entry VMs in
//! batches and reads its stream back. Neither way needs a lease or synchronised clocks.

use super::*;

mod batch;
mod batcher;
mod fold;
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
    batcher::{ClaimBatcher, ClaimBatcherAction},
    fold::ClaimFold,
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
