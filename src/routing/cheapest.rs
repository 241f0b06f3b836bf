use super::*;

/// Chooses the cheapest version whose configured prior quality meets the team's target, or the one
/// of the highest prior quality if none does. Ratings are ignored.
#[derive(Clone, Debug, Default)]
pub struct CheapestPolicy;

impl RoutingPolicy for CheapestPolicy {
    fn plan(
        &mut self,
        _now: Millis,
        view: &RoutingView<'_>,
        profile: &RequestProfile,
    ) -> Result<RoutePlan, Refusal> {
        let target = view.document.teams[&profile.team].quality_target.get()
            + view.document.preset_in_force().quality_offset;
        let mut priced: Vec<_> = view
            .candidates
            .iter()
            .filter_map(|id| view.document.version(id).map(|entry| (id, entry)))
            .map(|(id, entry)| (profile.expected_cost(entry), id, entry))
            .collect();
        priced.sort_by(|a, b| a.0.0.total_cmp(&b.0.0).then_with(|| a.1.cmp(b.1)));
        let meets = priced.iter().position(|(_, _, entry)| entry.prior_quality.get() >= target);
        let best = meets.or_else(|| {
            let quality = |index: &usize| priced[*index].2.prior_quality.get();
            (0..priced.len()).max_by(|a, b| quality(a).total_cmp(&quality(b)))
        });
        let Some(index) = best else {
            let message = "No version that the team may use is in service; try again later.";
            return Err(Refusal::not_run(RefusalCode::Unavailable, message));
        };
        let (cost, id, entry) = &priced[index];
        let mut passed_over = view.ruled_out.to_vec();
        for (other, (_, id, _)) in priced.iter().enumerate() {
            let reason = if other < index { "below the quality target" } else { "dearer" };
            if other != index {
                passed_over.push(RejectedCandidate {
                    candidate: id.to_string().into(),
                    reason: reason.into(),
                });
            }
        }
        let step = PlanStep {
            target: WorkTarget::Version((*id).clone()),
            pool: entry.pool.clone(),
            accept_score: None,
            expected_cost: *cost,
        };
        let reason = if meets.is_some() { "cheapest at the target" } else { "best available" };
        Ok(RoutePlan { steps: vec![step], reason: reason.into(), passed_over })
    }
}
