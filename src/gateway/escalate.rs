//! Escalation: discarding an answer of low confidence and asking a larger model.

use super::*;

impl Gateway {
    /// Cancels the run and sends the request to the largest model if that model's answer is
    /// expected to be worth more, given the confidence that the small model reported. Returns
    /// whether it did.
    pub(super) fn escalate(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
        confidence: Option<u8>,
    ) -> bool {
        let Some(state) = self.requests.get(&request) else { return false };
        let Some(confidence) = confidence else { return false };
        let largest = state.route.models.last();
        let is_last = state.model.as_ref() == largest;
        if is_last || state.is_delivered || !state.may_retry() {
            return false;
        }
        let mut larger = state.clone();
        larger.model = largest.cloned();
        let Some(run) = larger.run_mut(attempt) else { return false };
        run.stage = RunStage::Over;
        run.is_discarded = true;
        // A server in need answers another request instead.
        let found = self.find_server_among(now, &larger, false);
        let Some((place, side)) = found else { return false };
        let due = state.received + state.route.objective;
        let is_on_time = now + place.expected < due;
        let prompt: u64 = state.arrival.parts.iter().map(|part| part.tokens.0).sum();
        let unread_share = place.unread / prompt.max(1) as f64;
        let pressure = self.pressure(now, &state.pool);
        let prognosis = EscalationInputs { confidence, is_on_time, pressure, unread_share };
        if !prognosis.should_escalate()
            || self.crashes.quarantine(now, &larger, false).is_some()
            || !self.spend_retry(now, &larger, RetryPurpose::Escalation)
        {
            return false;
        }
        self.release_open_run(request);
        self.emit(GatewayCommand::Cancel { request, attempt });
        self.requests.insert(request, larger);
        self.start(now, request, place, side, "the smaller model reported low confidence");
        true
    }

    /// Returns the pressure on a pool's larger models; see [`EnginePressure`].
    pub(super) fn pressure(&self, now: Millis, pool: &PoolId) -> f64 {
        let awaited = self.requests.values().filter(|state| state.pool == *pool);
        let awaited = awaited.filter(|state| state.is_large()).filter_map(|state| {
            let run = state.open_run().filter(|run| run.stage == RunStage::Waiting)?;
            Some(EnginePressure::part(now.since(run.started), state.route.objective))
        });
        let (count, sum) = awaited.fold((0, 0.0), |(count, sum), part| (count + 1, sum + part));
        let known = self.pressures.get(pool).copied().unwrap_or_default();
        known.level(sum / f64::from(count.max(1)))
    }
}
