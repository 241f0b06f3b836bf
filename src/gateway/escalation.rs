//! Escalation: discarding an answer of low confidence and asking a larger model, on routes whose
//! operators leave the choice of the model to the router.
//!
//! The smallest model answers first. It is cheap, and the confidence that it reports shows well
//! enough whether a larger one is needed; a medium-sized model seldom answers what the smallest
//! cannot. The first event of an answer with low confidence is held back, and the request goes to
//! the largest model if that answer is expected to be worth more ([`EscalationInputs`]). Its prompt
//! delays those behind it, so that the fuller the engines are ([`PoolPressure`]) and the more work
//! it needs ([`MeanWork`]), the less often it is sent.

use super::*;

mod escalation_inputs;
mod mean_work;
mod pool_pressure;

pub use {escalation_inputs::EscalationInputs, mean_work::MeanWork, pool_pressure::PoolPressure};

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
        let inputs = self.escalation_inputs(now, &larger, &place, confidence);
        // The work of all candidates: that of the prompts that were sent would fall as soon as long
        // ones are kept back, which would keep ever shorter ones back.
        let work_ms = self.work_ms(&larger, &place);
        self.mean_works.entry(larger.pool.clone()).or_default().record(work_ms);
        if !inputs.should_escalate() {
            if inputs.should_escalate_if_certain() {
                self.relax_forecasts(&larger);
            }
            tracing::info!(
                request = request.0,
                attempt = attempt.0,
                confidence,
                on_time = inputs.on_time,
                complete = inputs.complete,
                pressure = inputs.pressure.get(),
                work = inputs.work,
                rank = larger.rank,
                "kept the smaller model's answer"
            );
            return false;
        }
        if self.crashes.quarantine(now, &larger, false).is_some()
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

    /// Returns the inputs of the decision about a request that would go to a larger model.
    fn escalation_inputs(
        &self,
        now: Millis,
        larger: &RoutedRequest,
        place: &SelectedServer,
        confidence: u8,
    ) -> EscalationInputs {
        let due = larger.received + larger.route.objective;
        let forecast = self.answer_forecast(now, larger, place);
        // Without a number of tokens, the end is not forecast.
        let complete =
            forecast.map_or(1.0, |forecast| forecast.ends_within(larger.ends.since(now)));
        let on_time = forecast.map_or_else(
            || if now + place.expected < due { 1.0 } else { 0.0 },
            |forecast| forecast.begins_within(due.since(now)),
        );
        let mean_work = self.mean_works.get(&larger.pool).copied().unwrap_or_default();
        let work = mean_work.ratio(self.work_ms(larger, place));
        EscalationInputs {
            confidence,
            on_time,
            complete,
            pressure: self.pressure(&larger.pool),
            work,
            more_urgent: self.more_urgent_share(larger),
        }
    }

    /// Returns the pressure on the engines of a pool.
    fn pressure(&self, pool: &PoolId) -> PoolPressure {
        let objective = self.shortest_objectives.get(pool).copied().unwrap_or(Millis::MAX);
        let backlogs = self.servers.open(pool).map(BackendServer::expected_backlog);
        PoolPressure::of(backlogs, objective)
    }

    /// Returns the estimated time to process a prompt at a server, in milliseconds.
    fn work_ms(&self, state: &RoutedRequest, place: &SelectedServer) -> f64 {
        place.unread * self.pace(state).token_ms()
    }
}
