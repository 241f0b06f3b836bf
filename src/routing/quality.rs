use super::*;

/// Chooses the cheapest plan that meets the team's quality target according to ratings.
///
/// The quality estimate of a version and size class starts from the configured prior; the estimate
/// of a team starts from the estimate over all teams. A plan is one version, or a cascade of two if
/// the answer is not streamed and the rating service is available.
#[derive(Debug)]
pub struct QualityPolicy {
    counters: EvidenceCounters,
    estimates: [BTreeMap<VersionId, VersionEstimates>; SizeClass::COUNT],
    surpluses: FxHashMap<TeamId, QualitySurplus>,
    monitors: BTreeMap<(VersionId, u32), VersionMonitor>,
    document: Option<Arc<ConfigurationDocument>>,
    withdrawal_proposals: Vec<WithdrawalProposal>,
    rater_trust: f64,
    rater_failed_at: Millis,
}

impl Default for QualityPolicy {
    fn default() -> Self {
        Self {
            counters: EvidenceCounters::default(),
            estimates: Default::default(),
            surpluses: FxHashMap::default(),
            monitors: BTreeMap::new(),
            document: None,
            withdrawal_proposals: Vec::new(),
            rater_trust: 1.0,
            rater_failed_at: Millis(0),
        }
    }
}

impl QualityPolicy {
    /// The minimum score at which an answer counts as good.
    pub const GOOD_SCORE: f64 = 0.5;
    /// The time allowed for a rating.
    pub const RATING_MS: u64 = 400;
    /// The share of requests that may explore a cheaper version which is expected to meet the
    /// target but lacks ratings.
    const EXPLORATION_SHARE: f64 = 0.25;
    /// The weight of ratings per version and size class below which every answer is rated.
    const MIN_RATINGS: f64 = 100.0;
    /// The trust in the rating service (0 to 1) below which no cascade is planned.
    const MIN_TRUST: f64 = 0.5;
    const TRUST_STEP: f64 = 0.2;
    /// The time after its last failure at which a failing rating service is tried again.
    const RATER_RETRY_MS: u64 = 5_000;

    fn estimates(&self, id: &VersionId, class: SizeClass) -> Option<&VersionEstimates> {
        self.estimates[class.index()].get(id)
    }

