use super::*;

/// Why an engine did not confirm an order.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The engine has seen a newer fencing token, so another entry VM holds the lease.
    #[error("The engine has seen a newer fencing number; another entry VM holds the lease.")]
    OldFence,
    /// The engine, or the weight store that it loads from, asks for a later retry.
    #[error("The engine asks to wait for {retry_after}.")]
    Busy {
        /// The time to wait before the retry.
        retry_after: Millis,
    },
    /// The engine did not accept the order, so it had no effect.
    #[error("The engine did not take the order: {cause}.")]
    Refused {
        /// The underlying error.
        cause: SmolStr,
    },
    /// The order expired before it was sent, so it had no effect.
    #[error("The order expired before it was sent.")]
    Expired,
    /// The order was sent but not answered, so it may have taken effect.
    #[error("The answer to the order was lost: {cause}.")]
    Lost {
        /// The underlying error.
        cause: SmolStr,
    },
}
