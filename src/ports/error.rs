use super::*;

/// Why a call to the platform has no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The service certainly did not take the call.
    #[error("The platform at {address} refused the call with status {status}.")]
    Refused {
        /// The address that was called.
        address: SmolStr,
        /// The status of the answer.
        status: u16,
    },
    /// The records asked for are no longer kept.
    #[error("The stream starts at offset {oldest}; older records are no longer kept.")]
    Trimmed {
        /// The oldest offset kept.
        oldest: Offset,
    },
    /// No connection could be opened, so the call had no effect.
    #[error("No connection to the platform at {address} could be opened: {cause}.")]
    Unreachable {
        /// The address that was called.
        address: SmolStr,
        /// The cause.
        cause: SmolStr,
    },
    /// The answer was lost; the call may have taken effect.
    #[error("The answer of the platform at {address} was lost: {cause}.")]
    Lost {
        /// The address that was called.
        address: SmolStr,
        /// The cause.
        cause: SmolStr,
    },
    /// The answer cannot be read.
    #[error("The answer of the platform at {address} cannot be read: {cause}.")]
    Malformed {
        /// The address that was called.
        address: SmolStr,
        /// The cause.
        cause: SmolStr,
    },
}
