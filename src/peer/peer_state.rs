use super::*;

/// The state of another entry VM, as far as this one knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// The VM.
    pub vm: VmId,
    /// Its latest known incarnation; none before its first message.
    pub incarnation: Option<Incarnation>,
    /// The address of its listener for peers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it is live or leaving the cluster.
    pub member: MemberState,
    /// Whether it is on the membership list.
    pub listed: bool,
    /// When its last message was received; none before the first one.
    pub last_heard: Option<Millis>,
    /// The newest configuration that it is known to have in force.
    pub revision: Revision,
    /// The sequence number and send time of the exchange whose reply is awaited.
    pub pending_exchange: Option<(u64, Millis)>,
    /// The number of consecutive exchanges or messages that failed.
    pub consecutive_failures: u32,
}

impl PeerState {
    /// The number of consecutive failures at which a peer is considered out of reach.
    pub const MAX_CONSECUTIVE_FAILURES: u32 = 2;

    pub(super) fn new(member: &VmMember, listed: bool) -> Self {
        Self {
            vm: member.id.clone(),
            incarnation: None,
            address: member.address,
            data_centre: member.data_centre.clone(),
            member: member.state,
            listed,
            last_heard: None,
            revision: Revision(0),
            pending_exchange: None,
            consecutive_failures: 0,
        }
    }

    /// Returns whether the peer is considered in reach, as it is until enough exchanges failed.
    #[must_use]
    pub const fn is_in_reach(&self) -> bool {
        self.consecutive_failures < Self::MAX_CONSECUTIVE_FAILURES
    }

    /// Returns whether the peer may be given tasks: it is in reach and not leaving.
    #[must_use]
    pub fn may_serve(&self) -> bool {
        self.is_in_reach() && self.member == MemberState::Live
    }
}
