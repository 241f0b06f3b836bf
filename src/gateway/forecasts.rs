//! Forecasts of when an answer begins and ends, learned from the answers of this VM.
//!
//! For each pool and model the VM learns the distribution of measured to expected times, and the
//! time per generated token of streams ([`StreamPace`]). A backend server whose streams are faster
//! or slower than its pool's corrects the pool's forecast ([`ServerSpeed`]). A decision uses the
//! probability that an answer comes in time ([`ForecastError`]) instead of a mean alone.
//!
//! A run that is abandoned counts with the time that it has taken so far if that is already longer
//! than expected. Without it, only the fast answers would be learned from.

use super::*;

mod answer_forecast;
mod forecast_error;
mod model_forecast;
mod prompt_pace;
mod recent_points;
mod server_speed;
mod stream_pace;

pub use {
    answer_forecast::AnswerForecast, forecast_error::ForecastError, model_forecast::ModelForecast,
    prompt_pace::PromptPace, server_speed::ServerSpeed, stream_pace::StreamPace,
};

use recent_points::RecentPoints;

impl Gateway {
    /// Returns the forecast of a stream that is sent to a server now. None if the number of tokens
    /// is unknown or the stream is resumed.
    pub(super) fn answer_forecast(
        &self,
        now: Millis,
        state: &RoutedRequest,
        place: &SelectedServer,
    ) -> Option<AnswerForecast> {
        let is_whole_stream = state.route.kind.is_stream() && state.last_event.is_none();
        if !is_whole_stream || state.arrival.output_limit.0 == 0 {
            return None;
        }
        let server = self.servers.get(&place.server)?;
        let key = (state.pool.clone(), state.model.clone());
        let beside = server.expected_requests(now);
        let speed = server.speed.factor();
        let known = self.forecasts.get(&key).copied().unwrap_or_default();
        let token_ms = known.pace.token_ms(beside) * speed;
        let token_ms = token_ms.max(self.unfinished_pace(now, state));
        let tokens = state.arrival.output_limit.0 as f64;
        let first_ms = known.first.median(place.expected.0 as f64);
        Some(AnswerForecast {
            first: known.first,
            end: known.end,
            first_ms: place.expected.0 as f64,
            end_ms: first_ms + tokens * token_ms,
            knows_end: known.pace.is_known(),
            beside,
            tokens,
        })
    }

    /// Returns the mean time per token that the unfinished streams of a pool and model have taken
    /// so far, which is a lower bound of their final one. It notices a slowdown before any of them
    /// ends.
    fn unfinished_pace(&self, now: Millis, state: &RoutedRequest) -> f64 {
        let like = self.requests.values().filter(|other| other.pool == state.pool);
        let like = like.filter(|other| other.model == state.model);
        let paces = like.filter_map(|other| {
            let run = other.open_run()?;
            let began = run.began?;
            let tokens = run.forecast.as_ref()?.tokens;
            Some(now.since(began).0 as f64 / tokens)
        });
        let (count, sum) = paces.fold((0, 0.0), |(count, sum), pace| (count + 1, sum + pace));
        sum / f64::from(count.max(1))
    }

    /// Measures by how much the runs under way at each server are late. A server that is slow or
    /// has more work than this VM knows of is thus noticed before its answers end, by the other
    /// VMs too, which add it to its backlog.
    pub(super) fn measure_lateness(&mut self, now: Millis) {
        /// Half of the interval at which loads are exchanged.
        const INTERVAL_MS: u64 = 50;
        if now < self.lateness_next {
            return;
        }
        self.lateness_next = now + Millis(INTERVAL_MS);
        let mut late: BTreeMap<ServerId, f64> = BTreeMap::new();
        for run in self.requests.values().filter_map(RoutedRequest::open_run) {
            let Some(forecast) = &run.forecast else { continue };
            let lateness = forecast.lateness_ms(now.since(run.started), run.began.is_some());
            if lateness > 0.0 {
                *late.entry(run.server.clone()).or_default() += lateness;
            }
        }
        self.servers.set_lateness(now, &late);
    }

    /// Learns from the first event of a stream.
    pub(super) fn learn_first(&mut self, pool: &PoolId, run: &RunRecord, took: Millis) {
        let Some(forecast) = &run.forecast else { return };
        let known = self.forecasts.entry((pool.clone(), run.model.clone())).or_default();
        known.first.record(forecast.first_ms, took.0 as f64);
    }

    /// Learns from a stream that ended completely.
    pub(super) fn learn_end(&mut self, now: Millis, pool: &PoolId, run: &RunRecord) {
        let (Some(forecast), Some(began)) = (&run.forecast, run.began) else { return };
        let streamed_ms = now.since(began).0 as f64;
        let known = self.forecasts.entry((pool.clone(), run.model.clone())).or_default();
        let pace = streamed_ms / forecast.tokens;
        if known.pace.is_known()
            && let Some(server) = self.servers.get_mut(&run.server)
        {
            server.speed.record(known.pace.token_ms(forecast.beside), pace);
        }
        known.pace.record(forecast.beside, pace);
        if forecast.knows_end {
            known.end.record(forecast.end_ms, now.since(run.started).0 as f64);
        }
    }

    /// Forgets a little of what was learned about a model that is not asked because of it.
    pub(super) fn relax_forecasts(&mut self, state: &RoutedRequest) {
        let key = (state.pool.clone(), state.model.clone());
        if let Some(known) = self.forecasts.get_mut(&key) {
            known.first.relax();
            known.end.relax();
        }
    }

    /// Learns from the run under way of a request that ends now without a complete answer.
    pub(super) fn learn_unfinished(&mut self, now: Millis, request: RequestNumber) {
        let Some(state) = self.requests.get(&request) else { return };
        let Some(run) = state.open_run().cloned() else { return };
        let Some(forecast) = &run.forecast else { return };
        let pool = state.pool.clone();
        let took = now.since(run.started).0 as f64;
        let known = self.forecasts.entry((pool, run.model.clone())).or_default();
        if run.began.is_none() && took > known.first.median(forecast.first_ms) {
            known.first.record_unfinished(forecast.first_ms, took);
        }
        if forecast.knows_end && took > known.end.median(forecast.end_ms) {
            known.end.record_unfinished(forecast.end_ms, took);
        }
    }
}
