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
    fn rate(&mut self, now: Millis, team: &TeamId, version: &VersionId, score: Share);
}

/// What a policy may look at.
pub struct RoutingView<'a> {
    /// The configuration in force.
    pub document: &'a ConfigurationDocument,
    /// The versions that the request may run on: allowed, asked for and not withdrawn.
    pub candidates: &'a [VersionId],
    /// The versions already ruled out, with the reason.
    pub ruled_out: &'a [PassedOver],
}
