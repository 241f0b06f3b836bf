use super::*;

/// Why an idempotency key cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// The key is neither a ticket nor a UUID of version 7.
    #[error(
        "The Idempotency-Key {text:?} must be a ticket of POST /guavapass/v1/tickets or a UUID of version 7."
    )]
    Key {
        /// The text that was read.
        text: SmolStr,
    },
    /// The text has the prefix of a ticket but is not a well-formed one.
    #[error("The ticket {text:?} is damaged; send it as it was issued.")]
    Damaged {
        /// The text that was read.
        text: SmolStr,
    },
}
