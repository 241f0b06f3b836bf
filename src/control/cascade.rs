use super::*;

impl Control {
    /// How long a held answer waits for its rating before it is released unrated.
    const RATING_TIMEOUT_MS: u64 = 1_500;

    /// Returns the quality estimate that ratings of an attempt's answer count for; none for
    /// services and for versions that have been removed.
    pub(super) fn evidence(
        document: &ConfigurationDocument,
        state: &RequestState,
        entry: &AttemptState,
    ) -> Option<AnswerEvidence> {
        let WorkTarget::Version(version) = &entry.target else { return None };
        let generation = document.version(version)?.generation;
        Some(AnswerEvidence {
            version: version.clone(),
            generation,
            team: state.profile.team.clone(),
            class: state.profile.class,
            source: if entry.step == 0 { RatingSource::First } else { RatingSource::Escalated },
        })
    }

    /// Holds a whole answer until it is rated, at most until the rating times out or the deadline
    /// passes.
    pub(super) fn hold_for_rating(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
        attempt: AttemptId,
    ) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        state.phase = RequestPhase::Rating;
        state.held = Some(attempt);
        let due = (now + Millis(Self::RATING_TIMEOUT_MS)).min(state.profile.deadline);
        self.load.timers.set(due, request, TimerKind::Rating(attempt));
        self.ask_rating(now, document, request, attempt);
    }

    /// Requests a rating of a released answer if the routing policy needs evidence for its version.
    /// No caller waits for it.
    pub(super) fn sample_rating(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
        attempt: AttemptId,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        let Some(entry) = state.attempt(attempt) else { return };
        let Some(evidence) = Self::evidence(document, state, entry) else { return };
        let place = state.profile.place(&"rating");
        if self.policy.wants_rating(now, &evidence, place) {
            self.ask_rating(now, document, request, attempt);
        }
    }

    fn ask_rating(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
        attempt: AttemptId,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        let Some(entry) = state.attempt(attempt) else { return };
        let Some(evidence) = Self::evidence(document, state, entry) else { return };
        let version = evidence.version.clone();
        self.load.ratings.insert(now, request, attempt, evidence);
        self.emit(Command::Rate { request, attempt, version });
    }

    /// Releases a held answer, or escalates to the next step of the plan if the rating is poor.
    /// `score` is none if the rating failed or timed out.
    pub(super) fn on_rating_settled(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
        score: Option<Share>,
    ) {
        let Some(document) = self.configuration.document().cloned() else { return };
        let Some(state) = self.requests.get(&request) else { return };
        if state.phase != RequestPhase::Rating || state.held != Some(attempt) {
            return;
        }
        let accept = state.plan.steps[state.step].accept_score;
        let is_poor = matches!((score, accept), (Some(score), Some(accept)) if score < accept);
        if !is_poor || !self.may_escalate(now, &document, state) {
            self.release_held(request);
            return;
        }
        let Some(state) = self.requests.get_mut(&request) else { return };
        state.step += 1;
        tracing::info!(request = %self.request_id(request), %attempt, "answer rated poor; escalating to the next version");
        self.requeue(now, &document, request);
    }

    /// Returns whether the next step's version is not withdrawn and is expected to answer before
    /// the deadline.
    fn may_escalate(
        &self,
        now: Millis,
        document: &ConfigurationDocument,
        state: &RequestState,
    ) -> bool {
        let Some(step) = state.plan.steps.get(state.step + 1) else { return false };
        let WorkTarget::Version(id) = &step.target else { return false };
        let Some(entry) = document.version(id) else { return false };
        let live = !self.is_withdrawn(id);
        let wait = self.load.waits.get(&step.pool).copied().unwrap_or_default();
        let end = now + wait + state.profile.expected_run(entry);
        live && end <= state.profile.deadline
    }

    /// Sends the held answer to the caller, cancels the other attempts and completes the request.
    pub(super) fn release_held(&mut self, request: RequestNumber) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        let Some(attempt) = state.held.take() else { return };
        state.released = Some(attempt);
        state.phase = RequestPhase::Answered;
        self.emit(Command::Release { request, attempt });
        self.cancel_others(request, attempt);
        self.finish(request);
    }

    fn cancel_others(&mut self, request: RequestNumber, kept: AttemptId) {
        let Some(state) = self.requests.get(&request) else { return };
        let others = state.attempts.iter().filter(|entry| entry.id != kept);
        let running = others.filter(|entry| entry.outcome.is_none());
        let commands: Vec<Command> =
            running.map(|entry| Command::Cancel { request, attempt: entry.id }).collect();
        for command in commands {
            self.emit(command);
        }
    }

    pub(super) fn on_rating_overdue(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
    ) {
        let state = self.requests.get(&request);
        let waits = state.is_some_and(|state| {
            state.phase == RequestPhase::Rating && state.held == Some(attempt)
        });
        if waits {
            self.policy.rating_failed(now);
            self.on_rating_settled(now, request, attempt, None);
        }
    }
}
