use super::*;

/// Why an engine did not confirm an order.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The engine has seen a newer fencing number.
    #[error("The engine has seen a newer fencing number; another entry VM holds the lease.")]
    OldFence,
    /// The engine or the weight store behind it asks to wait.
    #[error("The engine asks to wait for {retry_after}.")]
    Busy {
        /// How long to wait.
        retry_after: Millis,
    },
    /// The engine certainly did not take the order.
    #[error("The engine did not take the order: {cause}.")]
    Refused {
        /// The cause.
        cause: SmolStr,
    },
    /// The order expired before it was written.
    #[error("The order expired before it was sent.")]
    Expired,
    /// The answer was lost; the engine may have taken the order.
    #[error("The answer to the order was lost: {cause}.")]
    Lost {
        /// The cause.
        cause: SmolStr,
    },
}
