use super::*;

/// The estimated latency and cost of a run at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerEstimate<'a> {
    pub(super) server: &'a BackendServer,
    /// The prompt tokens that the server has to process because they are not cached.
    unread: f64,
    /// The time to the first event, in milliseconds.
    expected_ms: f64,
    /// That time plus penalties for delayed requests, distance and failures, in milliseconds.
    cost_ms: f64,
}

impl<'a> ServerEstimate<'a> {
    /// The additional latency of a call to another data centre.
    const REMOTE_PENALTY_MS: f64 = 3.0;
    /// The penalty per expected failure beyond the pool's mean.
    const FAILURE_PENALTY_MS: f64 = 2_000.0;
    /// How far a server's share of failures may exceed the mean by chance.
    const FAILURE_RATE_SLACK: f64 = 0.12;
    /// The cost to other requests of processing a prompt, as a multiple of the processing time:
    /// about so many requests at a busy server wait for their next event meanwhile.
    const PROMPT_DELAY_WEIGHT: f64 = 5.0;
    /// The range of the tie-breaker, which spreads requests over servers of equal cost.
    const TIE_BREAK_MS: f64 = 1.0;

    pub(super) fn of(
        now: Millis,
        server: &'a BackendServer,
        wish: &ServerCriteria<'_>,
        homes: &RendezvousServers<'_>,
        mean_failure_rate: f64,
    ) -> Self {
        let unread = Self::unread_tokens(now, server, wish.parts, homes);
        let prompt_ms = unread * wish.pace.token_ms() * server.speed.factor();
        let expected_ms = Self::expected_first_ms(now, server, wish, prompt_ms);
        let is_remote = server.entry.data_centre != *wish.data_centre;
        let remote_penalty = if is_remote { Self::REMOTE_PENALTY_MS } else { 0.0 };
        let delay_cost = prompt_ms * Self::PROMPT_DELAY_WEIGHT;
        let excess_failure_rate =
            (server.failure_rate - mean_failure_rate - Self::FAILURE_RATE_SLACK).max(0.0);
        let tie = wish.tie ^ xxh3_64(server.entry.id.as_str().as_bytes());
        let tie = (tie % 1_000) as f64 / 1_000.0 * Self::TIE_BREAK_MS;
        let cost_ms = expected_ms
            + delay_cost
            + remote_penalty
            + excess_failure_rate * Self::FAILURE_PENALTY_MS
            + tie;
        Self { server, unread, expected_ms, cost_ms }
    }

    /// Returns the estimate with the lowest cost.
    pub(super) fn cheapest<'b>(estimates: impl Iterator<Item = &'b Self>) -> Option<&'b Self>
    where
        'a: 'b,
    {
        estimates.min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))
    }

    pub(super) fn place(&self) -> SelectedServer {
        let entry = &self.server.entry;
        SelectedServer {
            server: entry.id.clone(),
            address: entry.address,
            software: entry.software.clone(),
            unread: self.unread,
            expected: Millis(self.expected_ms as u64),
        }
    }

    /// Returns the tokens of a prompt that a server has to process: those after the cached parts.
    fn unread_tokens(
        now: Millis,
        server: &BackendServer,
        parts: &[PromptPart],
        homes: &RendezvousServers<'_>,
    ) -> f64 {
        let (shared, own) = parts.split_at(parts.len().saturating_sub(1));
        let sum = |parts: &[PromptPart]| parts.iter().map(|part| part.tokens.0 as f64).sum::<f64>();
        let sent = shared.iter().take_while(|part| server.has_cached_part(now, part.id)).count();
        let unsent = sum(&shared[sent..]);
        sum(own) + unsent * (1.0 - homes.cached_share(&server.entry.id))
    }

    fn expected_first_ms(
        now: Millis,
        server: &BackendServer,
        wish: &ServerCriteria<'_>,
        prompt_ms: f64,
    ) -> f64 {
        let requests = server.expected_requests(now);
        let waiting = server.expected_waiting(now);
        let slots = f64::from(server.entry.slots.max(1));
        let queued = (requests - slots + 1.0).max(0.0).max(waiting);
        let prompt_ms = server.expected_backlog() + prompt_ms;
        let work_ms = prompt_ms + requests * wish.pace.neighbour_ms;
        (wish.pace.fixed_ms() + work_ms + queued * wish.pace.queue_ms) * server.slowdown(now)
    }
}
