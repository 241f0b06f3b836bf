use super::*;

/// One start of an entry VM, as a sender of messages.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerName {
    /// The VM.
    pub vm: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

impl Display for PeerName {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.vm, self.incarnation)
    }
}

/// A message between entry VMs. Delivery is neither certain nor in order nor once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender is alive and has this revision of the configuration.
    Heartbeat {
        /// The revision in force at the sender.
        revision: Revision,
    },
}
