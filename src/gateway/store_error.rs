use super::*;

/// Why a call to the store has no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store refused the call; it had no effect.
    #[error("The store refused the call with status {status}.")]
    Refused {
        /// The status of the answer.
        status: u16,
    },
    /// The records asked for are no longer kept.
    #[error("The stream's records before offset {first} are no longer kept.")]
    Trimmed {
        /// The oldest offset kept.
        first: Offset,
    },
    /// The stream does not end where the append expected it to; nothing was appended.
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
    /// There was no answer; an append may yet take effect.
    #[error("The store's answer was lost ({cause}).")]
    Lost {
        /// The cause.
        cause: SmolStr,
    },
    /// The answer cannot be read.
    #[error("The store's answer cannot be read ({cause}).")]
    Malformed {
        /// The cause.
        cause: SmolStr,
    },
}
