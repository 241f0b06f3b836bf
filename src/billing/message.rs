use super::*;

/// What entry VMs tell each other about bills. Requests are those of the bills' origin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BillMessage {
    /// The origin asks the receiver to keep copies.
    Keep(Vec<BillRecord>),
    /// The origin closes bills whose open copies the receiver keeps.
    Close(Vec<(RequestNumber, BillStage)>),
    /// The receiver keeps them: open ones and closed ones.
    Kept {
        /// The requests whose open bill is kept.
        open: Vec<RequestNumber>,
        /// The requests whose closed bill is kept.
        closed: Vec<RequestNumber>,
    },
    /// The bills are on the log; the copies may be dropped.
    Settled(Vec<RequestNumber>),
    /// The receiver still holds copies of these.
    Holding(Vec<RequestNumber>),
}
