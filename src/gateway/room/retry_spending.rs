use super::*;

impl Gateway {
    /// The fraction of the permitted share of retries that is used. The rest allows for requests
    /// that an outside measurement counts in another window than this VM.
    const USED_SHARE: f64 = 0.85;

    /// Spends a retry of a request that may have reached a server from the pool's budget, if enough
    /// is left for what is worth more. Returns whether it did.
    pub(in crate::gateway) fn spend_retry(
        &mut self,
        now: Millis,
        state: &RoutedRequest,
        purpose: RetryPurpose,
    ) -> bool {
        let window = self.bounds.resend_window_ms;
        let share = self.bounds.resend_share.get() * Self::USED_SHARE;
        let reserve = RetryBudget::reserve(self.bounds.resend_extra, self.known_vms());
        let leaves = purpose.leaves(self.more_urgent_share(state));
        let budget = self.budgets.entry(state.pool.clone()).or_default();
        let is_spent = budget.try_spend(now, window, share, reserve, leaves);
        if !is_spent {
            tracing::info!(
                request = state.arrival.request.0,
                ?purpose,
                rank = state.rank,
                leaves,
                "no retry: the retry budget is exhausted"
            );
        }
        is_spent
    }

    /// Returns the share of the ranks of the pool's routes that are more urgent than a request's.
    pub(in crate::gateway) fn more_urgent_share(&self, state: &RoutedRequest) -> f64 {
        let ranks = self.pool_ranks.get(&state.pool);
        let more_urgent = ranks.map_or(0, |ranks| ranks.range(..state.rank).count());
        more_urgent as f64 / ranks.map_or(1, BTreeSet::len).max(1) as f64
    }
}
