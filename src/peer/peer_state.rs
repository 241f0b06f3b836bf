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
    /// Whether the membership list says that it is leaving.
    pub member: MemberState,
    /// When it was last heard.
    pub heard: Option<Millis>,
    /// The revision in force at it.
    pub revision: Revision,
}
