use super::*;

/// The error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store refused the call; it had no effect.
    #[error("The store refused the call with status {status}.")]
    Refused {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// The requested records have been deleted.
    #[error("The stream's records before offset {first} are no longer kept.")]
    Trimmed {
        /// The oldest offset kept.
        first: Offset,
    },
    /// The stream does not end at the expected offset; nothing was appended.
    #[error("The stream ends at offset {end}, not where the append expected it to.")]
    Moved {
        /// The end of the stream.
        end: Offset,
    },
    /// No connection could be opened; the call had no effect.
    #[error("No connection to the store could be opened ({cause}).")]
    Unreachable {
        /// The cause.
        cause: SmolStr,
    },
    /// There was no answer; an append may have succeeded or may still succeed.
    #[error("The store's answer was lost ({cause}).")]
    Lost {
        /// The cause.
        cause: SmolStr,
    },
    /// The answer cannot be parsed.
    #[error("The store's answer cannot be read ({cause}).")]
    Malformed {
        /// The cause.
        cause: SmolStr,
    },
}
