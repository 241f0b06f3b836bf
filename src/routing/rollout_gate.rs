use super::*;

/// Decides which requests may run on a version under roll-out.
pub struct RolloutGate<'a> {
    /// The rating and attempt counters of all entry VMs.
    pub counters: &'a EvidenceCounters,
    /// The configuration in force.
    pub document: &'a ConfigurationDocument,
}

impl RolloutGate<'_> {
    /// Returns the index of the current stage. It starts at the configured stage and advances to
    /// the next one each time a stage has collected its minimum number of ratings.
    #[must_use]
    pub fn stage(&self, model: &ModelId, plan: &RolloutPlan) -> usize {
        let ratings = self.new_version_count(model, plan, EvidenceCounters::ratings);
        let mut needed = 0;
        let mut stage = plan.stage;
        while stage + 1 < plan.stages.len() {
            needed += plan.stages[stage].min_ratings;
            if ratings < needed {
                break;
            }
            stage += 1;
        }
        stage
    }

    fn new_version_count(
        &self,
        model: &ModelId,
        plan: &RolloutPlan,
        count: impl Fn(&EvidenceCounters, &VersionId, u32) -> u64,
    ) -> u64 {
        let id = VersionId { model: model.clone(), version: plan.to.clone() };
        let generation = self.document.version(&id).map_or(0, |entry| entry.generation);
        count(self.counters, &id, generation)
    }

    /// Returns whether a version is under roll-out and still lacks ratings that the stages require.
    #[must_use]
    pub fn is_collecting(&self, id: &VersionId) -> bool {
        let model = self.document.models.get(&id.model);
        let plan = model.and_then(|model| model.rollout.as_ref());
        plan.is_some_and(|plan| {
            let required: u64 = plan.stages.iter().map(|stage| stage.min_ratings).sum();
            plan.to == id.version
                && self.new_version_count(&id.model, plan, EvidenceCounters::ratings) < required
        })
    }

    /// Returns whether the new version has used up its exposure cap, the number of attempts allowed
    /// before it has enough ratings.
    fn is_capped(&self, model: &ModelId, plan: &RolloutPlan) -> bool {
        let required: u64 = plan.stages[plan.stage..].iter().map(|stage| stage.min_ratings).sum();
        self.new_version_count(model, plan, EvidenceCounters::started) >= plan.exposure_cap
            && self.new_version_count(model, plan, EvidenceCounters::ratings) < required
    }

    /// Returns why the roll-out excludes a candidate from a request, or `None` if it does not.
    #[must_use]
    pub fn exclusion_reason(
        &self,
        id: &VersionId,
        profile: &RequestProfile,
        candidates: &[VersionId],
    ) -> Option<&'static str> {
        let entry = self.document.models.get(&id.model)?;
        let plan = entry.rollout.as_ref()?;
        let is_new = id.version == plan.to;
        if !is_new && id.version != entry.stable {
            return None;
        }
        let new = VersionId { model: id.model.clone(), version: plan.to.clone() };
        let stable = VersionId { model: id.model.clone(), version: entry.stable.clone() };
        let has_both = candidates.contains(&new) && candidates.contains(&stable);
        let share = plan.stages[self.stage(&id.model, plan)].share.get();
        let is_in_share = profile.place(&new) < share;
        let capped = self.is_capped(&id.model, plan);
        match (is_new, is_in_share && !capped) {
            (true, false) if capped => Some("exposure cap of the roll-out"),
            (true, false) => Some("outside the share of the roll-out"),
            (false, true) if has_both => Some("replaced by the roll-out"),
            _ => None,
        }
    }
}
