use super::*;

/// The latency model of a pool's servers, learned from their answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLatencyModel {
    /// The time to process prompts; none for a plain service.
    pub prompt: Option<PromptPace>,
    /// How much longer a first event takes for each concurrent request, in milliseconds.
    pub neighbour_ms: f64,
    /// How long each request in a server's queue delays those behind it, in milliseconds.
    pub queue_ms: f64,
    samples: u32,
}

impl PoolLatencyModel {
    /// The weight of a new sample once there are many.
    const MIN_SAMPLE_WEIGHT: f64 = 0.05;
    /// The range to which samples of the time per call are clamped, in milliseconds.
    const CALL_MS_RANGE: (f64, f64) = (1.0, 2_000.0);

    /// Returns the initial values for engines.
    #[must_use]
    pub fn engine() -> Self {
        let prompt = Some(PromptPace::default());
        Self { prompt, neighbour_ms: 5.0, queue_ms: 60.0, samples: 0 }
    }

    /// Returns the initial values for a plain service.
    #[must_use]
    pub const fn service() -> Self {
        Self { prompt: None, neighbour_ms: 5.0, queue_ms: 40.0, samples: 0 }
    }

    /// Returns the time to process one prompt token, in milliseconds; zero for a plain service.
    #[must_use]
    pub fn token_ms(&self) -> f64 {
        self.prompt.as_ref().map_or(0.0, PromptPace::token_ms)
    }

    /// Returns the time to the first event of a cached prompt at an idle server, in milliseconds;
    /// zero for a plain service.
    #[must_use]
    pub fn fixed_ms(&self) -> f64 {
        self.prompt.as_ref().map_or(0.0, PromptPace::fixed_ms)
    }

    /// Updates the time to process prompts from a prompt's time to its first event. `unread` is the
    /// number of tokens that were not cached, `beside` the number of requests at the server.
    pub fn learn_prompt(&mut self, unread: f64, beside: f64, took_ms: f64) {
        let alone_ms = (took_ms - beside * self.neighbour_ms).max(1.0);
        self.prompt.get_or_insert_default().record(unread, alone_ms);
    }

    /// Updates the queueing delay from the duration of a call of a plain service.
    pub fn learn_call(&mut self, took_ms: f64, slots: u32) {
        let sample = took_ms.clamp(Self::CALL_MS_RANGE.0, Self::CALL_MS_RANGE.1);
        let waiting = sample / f64::from(slots.max(1));
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(Self::MIN_SAMPLE_WEIGHT);
        self.queue_ms += (waiting - self.queue_ms) * weight;
        self.neighbour_ms = self.queue_ms / 4.0;
    }
}
