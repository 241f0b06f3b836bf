use super::*;

/// Chooses the cheapest plan that meets the team's quality target by the evidence of ratings.
///
/// An estimate per version and kind of work starts from the configured prior; an estimate per
/// team starts from that. A plan is one version, or a cascade of two where the answer need not be
/// streamed and the rating service answers.
#[derive(Debug)]
pub struct QualityPolicy {
    book: EvidenceBook,
    estimates: [BTreeMap<VersionId, VersionEstimates>; SizeClass::COUNT],
    accounts: FxHashMap<TeamId, QualityAccount>,
    guards: BTreeMap<(VersionId, u32), VersionGuard>,
    document: Option<Arc<ConfigurationDocument>>,
    verdicts: Vec<VersionVerdict>,
    rater_trust: f64,
    rater_failed: Millis,
}

impl Default for QualityPolicy {
    fn default() -> Self {
        Self {
            book: EvidenceBook::default(),
            estimates: Default::default(),
            accounts: FxHashMap::default(),
            guards: BTreeMap::new(),
            document: None,
            verdicts: Vec::new(),
            rater_trust: 1.0,
            rater_failed: Millis(0),
        }
    }
}

impl QualityPolicy {
    /// The score from which an answer counts as good.
    pub const GOOD_SCORE: f64 = 0.5;
    /// The time that a rating is given.
    pub const RATING_MS: u64 = 400;
    /// The share of requests that try a version whose prior promises the target.
    const EXPLORED_SHARE: f64 = 0.25;
    /// The ratings per kind of work below which every answer is rated.
    const FEW_RATINGS: f64 = 100.0;
    /// The trust in the rating service below which no cascade is started.
    const LEAST_TRUST: f64 = 0.5;
    const TRUST_STEP: f64 = 0.2;
    /// The time after which a failing rating service is tried again.
    const RATER_PAUSE_MS: u64 = 5_000;

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
        let fresh = VersionEstimates::default();
        let estimates = self.estimates(id, profile.class).unwrap_or(&fresh);
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

    /// Returns the time to allow for a rating, or none where no cascade may be used.
    fn cascade_rating(
        &self,
        now: Millis,
        view: &RoutingView<'_>,
        mode: AnswerMode,
    ) -> Option<Millis> {
        let trusted = self.rater_trust >= Self::LEAST_TRUST
            || now.since(self.rater_failed) >= Millis(Self::RATER_PAUSE_MS);
        let allowed = mode == AnswerMode::Whole && view.document.preset_in_force().cascades;
        (allowed && trusted).then_some(Millis(Self::RATING_MS))
    }

    /// Returns a cheaper version that promises the target and needs ratings, for a small share.
    fn explored(
        search: &PlanSearch<'_>,
        best: &PlanChoice,
        profile: &RequestProfile,
    ) -> Option<usize> {
        if profile.place(&"explore") >= Self::EXPLORED_SHARE {
            return None;
        }
        let limit = search.candidates[best.first].cost.0;
        let mut cheaper: Vec<usize> = (0..search.candidates.len())
            .filter(|index| {
                let candidate = &search.candidates[*index];
                candidate.cost.0 < limit
                    && candidate.mean >= search.target
                    && candidate.lower < search.target
                    && candidate.wait + candidate.run <= search.left
            })
            .collect();
        cheaper
            .sort_by(|a, b| search.candidates[*a].cost.0.total_cmp(&search.candidates[*b].cost.0));
        cheaper.first().copied()
    }

    fn step(candidate: &PlanCandidate<'_>, accept_score: Option<Share>) -> PlanStep {
        PlanStep {
            target: WorkTarget::Version(candidate.id.clone()),
            pool: candidate.entry.pool.clone(),
            accept_score,
            expected_cost: candidate.cost,
        }
    }

    fn route(
        search: &PlanSearch<'_>,
        first: usize,
        second: Option<usize>,
        reason: &str,
        mut passed_over: Vec<PassedOver>,
    ) -> RoutePlan {
        let limit = search.candidates[first].cost.0;
        for (index, candidate) in search.candidates.iter().enumerate() {
            if index == first || Some(index) == second {
                continue;
            }
            let reason = match () {
                () if candidate.wait + candidate.run > search.left => "would miss the deadline",
                () if candidate.lower < search.target => "below the quality target",
                () if candidate.cost.0 >= limit => "dearer",
                () => "its pool is busy",
            };
            let candidate = candidate.id.to_string().into();
            passed_over.push(PassedOver { candidate, reason: reason.into() });
        }
        let accept = second.and(Share::new(Self::GOOD_SCORE));
        let mut steps = vec![Self::step(&search.candidates[first], accept)];
        steps.extend(second.map(|second| Self::step(&search.candidates[second], None)));
        RoutePlan { steps, reason: reason.into(), passed_over }
    }

