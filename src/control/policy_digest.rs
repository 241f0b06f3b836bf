use super::*;

/// What an entry VM tells the others for their decisions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyDigest {
    /// Rises with each digest of one sender.
    pub sequence: u64,
    /// How well versions do.
    pub evidence: EvidenceDigest,
    /// What teams ask for.
    pub demands: BTreeMap<TeamId, TeamDemand>,
    /// What runs on backend servers.
    pub in_flight: BTreeMap<ServerId, u32>,
}

impl Control {
    const DIGEST_ENTRIES: usize = 64;
    const DIGEST_INTERVAL_MS: u64 = 1_000;
    /// The peers that hear of this VM's load and evidence each time.
    const DIGEST_PEERS: usize = 8;

    /// Ages load reports and what peers have told, and tells peers what is known here.
    pub(super) fn tick_load(&mut self, now: Millis) {
        if self.load.age_again > now {
            return;
        }
        self.load.age_again = now + Millis(Self::DIGEST_INTERVAL_MS);
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

    /// Returns what the other entry VMs should know now.
    pub fn policy_digest(&mut self, now: Millis) -> PolicyDigest {
        self.load.sequence += 1;
        PolicyDigest {
            sequence: self.load.sequence,
            evidence: self.policy.digest(Self::DIGEST_ENTRIES),
            demands: self.load.limits.demands(now),
            in_flight: self.servers.own_shares(),
        }
    }

    /// Takes in what another entry VM knows.
    pub fn merge_digest(&mut self, now: Millis, origin: &PeerName, digest: &PolicyDigest) {
        self.policy.merge(now, origin, &digest.evidence);
        self.load.limits.merge(now, origin, digest.sequence, digest.demands.clone());
        self.servers.merge_shares(now, origin, digest.sequence, &digest.in_flight);
        self.apply_verdicts(now);
    }

    /// Withdraws the versions that the evidence speaks against.
    pub(super) fn apply_verdicts(&mut self, now: Millis) {
        for verdict in self.policy.verdicts() {
            self.withdraw(now, verdict.version, verdict.generation, verdict.reason);
        }
    }
}
