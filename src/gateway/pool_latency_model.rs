/// The latency model of a pool's servers, learned from their answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLatencyModel {
    /// The time to process one prompt token, in milliseconds.
    pub token_ms: f64,
    /// How much longer a first event takes for each concurrent request, in milliseconds.
    pub neighbour_ms: f64,
    /// How long each request in a server's queue delays those behind it, in milliseconds.
    pub queue_ms: f64,
    samples: u32,
}

impl PoolLatencyModel {
    /// The weight of a new sample once there are many.
    const MIN_SAMPLE_WEIGHT: f64 = 0.05;
    /// The range to which samples of the time per token are clamped, in milliseconds.
    const TOKEN_MS_RANGE: (f64, f64) = (0.002, 0.5);
    /// The range to which samples of the time per call are clamped, in milliseconds.
    const CALL_MS_RANGE: (f64, f64) = (1.0, 2_000.0);
    /// Prompts with fewer tokens to process give no sample: fixed costs dominate their time.
    const MIN_TOKENS: f64 = 1_000.0;

    /// Returns the initial values for engines: 20 prompt tokens a millisecond, which lies between
    /// the speeds of small and large models.
    #[must_use]
    pub const fn engine() -> Self {
        Self { token_ms: 0.05, neighbour_ms: 5.0, queue_ms: 60.0, samples: 0 }
    }

    /// Returns the initial values for a plain service.
    #[must_use]
    pub const fn service() -> Self {
        Self { token_ms: 0.0, neighbour_ms: 5.0, queue_ms: 40.0, samples: 0 }
    }

    /// Updates the time per token from a prompt's time to its first event. `unread` is the number
    /// of tokens that were not cached.
    pub fn learn_prompt(&mut self, unread: f64, took_ms: f64) {
        if unread < Self::MIN_TOKENS {
            return;
        }
        let sample = (took_ms / unread).clamp(Self::TOKEN_MS_RANGE.0, Self::TOKEN_MS_RANGE.1);
        self.token_ms += (sample - self.token_ms) * self.next_weight();
    }

    /// Updates the queueing delay from the duration of a call of a plain service.
    pub fn learn_call(&mut self, took_ms: f64, slots: u32) {
        let sample = took_ms.clamp(Self::CALL_MS_RANGE.0, Self::CALL_MS_RANGE.1);
        let waiting = sample / f64::from(slots.max(1));
        self.queue_ms += (waiting - self.queue_ms) * self.next_weight();
        self.neighbour_ms = self.queue_ms / 4.0;
    }

    /// Returns the weight of the next sample: the mean of the first samples, then a moving average.
    fn next_weight(&mut self) -> f64 {
        self.samples = self.samples.saturating_add(1);
        (1.0 / f64::from(self.samples)).max(Self::MIN_SAMPLE_WEIGHT)
    }
}
