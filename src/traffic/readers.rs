//! Callers that read slowly: what is held for each of them, how long a server may wait for them,
//! and who loses its answer when they hold too much.
//!
//! [`ReaderBounds`] decides, without I/O. An [`answer_queue`](queue) carries the parts of one run to
//! its caller and counts their bytes; a [`ReaderTable`] knows all callers for whom bytes are held.

use super::*;

mod loss_cause;
mod open_reader;
mod pass_fault;
mod pass_verdict;
mod queue_receiver;
mod queue_sender;
mod queue_state;
mod reader_bounds;
mod reader_table;
mod reader_view;

pub use {
    loss_cause::LossCause, pass_verdict::PassVerdict, reader_bounds::ReaderBounds,
    reader_table::ReaderTable, reader_view::ReaderView,
};
pub(super) use {
    open_reader::OpenReader,
    pass_fault::PassFault,
    queue_receiver::QueueReceiver,
    queue_sender::QueueSender,
    queue_state::{QueuedPart, queue},
};

use queue_state::QueueState;
