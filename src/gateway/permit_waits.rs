//! Requests that wait for a permit because all servers of their pool are at their limits.
//!
//! Permits go to the most urgent requests first. A request for which no permit can come in time is
//! refused at once.

use super::*;

impl Gateway {
    /// Why a stream that waited for a permit is broken off.
    pub(super) const NO_PERMIT_REASON: &str = "no server may resume the stream";

    /// Returns the time until all requests that wait for permits of a pool's servers can have got
    /// one; none if no server of the pool is at its limit.
    pub(super) fn permit_wait(&self, now: Millis, pool: &PoolId) -> Option<Millis> {
        let servers = self.servers.open(pool).filter(|server| server.is_at_limit(now));
        let servers = servers.filter(|server| server.backoff(now).is_none());
        let wait = |server: &BackendServer| {
            let expected = self.limits.expected.get(&ServerTag::from(&server.entry.id));
            expected.map(|expected| expected.since(now)).unwrap_or_default()
        };
        servers.map(wait).min()
    }

    /// Returns the time until a request can expect a permit, if all requests that wait at all VMs
    /// have got one after `wait`. This VM gets permits in proportion to its waiting requests.
    fn own_permit_wait(&self, now: Millis, state: &RoutedRequest, wait: Millis) -> Millis {
        let waiting = self.limits.waiting.get(&state.pool).into_iter().flatten();
        let others = waiting.filter(|request| **request != state.arrival.request);
        let others: Vec<&RoutedRequest> =
            others.filter_map(|request| self.requests.get(request)).collect();
        let is_before = |other: &&&RoutedRequest| self.permit_order(now, other, state).is_lt();
        let ahead = others.iter().filter(is_before).count() as f64;
        let rates = self.servers.open(&state.pool).filter_map(BackendServer::permit_rate);
        let rate: f64 = rates.map(|rate| rate.0).sum();
        let share = (ahead + 1.0) / (others.len() + 1) as f64;
        let ms = (wait.0 as f64 * share).max(ahead / rate.max(f64::MIN_POSITIVE) * 1_000.0);
        Millis(ms as u64)
    }

    /// Returns the order in which waiting requests get permits: the more urgent ones first, then
    /// those of teams that send less, then the older ones.
    fn permit_order(
        &self,
        now: Millis,
        one: &RoutedRequest,
        other: &RoutedRequest,
    ) -> std::cmp::Ordering {
        let overuse = |state: &RoutedRequest| self.crowded.overuse_factor(now, state.team.as_ref());
        let age = |state: &RoutedRequest| (state.received, state.arrival.request);
        one.rank
            .cmp(&other.rank)
            .then_with(|| overuse(one).total_cmp(&overuse(other)))
            .then_with(|| age(one).cmp(&age(other)))
    }

    /// Lets a request wait for a permit. Returns its refusal if that would be too late.
    pub(super) fn wait_for_permit(
        &mut self,
        now: Millis,
        request: RequestNumber,
        wait: Millis,
    ) -> Result<(), Refusal> {
        /// The least time until the request is looked at again, unless a permit arrives before.
        const MIN_WAIT_MS: u64 = 100;
        let draw = self.draw();
        let Some(state) = self.requests.get(&request) else { return Ok(()) };
        let wait = self.own_permit_wait(now, state, wait);
        // The rest of a stream is useful for as long as its caller waits.
        let last = if state.is_delivered { state.ends } else { self.last_start(state) };
        if now + wait.max(Millis(1)) <= last {
            let waiting = self.limits.waiting.entry(state.pool.clone()).or_default();
            if waiting.insert(request) {
                self.limits.next_ask = now;
            }
            let at = (now + wait.max(Millis(MIN_WAIT_MS))).min(last);
            self.wait_until(now, request, at, "waits: all servers are at the limits they named");
            return Ok(());
        }
        let message = "The servers of the pool are at the limits that they named; ask again.";
        let refusal = Self::final_refusal(state, RefusalCode::Unavailable, message);
        if refusal.run != RunState::NotRun {
            return Err(refusal);
        }
        // Callers return spread over twice the time, as those that wait are served first.
        let pause = wait.max(Millis(Self::NO_SERVER_RETRY_MS)).0 as f64 * (1.0 + draw);
        Err(refusal.with_retry_after(Millis(pause as u64)))
    }

    /// Sends the requests that wait for permits as far as there are any, the most urgent first and
    /// those of teams that send much last.
    pub(super) fn start_waiting_for_permits(&mut self, now: Millis) {
        let pools: Vec<PoolId> = self.limits.waiting.keys().cloned().collect();
        for pool in pools {
            for request in self.in_order(now, &pool) {
                if !self.servers.open(&pool).any(|server| server.accepts(now)) {
                    break;
                }
                let state = self.requests.get(&request);
                if state.is_none_or(|state| self.find_server(now, state).is_none()) {
                    continue;
                }
                self.crowded.remove(request);
                if let Err(refusal) = self.send(now, request, "a permit has arrived") {
                    self.give_up(now, request, refusal, Self::NO_PERMIT_REASON);
                }
            }
        }
    }

    fn in_order(&self, now: Millis, pool: &PoolId) -> Vec<RequestNumber> {
        let waiting = self.limits.waiting.get(pool).into_iter().flatten();
        let mut states: Vec<&RoutedRequest> =
            waiting.filter_map(|request| self.requests.get(request)).collect();
        states.sort_by(|one, other| self.permit_order(now, one, other));
        states.into_iter().map(|state| state.arrival.request).collect()
    }

    /// Removes a request that is sent or has ended from those that wait for permits.
    pub(super) fn end_permit_wait(&mut self, pool: &PoolId, request: RequestNumber) {
        if let Some(waiting) = self.limits.waiting.get_mut(pool) {
            waiting.remove(&request);
            if waiting.is_empty() {
                self.limits.waiting.remove(pool);
            }
        }
    }
}
