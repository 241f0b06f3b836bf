use super::*;

/// A message between entry VMs about bills. Request numbers are those of the bills' origin, the
/// entry VM that opened them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BillMessage {
    /// Asks the receiver to keep copies of the sender's bills.
    Keep(Vec<BillRecord>),
    /// Updates copies at the receiver to the stages in which the sender closed the bills.
    Close(Vec<(RequestNumber, BillStage)>),
    /// Confirms to the origin which bills the sender holds copies of.
    Kept {
        /// The requests with an open copy.
        open: Vec<RequestNumber>,
        /// The requests with a closed copy.
        closed: Vec<RequestNumber>,
    },
    /// Tells the receiver that it may drop its copies, because the bills are on the log.
    Settled(Vec<RequestNumber>),
    /// Lists to the origin the copies that the sender holds, so that it can answer with
    /// [`Self::Settled`] if it has missed that.
    Holding(Vec<RequestNumber>),
}
