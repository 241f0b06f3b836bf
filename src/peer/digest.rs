use super::*;

/// A summary of the sender's state, which two entry VMs exchange to find out what the other lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeDigest {
    /// The number of the exchange; the reply has the same.
    pub sequence: u64,
    /// The sender's entry for the membership list, as a receiver's list may lack it.
    pub sender: Option<VmMember>,
    /// The configuration in force at the sender.
    pub stamp: ConfigurationStamp,
    /// The revision of the membership list at the sender.
    pub members: ListStamp,
    /// The digest of the sender's set of withdrawals.
    pub withdrawals: u64,
    /// The time since any VM last read the log, as far as the sender knows.
    pub log_age: Option<Millis>,
    /// The time since any VM last read the membership list, as far as the sender knows.
    pub members_age: Option<Millis>,
    /// The peers that recently went out of the sender's reach or came back into it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rumours: Vec<VmId>,
}
