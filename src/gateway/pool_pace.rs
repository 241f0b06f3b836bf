/// How fast the servers of a pool work, learned from their answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolPace {
    /// The time that one token of a prompt takes to read, in milliseconds.
    pub token_ms: f64,
    /// How much longer a first event takes for each request that runs beside, in milliseconds.
    pub neighbour_ms: f64,
    /// How long one request in a server's queue keeps those behind it waiting, in milliseconds.
    pub queue_ms: f64,
    samples: u32,
}

impl PoolPace {
    /// The weight of the newest sample in a mean of many.
    const LAST_WEIGHT: f64 = 0.05;
    /// The bounds of what is believed of one token's time, in milliseconds.
    const TOKEN_MS: (f64, f64) = (0.002, 0.5);
    /// The bounds of what is believed of one call's time, in milliseconds.
    const CALL_MS: (f64, f64) = (1.0, 2_000.0);
    /// The tokens from which a prompt tells something of the time of a token.
    const LEAST_TOKENS: f64 = 1_000.0;

    /// Returns the pace that is assumed of engines before they have answered: 20 tokens a
    /// millisecond, which is between that of small and large models.
    #[must_use]
    pub const fn engine() -> Self {
        Self { token_ms: 0.05, neighbour_ms: 5.0, queue_ms: 60.0, samples: 0 }
    }

    /// Returns the pace that is assumed of a plain service before it has answered.
    #[must_use]
    pub const fn service() -> Self {
        Self { token_ms: 0.0, neighbour_ms: 5.0, queue_ms: 40.0, samples: 0 }
    }

    /// Learns from the time that a prompt took up to its first event.
    pub fn learn_prompt(&mut self, unread: f64, took_ms: f64) {
        if unread < Self::LEAST_TOKENS {
            return;
        }
        let sample = (took_ms / unread).clamp(Self::TOKEN_MS.0, Self::TOKEN_MS.1);
        self.token_ms += (sample - self.token_ms) * self.next_weight();
    }

    /// Learns from the time that a call of a plain service took.
    pub fn learn_call(&mut self, took_ms: f64, slots: u32) {
        let sample = took_ms.clamp(Self::CALL_MS.0, Self::CALL_MS.1);
        let waiting = sample / f64::from(slots.max(1));
        self.queue_ms += (waiting - self.queue_ms) * self.next_weight();
        self.neighbour_ms = self.queue_ms / 4.0;
    }

    /// Returns the weight of the next sample: the first ones count as much as each other.
    fn next_weight(&mut self) -> f64 {
        self.samples = self.samples.saturating_add(1);
        (1.0 / f64::from(self.samples)).max(Self::LAST_WEIGHT)
    }
}
