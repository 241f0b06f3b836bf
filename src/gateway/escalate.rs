//! Dropping answers that are doubted for those of a larger model.

use super::*;

impl Gateway {
    /// Drops an answer that is doubted and sends the request to the largest model, if the answer of
    /// that one would be worth more.
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
        if is_last || state.is_delivered || !state.may_send_again() {
            return false;
        }
        let mut larger = state.clone();
        larger.model = largest.cloned();
        let Some(run) = larger.run_mut(attempt) else { return false };
        run.stage = RunStage::Over;
        run.is_dropped = true;
        let Some((place, side)) = self.find_place(now, &larger) else { return false };
        let due = state.received + state.route.objective;
        let is_on_time = now + place.expected < due;
        let prompt: u64 = state.arrival.parts.iter().map(|part| part.tokens.0).sum();
        let unread_part = place.unread / prompt.max(1) as f64;
        let pressure = self.pressure(now, &state.pool);
        let prognosis = AnswerPrognosis { confidence, is_on_time, pressure, unread_part };
        if !prognosis.is_worth_more() || !self.take_resend(now, &larger.pool) {
            return false;
        }
        self.drop_open_run(request);
        self.emit(GatewayCommand::Cancel { request, attempt });
        self.requests.insert(request, larger);
        self.start(now, request, place, side, "the smaller model doubts its answer");
        true
    }

    /// Returns how long larger models keep callers of a pool waiting.
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
