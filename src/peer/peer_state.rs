use super::*;

/// Another entry VM as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// The VM.
    pub vm: VmId,
    /// Its incarnation, once it has been heard.
    pub incarnation: Option<Incarnation>,
    /// The address of its listener for peers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it is leaving.
    pub member: MemberState,
    /// Whether the membership list has it.
    pub listed: bool,
    /// When it was last heard.
    pub heard: Option<Millis>,
    /// The revision in force at it.
    pub revision: Revision,
    /// The exchange that waits for its reply: its sequence and when it was sent.
    pub probe: Option<(u64, Millis)>,
    /// The exchanges in a row that got no reply.
    pub misses: u32,
}

impl PeerState {
    /// The unanswered exchanges after which a peer counts as out of reach.
    pub const MAX_MISSES: u32 = 2;

    pub(super) fn new(member: &VmMember, listed: bool) -> Self {
        Self {
            vm: member.id.clone(),
            incarnation: None,
            address: member.address,
            data_centre: member.data_centre.clone(),
            member: member.state,
            listed,
            heard: None,
            revision: Revision(0),
            probe: None,
            misses: 0,
        }
    }

    /// Returns whether nothing speaks against the peer being in reach.
    #[must_use]
    pub const fn is_in_reach(&self) -> bool {
        self.misses < Self::MAX_MISSES
    }

    /// Returns whether it may be chosen for a duty.
    #[must_use]
    pub fn may_serve(&self) -> bool {
        self.is_in_reach() && self.member == MemberState::Live
    }
}
