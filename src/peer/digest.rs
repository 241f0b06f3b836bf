use super::*;

/// What two entry VMs compare when they exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeDigest {
    /// The number of the exchange, repeated in the reply.
    pub sequence: u64,
    /// The sender as the membership list would have it.
    pub sender: Option<VmMember>,
    /// The configuration in force at the sender.
    pub stamp: ConfigurationStamp,
    /// The reading of the membership list at the sender.
    pub members: ListStamp,
    /// The digest of the sender's set of withdrawals.
    pub withdrawals: u64,
    /// How long ago any VM read the log, as far as the sender knows.
    pub log_age: Option<Millis>,
    /// How long ago any VM read the membership list, as far as the sender knows.
    pub members_age: Option<Millis>,
    /// Peers that went out of the sender's reach or came back of late.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rumours: Vec<VmId>,
}
