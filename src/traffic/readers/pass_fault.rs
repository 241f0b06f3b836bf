use super::*;

/// The reason why a part of an answer cannot be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) enum PassFault {
    /// The exchange with the caller has ended, or has cancelled the run.
    Gone,
    /// The caller has lost its answer because it did not read.
    Lost,
    /// There is no memory for the part.
    OutOfMemory(BudgetExceeded),
}

impl From<PassFault> for AttemptFault {
    fn from(fault: PassFault) -> Self {
        match fault {
            PassFault::Gone | PassFault::Lost => Self::Cancelled,
            PassFault::OutOfMemory(_) => Self::OutOfMemory,
        }
    }
}
