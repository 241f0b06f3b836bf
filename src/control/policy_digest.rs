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
            tracing::warn!(
                version = %verdict.version,
                generation = verdict.generation,
                reason = %verdict.reason,
                "version withdrawn by its evidence"
            );
            self.withdraw(now, verdict.version, verdict.generation, verdict.reason);
        }
    }
}