    fn candidate<'a>(
        &self,
        now: Millis,
        view: &RoutingView<'a>,
        id: &'a VersionId,
        profile: &RequestProfile,
    ) -> Option<PlanCandidate<'a>> {
        let entry = view.document.version(id)?;
        let initial = VersionEstimates::default();
        let estimates = self.estimates(id, profile.class).unwrap_or(&initial);
        let (mean, weight) = estimates.first(now, entry, &profile.team);
        Some(PlanCandidate {
            id,
            entry,
            cost: profile.expected_cost(entry),
            run: profile.expected_run(entry),
            wait: view.waits.get(&entry.pool).copied().unwrap_or_default(),
            mean,
            lower: QualityEstimate::lower(mean, weight),
            lower_escalated: estimates.lower_escalated(now, mean),
        })
    }

    /// Returns the time to allow for a rating, or `None` if cascades may not be used.
    fn cascade_rating(
        &self,
        now: Millis,
        view: &RoutingView<'_>,
        mode: AnswerMode,
    ) -> Option<Millis> {
        let is_trusted = self.rater_trust >= Self::MIN_TRUST
            || now.since(self.rater_failed_at) >= Millis(Self::RATER_RETRY_MS);
        let is_allowed = mode == AnswerMode::Whole && view.document.preset_in_force().cascades;
        (is_allowed && is_trusted).then_some(Millis(Self::RATING_MS))
    }

    /// Returns the candidate to explore, for a share of requests: the cheapest one that costs less
    /// than the best plan's first step, whose mean estimate meets the target, and whose lower
    /// estimate does not for lack of ratings.
    fn exploration(
        search: &PlanSearch<'_>,
        best: &PlanChoice,
        profile: &RequestProfile,
    ) -> Option<usize> {
        if profile.place(&"explore") >= Self::EXPLORATION_SHARE {
            return None;
        }
        let limit = search.candidates[best.first].cost.0;
        let mut cheaper: Vec<usize> = (0..search.candidates.len())
            .filter(|index| {
                let candidate = &search.candidates[*index];
                candidate.cost.0 < limit
                    && candidate.mean >= search.target
                    && candidate.lower < search.target
                    && candidate.wait + candidate.run <= search.budget
            })
            .collect();
        cheaper
            .sort_by(|a, b| search.candidates[*a].cost.0.total_cmp(&search.candidates[*b].cost.0));
        cheaper.first().copied()
    }

    fn plan_step(candidate: &PlanCandidate<'_>, accept_score: Option<Share>) -> PlanStep {
        PlanStep {
            target: WorkTarget::Version(candidate.id.clone()),
            pool: candidate.entry.pool.clone(),
            accept_score,
            expected_cost: candidate.cost,
        }
    }

    fn build_plan(
        search: &PlanSearch<'_>,
        first: usize,
        second: Option<usize>,
        reason: &str,
        mut passed_over: Vec<RejectedCandidate>,
    ) -> RoutePlan {
        let limit = search.candidates[first].cost.0;
        for (index, candidate) in search.candidates.iter().enumerate() {
            if index == first || Some(index) == second {
                continue;
            }
            let reason = match () {
                () if candidate.wait + candidate.run > search.budget => "would miss the deadline",
                () if candidate.lower < search.target => "below the quality target",
                () if candidate.cost.0 >= limit => "dearer",
                () => "its pool is busy",
            };
            let candidate = candidate.id.to_string().into();
            passed_over.push(RejectedCandidate { candidate, reason: reason.into() });
        }
        let accept = second.and(Share::new(Self::GOOD_SCORE));
        let mut steps = vec![Self::plan_step(&search.candidates[first], accept)];
        steps.extend(second.map(|second| Self::plan_step(&search.candidates[second], None)));
        RoutePlan { steps, reason: reason.into(), passed_over }
    }

    /// Returns the share of good answers against which a version's ratings are tested: its own
    /// baseline, or in a roll-out that of the stable version if it is higher.
    fn baseline(&self, now: Millis, evidence: &AnswerEvidence) -> Option<f64> {
        let document = self.document.as_ref()?;
        let own = self.own_baseline(now, &evidence.version, evidence.class)?;
        let model = document.models.get(&evidence.version.model)?;
        let plan = model.rollout.as_ref().filter(|plan| plan.to == evidence.version.version);
        let Some(_) = plan else { return Some(own) };
        let model_id = evidence.version.model.clone();
        let stable = VersionId { model: model_id, version: model.stable.clone() };
        let other = self.own_baseline(now, &stable, evidence.class).unwrap_or(own);
        Some(own.max(other))
    }

    fn own_baseline(&self, now: Millis, id: &VersionId, class: SizeClass) -> Option<f64> {
        let entry = self.document.as_ref()?.version(id)?;
        let monitor = self.monitors.get(&(id.clone(), entry.generation));
        let initial = VersionMonitor::default();
        Some(monitor.unwrap_or(&initial).baseline(now, class, entry))
    }

    fn apply_evidence(&mut self, now: Millis, evidence: &AnswerEvidence, counts: EvidenceCounts) {
        if counts.ratings() == 0 || !self.is_current(evidence) {
            return;
        }
        let (good, poor) = (counts.good as f64, counts.poor as f64);
        let estimates = &mut self.estimates[evidence.class.index()];
        let estimates = estimates.entry(evidence.version.clone()).or_default();
        estimates.observe(now, &evidence.team, evidence.source, good, poor);
        if evidence.source == RatingSource::Escalated {
            return;
        }
        let Some(baseline) = self.baseline(now, evidence) else { return };
        let key = (evidence.version.clone(), evidence.generation);
        let monitor = self.monitors.entry(key).or_default();
        if let Some(reason) = monitor.rated(now, evidence.class, baseline, counts) {
            self.withdrawal_proposals.push(WithdrawalProposal {
                version: evidence.version.clone(),
                generation: evidence.generation,
                reason,
            });
        }
    }

    /// Returns whether all answers of a version are rated: while its roll-out collects ratings, and
    /// while recent ratings hint at a drop in quality.
    fn needs_all_ratings(&self, evidence: &AnswerEvidence) -> bool {
        let Some(document) = &self.document else { return false };
        let gate = RolloutGate { counters: &self.counters, document };
        let key = (evidence.version.clone(), evidence.generation);
        gate.is_collecting(&evidence.version)
            || self.monitors.get(&key).is_some_and(VersionMonitor::is_raised)
    }

    fn is_current(&self, evidence: &AnswerEvidence) -> bool {
        let document = self.document.as_ref();
        let entry = document.and_then(|document| document.version(&evidence.version));
        entry.is_some_and(|entry| entry.generation == evidence.generation)
    }
}

