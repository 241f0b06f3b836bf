use super::*;

/// Identifies an incarnation of an entry VM, which is one run of its process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerName {
    /// The VM.
    pub vm: VmId,
    /// The incarnation, which is greater for each later start of the VM.
    pub incarnation: Incarnation,
}

impl Display for PeerName {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.vm, self.incarnation)
    }
}

/// A message between entry VMs. Messages may be lost, reordered or delivered more than once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Tells the receiver the sender's incarnation, in answer to a message that was addressed to
    /// another one.
    Introduce,
    /// Shows that the sender is alive, and asks for a reply.
    Exchange(ExchangeDigest),
    /// The reply to an exchange.
    ExchangeReply(ExchangeDigest),
    /// Announces that a new configuration is in force at the sender.
    Announce(ConfigurationStamp),
    /// Requests the receiver's configuration if it is newer than this one.
    FetchConfiguration(ConfigurationStamp),
    /// The configuration in force at the sender.
    Configuration(ConfigurationState),
    /// A change of the membership list.
    Members(MemberDelta),
    /// Requests the whole membership list.
    FetchMembers,
    /// The versions that were withdrawn and take no new requests.
    Withdrawals(Vec<Withdrawal>),
    /// Reports of entry VMs that are aggregated along the tree of their data centre.
    Shares(ReportMessage),
    /// The version that a caller's session is pinned to.
    Pin(PinMessage),
    /// A message about claims of idempotency keys.
    Claim(ClaimMessage),
    /// A message about bills.
    Bill(BillMessage),
    /// Notices about requests that were in flight when a backend server crashed.
    Suspects(Vec<SuspectNotice>),
    /// A message about the placement of versions on servers.
    Placement(PlacementMessage),
    /// The sender's load and its evidence about the quality of versions.
    Policy(Box<PolicyDigest>),
}

impl PeerMessage {
    /// Returns the name of the variant for metrics and logs.
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
