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
    /// The sender says who it is, in answer to a message that named another receiver.
    Introduce,
    /// The sender is alive and wants a reply.
    Exchange(ExchangeDigest),
    /// The reply to an exchange.
    ExchangeReply(ExchangeDigest),
    /// A new configuration is in force at the sender.
    Announce(ConfigurationStamp),
    /// The sender wants the configuration if it is ahead of this stamp.
    FetchConfiguration(ConfigurationStamp),
    /// The configuration in force at the sender.
    Configuration(ConfigurationState),
    /// The membership list has changed.
    Members(MemberDelta),
    /// The sender wants the whole membership list.
    FetchMembers,
    /// Versions that take no new work.
    Withdrawals(Vec<Withdrawal>),
    /// What VMs of one data centre report together.
    Shares(ShareMessage),
    /// What a caller's session is pinned to.
    Pin(PinMessage),
    /// About claims.
    Claim(ClaimMessage),
    /// About bills.
    Bill(BillMessage),
    /// About requests that were in flight at crashes.
    Suspects(Vec<SuspectNotice>),
    /// About the placement of versions on servers.
    Placement(PlacementMessage),
    /// The sender's load and its evidence of versions.
    Policy(Box<PolicyDigest>),
}

impl PeerMessage {
    /// Returns the name of the kind, for metrics and logs.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Introduce => "introduce",
            Self::Exchange(_) => "exchange",
            Self::ExchangeReply(_) => "exchange-reply",
            Self::Announce(_) => "announce",
            Self::FetchConfiguration(_) => "fetch-configuration",
            Self::Configuration(_) => "configuration",
            Self::Members(_) => "members",
            Self::FetchMembers => "fetch-members",
            Self::Withdrawals(_) => "withdrawals",
            Self::Shares(_) => "shares",
            Self::Pin(_) => "pin",
            Self::Claim(_) => "claim",
            Self::Bill(_) => "bill",
            Self::Suspects(_) => "suspects",
            Self::Placement(_) => "placement",
            Self::Policy(_) => "policy",
        }
    }
}
