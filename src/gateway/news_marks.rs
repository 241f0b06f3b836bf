use super::*;

/// How far this VM and others know each other's events, by the numbers of a [`NewsLog`].
#[derive(Clone, Debug, Default)]
pub(super) struct NewsMarks {
    /// The last of this VM's that others are known to have.
    told: BTreeMap<PeerName, u64>,
    /// The last of theirs that this VM has.
    heard: BTreeMap<PeerName, u64>,
}

impl NewsMarks {
    /// Returns the last of this VM's events that another VM is known to have.
    pub(super) fn told_to(&self, peer: &PeerName) -> u64 {
        self.told.get(peer).copied().unwrap_or_default()
    }

    /// Returns the last of another VM's events that this one has.
    pub(super) fn heard_from(&self, peer: &PeerName) -> u64 {
        self.heard.get(peer).copied().unwrap_or_default()
    }

    /// Notes how far another VM has told of its events.
    pub(super) fn note_heard(&mut self, peer: PeerName, last: u64) {
        self.heard.insert(peer, last);
    }

    /// Notes how far another VM has been told.
    pub(super) fn note_told(&mut self, peer: PeerName, last: u64) {
        self.told.insert(peer, last);
    }

    /// Forgets the VMs that this one no longer knows.
    pub(super) fn keep(&mut self, is_known: impl Fn(&VmId) -> bool) {
        self.told.retain(|peer, _| is_known(&peer.vm));
        self.heard.retain(|peer, _| is_known(&peer.vm));
    }
}
