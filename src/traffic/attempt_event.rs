use super::*;

/// What an attempt's task passes on to the caller's exchange.
#[derive(Debug)]
pub(super) enum AttemptEvent {
    /// The whole answer.
    Whole {
        /// The head.
        head: Box<http::response::Parts>,
        /// The body.
        body: Bytes,
    },
    /// The head of a stream.
    Head(Box<http::response::Parts>),
    /// A part of a stream.
    Chunk(Bytes),
    /// The end of a stream that is whole.
    End,
}
