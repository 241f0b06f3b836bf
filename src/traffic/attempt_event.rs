use super::*;

/// A part of an answer, sent from the task of an attempt to the exchange with the caller.
#[derive(Debug)]
pub(super) enum AttemptEvent {
    /// A complete answer that is not streamed.
    Whole {
        /// The status and headers.
        head: Box<http::response::Parts>,
        /// The complete body.
        body: HeldBytes,
    },
    /// The status and headers of a streamed answer.
    Head(Box<http::response::Parts>),
    /// A chunk of the body of a streamed answer.
    Chunk(Bytes),
    /// The end of a streamed answer that was received completely.
    End,
}

impl QueuedPart for AttemptEvent {
    /// A complete body has a reservation of its own.
    fn held_bytes(&self) -> u64 {
        match self {
            Self::Chunk(chunk) => chunk.len() as u64,
            Self::Whole { .. } | Self::Head(_) | Self::End => 0,
        }
    }
}
