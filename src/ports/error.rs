use super::*;

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The service answered with an error status, so the call had no effect.
    #[error("The platform at {address} refused the call with status {status}.")]
    Refused {
        /// The address that was called.
        address: SmolStr,
        /// The HTTP status of the answer.
        status: u16,
    },
    /// Retention removed the requested records.
    #[error("The stream starts at offset {oldest}; older records are no longer kept.")]
    Trimmed {
        /// The oldest offset that the stream still keeps.
        oldest: Offset,
    },
    /// No connection could be opened, so the call had no effect.
    #[error("No connection to the platform at {address} could be opened: {cause}.")]
    Unreachable {
        /// The address that was called.
        address: SmolStr,
        /// The underlying error.
        cause: SmolStr,
    },
    /// The call was sent but its answer was not received, so it may have taken effect.
    #[error("The answer of the platform at {address} was lost: {cause}.")]
    Lost {
        /// The address that was called.
        address: SmolStr,
        /// The underlying error.
        cause: SmolStr,
    },
    /// The answer cannot be parsed; the call may have taken effect.
    #[error("The answer of the platform at {address} cannot be read: {cause}.")]
    Malformed {
        /// The address that was called.
        address: SmolStr,
        /// The underlying error.
        cause: SmolStr,
    },
}
