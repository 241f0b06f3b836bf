use super::*;

impl Gateway {
    /// The mean first wait before the next servers are tried; it doubles with each round. Servers
    /// that could not be reached are avoided meanwhile, so that each round finds others.
    const SEARCH_WAIT_MS: f64 = 40.0;

    /// Lets a request wait whose tries all ended at servers that cannot be reached, as long as its
    /// answer can still be on time, or half of its time is left. When many servers fail at once,
    /// those that still look idle are the failed ones. Returns whether it waits.
    pub(in crate::gateway) fn wait_for_reachable(
        &mut self,
        now: Millis,
        request: RequestNumber,
    ) -> bool {
        let draw = self.draw();
        let Some(state) = self.requests.get(&request) else { return false };
        if !state.has_searched_in_vain() {
            return false;
        }
        let pause = Self::SEARCH_WAIT_MS * f64::from(state.searches()).exp2();
        let at = now + Millis((pause * (0.5 + draw)) as u64);
        let half = Millis(state.ends.since(state.received).0 / 2);
        if at > state.received + state.route.objective.max(half) || at > state.ends {
            return false;
        }
        self.wait_until(now, request, at, "no server could be reached; trying others later");
        true
    }
}
