use super::*;

/// Selects the versions that a request runs on.
pub trait RoutingPolicy: Send {
    /// Returns the plan for a request, chosen from the candidates of `view`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is no suitable version.
    fn plan(
        &mut self,
        now: Millis,
        view: &RoutingView<'_>,
        profile: &RequestProfile,
    ) -> Result<RoutePlan, Refusal>;

    /// Records a rating of an answer.
    fn rate(&mut self, _now: Millis, _evidence: &AnswerEvidence, _score: Share) {}

    /// Records that the rating service failed to rate an answer.
    fn rating_failed(&mut self, _now: Millis) {}

    /// Records that an attempt has started on a version.
    fn started(&mut self, _now: Millis, _evidence: &AnswerEvidence) {}

    /// Records the end of an attempt on a version: a complete answer, or a failure attributed to
    /// the version. `_servers` is the number of servers in the pool.
    fn ended(&mut self, _version: &VersionId, _server: &ServerId, _servers: usize, _failed: bool) {}

    /// Returns whether an answer should be rated for statistics, although no cascade depends on the
    /// rating. `_place` is a number from 0 to 1 used for sampling.
    fn wants_rating(&mut self, _now: Millis, _evidence: &AnswerEvidence, _place: f64) -> bool {
        false
    }

    /// Applies a configuration document that has come into force.
    fn configure(&mut self, _now: Millis, _document: &ConfigurationDocument) {}

    /// Returns the versions found to be bad since the last call; each is reported once.
    fn withdrawal_proposals(&mut self) -> Vec<WithdrawalProposal> {
        Vec::new()
    }

    /// Returns evidence to send to the other entry VMs, at most `_max_entries` entries.
    fn digest(&mut self, _max_entries: usize) -> EvidenceDigest {
        EvidenceDigest::default()
    }

    /// Merges the evidence of another entry VM.
    fn merge(&mut self, _now: Millis, _origin: &PeerName, _digest: &EvidenceDigest) {}
}

/// The input of a routing decision besides the request profile.
pub struct RoutingView<'a> {
    /// The configuration in force.
    pub document: &'a ConfigurationDocument,
    /// The versions that the request may run on: allowed for the team, matching the requested
    /// model, and not withdrawn.
    pub candidates: &'a [VersionId],
    /// The versions that were already ruled out, with the reason for each.
    pub ruled_out: &'a [RejectedCandidate],
    /// Whether the caller or its session names a version, so that no roll-out applies.
    pub is_named: bool,
    /// The current queue wait of short requests by pool; a pool without an entry has no wait.
    pub waits: &'a BTreeMap<PoolId, Millis>,
}
