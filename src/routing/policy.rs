use super::*;

/// Chooses the versions that a request runs on.
pub trait RoutingPolicy: Send {
    /// Returns the plan for a request among versions that it may run on.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no version fits.
    fn plan(
        &mut self,
        now: Millis,
        view: &RoutingView<'_>,
        profile: &RequestProfile,
    ) -> Result<RoutePlan, Refusal>;

    /// Takes in a rating of an answer.
    fn rate(&mut self, _now: Millis, _evidence: &AnswerEvidence, _score: Share) {}

    /// Notes that the rating service has not rated an answer.
    fn rating_failed(&mut self, _now: Millis) {}

    /// Notes that a version has started on a request.
    fn started(&mut self, _now: Millis, _evidence: &AnswerEvidence) {}

    /// Notes whether a version has given a whole answer, or failed by its own fault, on a server
    /// of a pool of so many.
    fn ended(&mut self, _version: &VersionId, _server: &ServerId, _servers: usize, _failed: bool) {}

    /// Returns whether an answer should be rated, though nobody waits for the rating.
    fn wants_rating(&mut self, _now: Millis, _evidence: &AnswerEvidence, _place: f64) -> bool {
        false
    }

    /// Takes in the document that has come into force.
    fn configure(&mut self, _now: Millis, _document: &ConfigurationDocument) {}

    /// Returns the versions that the evidence speaks against, once each.
    fn verdicts(&mut self) -> Vec<VersionVerdict> {
        Vec::new()
    }

    /// Returns what the other entry VMs should know, at most so many entries.
    fn digest(&mut self, _most: usize) -> EvidenceDigest {
        EvidenceDigest::default()
    }

    /// Takes in what another entry VM knows.
    fn merge(&mut self, _now: Millis, _origin: &PeerName, _digest: &EvidenceDigest) {}
}

/// What a policy may look at.
pub struct RoutingView<'a> {
    /// The configuration in force.
    pub document: &'a ConfigurationDocument,
    /// The versions that the request may run on: allowed, asked for and not withdrawn.
    pub candidates: &'a [VersionId],
    /// The versions already ruled out, with the reason.
    pub ruled_out: &'a [PassedOver],
    /// Whether the caller or its session named a version, so that no roll-out applies.
    pub is_named: bool,
    /// How long short work now waits in the queues of pools.
    pub waits: &'a BTreeMap<PoolId, Millis>,
}
