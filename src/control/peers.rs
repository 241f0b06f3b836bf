use super::*;

impl Control {
    /// Sends a message to a peer, if the peer is known.
    pub(super) fn send(&mut self, to: &VmId, message: PeerMessage) {
        let Some(peer) = self.peers.get(to) else { return };
        let address = peer.address;
        self.emit(Command::Send { to: to.clone(), address, message });
    }

    /// Tells every peer that this VM is alive.
    pub(super) fn send_heartbeats(&mut self) {
        let revision = self.configuration.revision();
        let peers: Vec<VmId> = self.peers.iter().map(|peer| peer.vm.clone()).collect();
        for peer in peers {
            self.send(&peer, PeerMessage::Heartbeat { revision });
        }
    }

    pub(super) fn on_peer(&mut self, now: Millis, from: &PeerName, message: &PeerMessage) {
        self.peers.heard(now, from);
        match message {
            PeerMessage::Heartbeat { revision } => self.peers.note_revision(from, *revision),
        }
    }
}
