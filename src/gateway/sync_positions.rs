use super::*;

/// Sequence numbers up to which this VM and its peers have each other's events, as numbered by a
/// [`EventLog`].
#[derive(Clone, Debug, Default)]
pub(super) struct SyncPositions {
    /// The last event of this VM that each peer has confirmed.
    confirmed: BTreeMap<PeerName, u64>,
    /// The last event of each peer that this VM has received.
    received: BTreeMap<PeerName, u64>,
}

impl SyncPositions {
    /// Returns the last event of this VM that a peer has confirmed, or 0.
    pub(super) fn confirmed_by(&self, peer: &PeerName) -> u64 {
        self.confirmed.get(peer).copied().unwrap_or_default()
    }

    /// Returns the last event of a peer that this VM has received, or 0.
    pub(super) fn received_from(&self, peer: &PeerName) -> u64 {
        self.received.get(peer).copied().unwrap_or_default()
    }

    /// Records the last event that a peer has sent to this VM.
    pub(super) fn set_received(&mut self, peer: PeerName, last: u64) {
        self.received.insert(peer, last);
    }

    /// Records the last event of this VM that a peer has confirmed.
    pub(super) fn set_confirmed(&mut self, peer: PeerName, last: u64) {
        self.confirmed.insert(peer, last);
    }

    /// Drops the numbers of peers whose VM is no longer known.
    pub(super) fn retain_peers(&mut self, is_known: impl Fn(&VmId) -> bool) {
        self.confirmed.retain(|peer, _| is_known(&peer.vm));
        self.received.retain(|peer, _| is_known(&peer.vm));
    }
}
