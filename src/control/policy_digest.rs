use super::*;

/// The evidence and load that an entry VM shares with the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyDigest {
    /// Increases with each digest of a sender, so that older ones can be dropped.
    pub sequence: u64,
    /// The ratings of versions' answers.
    pub evidence: EvidenceDigest,
    /// The request rates of teams.
    pub demands: BTreeMap<TeamId, TeamDemand>,
    /// The attempts of the sender that run on each server.
    pub in_flight: BTreeMap<ServerId, u32>,
}

impl Control {
    /// The most evidence entries in a digest.
    const DIGEST_ENTRIES: usize = 64;
    /// The time between two digests.
    const DIGEST_INTERVAL_MS: u64 = 1_000;
    /// The peers that each digest is sent to, in rotation.
    const DIGEST_PEERS: usize = 8;

    /// Expires load reports and peers' shares, and sends a policy digest to the next peers.
    pub(super) fn tick_digests(&mut self, now: Millis) {
        if self.load.next_digest > now {
            return;
        }
        self.load.next_digest = now + Millis(Self::DIGEST_INTERVAL_MS);
        self.servers.age(now);
        let mut peers: Vec<VmId> =
            self.peers.iter().filter(|peer| peer.may_serve()).map(|peer| peer.vm.clone()).collect();
        if peers.is_empty() {
            return;
        }
        let digest = Box::new(self.policy_digest(now));
        let turn = (digest.sequence as usize).wrapping_mul(Self::DIGEST_PEERS) % peers.len();
        peers.rotate_left(turn);
        for peer in peers.into_iter().take(Self::DIGEST_PEERS) {
            self.send(&peer, PeerMessage::Policy(digest.clone()));
        }
    }

    /// Returns the next policy digest of this VM.
    pub fn policy_digest(&mut self, now: Millis) -> PolicyDigest {
        self.load.sequence += 1;
        PolicyDigest {
            sequence: self.load.sequence,
            evidence: self.policy.digest(Self::DIGEST_ENTRIES),
            demands: self.load.limits.demands(now),
            in_flight: self.servers.own_in_flight(),
        }
    }

    /// Applies another entry VM's policy digest.
    pub fn merge_digest(&mut self, now: Millis, origin: &PeerName, digest: &PolicyDigest) {
        self.policy.merge(now, origin, &digest.evidence);
        self.load.limits.merge(now, origin, digest.sequence, digest.demands.clone());
        self.servers.merge_peer_in_flight(now, origin, digest.sequence, &digest.in_flight);
        self.apply_verdicts(now);
    }

    /// Withdraws the versions whose evidence has become too bad.
    pub(super) fn apply_verdicts(&mut self, now: Millis) {
        for verdict in self.policy.withdrawal_proposals() {
            self.withdraw(now, verdict.version, verdict.generation, verdict.reason);
        }
    }
}