    /// Returns the baseline against which a version's ratings are tested.
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
        let guard = self.guards.get(&(id.clone(), entry.generation));
        let fresh = VersionGuard::default();
        Some(guard.unwrap_or(&fresh).baseline(now, class, entry))
    }

    fn learn(&mut self, now: Millis, evidence: &AnswerEvidence, news: EvidenceCounts) {
        if news.ratings() == 0 || !self.is_current(evidence) {
            return;
        }
        let (good, poor) = (news.good as f64, news.poor as f64);
        let estimates = &mut self.estimates[evidence.class.index()];
        let estimates = estimates.entry(evidence.version.clone()).or_default();
        estimates.observe(now, &evidence.team, evidence.source, good, poor);
        if evidence.source == RatingSource::Escalated {
            return;
        }
        let Some(baseline) = self.baseline(now, evidence) else { return };
        let key = (evidence.version.clone(), evidence.generation);
        let guard = self.guards.entry(key).or_default();
        if let Some(reason) = guard.rated(now, evidence.class, baseline, news) {
            self.verdicts.push(VersionVerdict {
                version: evidence.version.clone(),
                generation: evidence.generation,
                reason,
            });
        }
    }

    /// Returns whether all answers of a version are rated: during its roll-out, and while its
    /// ratings are under suspicion.
    fn is_watched(&self, evidence: &AnswerEvidence) -> bool {
        let Some(document) = &self.document else { return false };
        let gate = RolloutGate { book: &self.book, document };
        let key = (evidence.version.clone(), evidence.generation);
        gate.is_collecting(&evidence.version)
            || self.guards.get(&key).is_some_and(VersionGuard::is_raised)
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
        let due = view.document.teams[&profile.team].quality_target.get() + preset.quality_offset;
        let account = self.accounts.get(&profile.team).copied().unwrap_or_default();
        let gate = RolloutGate { book: &self.book, document: view.document };
        let mut passed_over = view.ruled_out.to_vec();
        let mut candidates = Vec::with_capacity(view.candidates.len());
        for id in view.candidates {
            let out = gate.rules_out(id, profile, view.candidates).filter(|_| !view.is_named);
            if let Some(reason) = out {
                let candidate = id.to_string().into();
                passed_over.push(PassedOver { candidate, reason: reason.into() });
            } else {
                candidates.extend(self.candidate(now, view, id, profile));
            }
        }
        let search = PlanSearch {
            candidates,
            target: account.target(due),
            left: profile.deadline.since(now),
            standing_wait: preset.short_wait_ms,
            rating: self.cascade_rating(now, view, profile.mode),
        };
        let Some(best) = search.best() else {
            let message = "No version that the team may use is in service; try again later.";
            return Err(Refusal::not_run(RefusalCode::Unavailable, message));
        };
        let explored = Self::explored(&search, &best, profile);
        let lower = explored.map_or(best.lower, |first| search.candidates[first].lower);
        self.accounts.entry(profile.team.clone()).or_default().enter(lower, due);
        if let Some(first) = explored {
            return Ok(Self::route(&search, first, None, "tried for evidence", passed_over));
        }
        let reason = match (best.meets, best.second) {
            (true, None) => "cheapest at the target",
            (true, Some(_)) => "cheapest cascade at the target",
            (false, _) => "best available",
        };
        Ok(Self::route(&search, best.first, best.second, reason, passed_over))
    }

    fn rate(&mut self, now: Millis, evidence: &AnswerEvidence, score: Share) {
        self.rater_trust += Self::TRUST_STEP * (1.0 - self.rater_trust);
        let is_good = score.get() >= Self::GOOD_SCORE;
        let news =
            EvidenceCounts { good: u64::from(is_good), poor: u64::from(!is_good), started: 0 };
        self.book.add(evidence, news);
        self.learn(now, evidence, news);
    }

    fn rating_failed(&mut self, now: Millis) {
        self.rater_trust -= Self::TRUST_STEP * self.rater_trust;
        self.rater_failed = now;
    }

    fn started(&mut self, _now: Millis, evidence: &AnswerEvidence) {
        self.book.add(evidence, EvidenceCounts { started: 1, ..EvidenceCounts::default() });
    }

    fn ended(&mut self, version: &VersionId, server: &ServerId, servers: usize, failed: bool) {
        let Some(entry) = self.document.as_ref().and_then(|document| document.version(version))
        else {
            return;
        };
        let generation = entry.generation;
        let guard = self.guards.entry((version.clone(), generation)).or_default();
        if let Some(reason) = guard.ended(server, failed, servers) {
            self.verdicts.push(VersionVerdict { version: version.clone(), generation, reason });
        }
    }

    fn wants_rating(&mut self, now: Millis, evidence: &AnswerEvidence, place: f64) -> bool {
        let Some(document) = &self.document else { return false };
        let share = document.preset_in_force().rating_share.get();
        let estimates = self.estimates(&evidence.version, evidence.class);
        let weight = estimates.map_or(0.0, |found| found.weight(now, evidence.source));
        weight < Self::FEW_RATINGS || place < share || self.is_watched(evidence)
    }

    fn configure(&mut self, _now: Millis, document: &ConfigurationDocument) {
        let generation = |document: &ConfigurationDocument, id: &VersionId| {
            document.version(id).map(|entry| entry.generation)
        };
        if let Some(before) = &self.document {
            let renewed = |id: &VersionId| generation(before, id) != generation(document, id);
            for estimates in &mut self.estimates {
                estimates.retain(|id, _| !renewed(id));
            }
        }
        self.guards.retain(|(id, current), _| generation(document, id) == Some(*current));
        self.document = Some(Arc::new(document.clone()));
    }

    fn verdicts(&mut self) -> Vec<VersionVerdict> {
        std::mem::take(&mut self.verdicts)
    }

    fn digest(&mut self, most: usize) -> EvidenceDigest {
        self.book.digest(most)
    }

    fn merge(&mut self, now: Millis, origin: &PeerName, digest: &EvidenceDigest) {
        for entry in self.book.merge(origin, digest) {
            self.learn(now, &entry.evidence, entry.counts);
        }
    }
}