impl RoutingPolicy for QualityPolicy {
    fn plan(
        &mut self,
        now: Millis,
        view: &RoutingView<'_>,
        profile: &RequestProfile,
    ) -> Result<RoutePlan, Refusal> {
        let preset = view.document.preset_in_force();
        let team_target =
            view.document.teams[&profile.team].quality_target.get() + preset.quality_offset;
        let surplus = self.surpluses.get(&profile.team).copied().unwrap_or_default();
        let gate = RolloutGate { counters: &self.counters, document: view.document };
        let mut passed_over = view.ruled_out.to_vec();
        let mut candidates = Vec::with_capacity(view.candidates.len());
        for id in view.candidates {
            let exclusion =
                gate.exclusion_reason(id, profile, view.candidates).filter(|_| !view.is_named);
            if let Some(reason) = exclusion {
                let candidate = id.to_string().into();
                passed_over.push(RejectedCandidate { candidate, reason: reason.into() });
            } else {
                candidates.extend(self.candidate(now, view, id, profile));
            }
        }
        let search = PlanSearch {
            candidates,
            target: surplus.target(team_target),
            budget: profile.deadline.since(now),
            standing_wait: preset.short_wait_ms,
            rating_time: self.cascade_rating(now, view, profile.mode),
        };
        let Some(best) = search.best() else {
            let message = "No version that the team may use is in service; try again later.";
            return Err(Refusal::not_run(RefusalCode::Unavailable, message));
        };
        let exploration = Self::exploration(&search, &best, profile);
        let lower = exploration.map_or(best.lower, |first| search.candidates[first].lower);
        self.surpluses.entry(profile.team.clone()).or_default().record(lower, team_target);
        if let Some(first) = exploration {
            return Ok(Self::build_plan(&search, first, None, "tried for evidence", passed_over));
        }
        let reason = match (best.meets_target, best.second) {
            (true, None) => "cheapest at the target",
            (true, Some(_)) => "cheapest cascade at the target",
            (false, _) => "best available",
        };
        Ok(Self::build_plan(&search, best.first, best.second, reason, passed_over))
    }

    fn rate(&mut self, now: Millis, evidence: &AnswerEvidence, score: Share) {
        self.rater_trust += Self::TRUST_STEP * (1.0 - self.rater_trust);
        let is_good = score.get() >= Self::GOOD_SCORE;
        let counts =
            EvidenceCounts { good: u64::from(is_good), poor: u64::from(!is_good), started: 0 };
        self.counters.add(evidence, counts);
        self.apply_evidence(now, evidence, counts);
    }

    fn rating_failed(&mut self, now: Millis) {
        self.rater_trust -= Self::TRUST_STEP * self.rater_trust;
        self.rater_failed_at = now;
    }

    fn started(&mut self, _now: Millis, evidence: &AnswerEvidence) {
        self.counters.add(evidence, EvidenceCounts { started: 1, ..EvidenceCounts::default() });
    }

    fn ended(&mut self, version: &VersionId, server: &ServerId, servers: usize, failed: bool) {
        let Some(entry) = self.document.as_ref().and_then(|document| document.version(version))
        else {
            return;
        };
        let generation = entry.generation;
        let monitor = self.monitors.entry((version.clone(), generation)).or_default();
        if let Some(reason) = monitor.ended(server, failed, servers) {
            self.withdrawal_proposals.push(WithdrawalProposal {
                version: version.clone(),
                generation,
                reason,
            });
        }
    }

    fn wants_rating(&mut self, now: Millis, evidence: &AnswerEvidence, place: f64) -> bool {
        let Some(document) = &self.document else { return false };
        let share = document.preset_in_force().rating_share.get();
        let estimates = self.estimates(&evidence.version, evidence.class);
        let weight = estimates.map_or(0.0, |found| found.weight(now, evidence.source));
        weight < Self::MIN_RATINGS || place < share || self.needs_all_ratings(evidence)
    }

    fn configure(&mut self, _now: Millis, document: &ConfigurationDocument) {
        let generation = |document: &ConfigurationDocument, id: &VersionId| {
            document.version(id).map(|entry| entry.generation)
        };
        if let Some(before) = &self.document {
            let has_new_generation =
                |id: &VersionId| generation(before, id) != generation(document, id);
            for estimates in &mut self.estimates {
                estimates.retain(|id, _| !has_new_generation(id));
            }
        }
        self.monitors.retain(|(id, current), _| generation(document, id) == Some(*current));
        self.document = Some(Arc::new(document.clone()));
    }

    fn withdrawal_proposals(&mut self) -> Vec<WithdrawalProposal> {
        std::mem::take(&mut self.withdrawal_proposals)
    }

    fn digest(&mut self, max_entries: usize) -> EvidenceDigest {
        self.counters.digest(max_entries)
    }

    fn merge(&mut self, now: Millis, origin: &PeerName, digest: &EvidenceDigest) {
        for entry in self.counters.merge(origin, digest) {
            self.apply_evidence(now, &entry.evidence, entry.counts);
        }
    }
}
