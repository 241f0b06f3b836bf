use super::*;

/// What a run is expected to be like at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlaceEstimate<'a> {
    pub(super) server: &'a BackendServer,
    /// The tokens that it has to read.
    unread: f64,
    /// The time to the first event, in milliseconds.
    expected_ms: f64,
    /// That time, and what else speaks against the server, in milliseconds.
    cost_ms: f64,
}

impl<'a> PlaceEstimate<'a> {
    /// The time that a call to another data centre takes longer.
    const DISTANCE_MS: f64 = 3.0;
    /// What a request loses by a failure that could have been avoided.
    const FAILURE_MS: f64 = 2_000.0;
    /// How far a server's share of failures may lie above the mean by chance.
    const FAIL_SLACK: f64 = 0.12;
    /// What reading a prompt costs the requests behind it, as a share of the time that it takes: at
    /// least one request waits for it where servers are busy, and callers accept far longer times
    /// than one reading where they are not.
    const READING_WEIGHT: f64 = 1.0;
    /// Spreads requests over servers that are as good as each other.
    const TIE_MS: f64 = 1.0;

    pub(super) fn of(
        now: Millis,
        server: &'a BackendServer,
        wish: &PlaceWish<'_>,
        homes: &PartHomes<'_>,
        mean_fail: f64,
    ) -> Self {
        let unread = Self::unread_tokens(now, server, wish.parts, homes);
        let reading_ms = unread * wish.pace.token_ms;
        let expected_ms = Self::expected_first(now, server, wish, reading_ms);
        let is_far = server.entry.data_centre != *wish.data_centre;
        let distance = if is_far { Self::DISTANCE_MS } else { 0.0 };
        let delay = reading_ms * Self::READING_WEIGHT;
        let failing = (server.fail_share - mean_fail - Self::FAIL_SLACK).max(0.0);
        let tie = wish.tie ^ xxh3_64(server.entry.id.as_str().as_bytes());
        let tie = (tie % 1_000) as f64 / 1_000.0 * Self::TIE_MS;
        let cost_ms = expected_ms + delay + distance + failing * Self::FAILURE_MS + tie;
        Self { server, unread, expected_ms, cost_ms }
    }

    /// Returns the estimate that has least against it.
    pub(super) fn cheapest<'b>(estimates: impl Iterator<Item = &'b Self>) -> Option<&'b Self>
    where
        'a: 'b,
    {
        estimates.min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))
    }

    pub(super) fn place(&self) -> Place {
        let entry = &self.server.entry;
        Place {
            server: entry.id.clone(),
            address: entry.address,
            software: entry.software.clone(),
            unread: self.unread,
            expected: Millis(self.expected_ms as u64),
        }
    }

    /// Returns the tokens of a prompt that a server has to read: those after the cached parts.
    fn unread_tokens(
        now: Millis,
        server: &BackendServer,
        parts: &[PromptPart],
        homes: &PartHomes<'_>,
    ) -> f64 {
        let (shared, own) = parts.split_at(parts.len().saturating_sub(1));
        let sum = |parts: &[PromptPart]| parts.iter().map(|part| part.tokens.0 as f64).sum::<f64>();
        let sent = shared.iter().take_while(|part| server.has_part(now, part.id)).count();
        let unsent = sum(&shared[sent..]);
        sum(own) + unsent * (1.0 - homes.cached_share(&server.entry.id))
    }

    fn expected_first(
        now: Millis,
        server: &BackendServer,
        wish: &PlaceWish<'_>,
        reading_ms: f64,
    ) -> f64 {
        let requests = server.expected_requests(now);
        let waiting = server.expected_waiting(now);
        let slots = f64::from(server.entry.slots.max(1));
        let over = (requests - slots + 1.0).max(0.0).max(waiting);
        let reading_ms = server.expected_backlog() + reading_ms;
        let work_ms = reading_ms + requests * wish.pace.neighbour_ms;
        (work_ms + over * wish.pace.queue_ms) * server.slowdown(now)
    }
}
