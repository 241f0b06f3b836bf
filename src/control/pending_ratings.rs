use super::*;

/// The evidence of answers whose ratings have been requested and have not arrived.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRatings {
    pending: FxHashMap<(RequestNumber, AttemptId), AnswerEvidence>,
    order: VecDeque<(Millis, RequestNumber, AttemptId)>,
}

impl PendingRatings {
    /// The most ratings awaited; the oldest are dropped beyond it.
    const LIMIT: usize = 2_000;
    /// The time after which a rating is not awaited any more.
    const FORGET_AFTER_MS: u64 = 60_000;

    /// Adds a requested rating, and drops those that are too old or too many.
    pub(super) fn insert(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
        evidence: AnswerEvidence,
    ) {
        self.pending.insert((request, attempt), evidence);
        self.order.push_back((now, request, attempt));
        while let Some((at, request, attempt)) = self.order.front().copied() {
            let is_old = now.since(at) > Millis(Self::FORGET_AFTER_MS);
            if !is_old && self.order.len() <= Self::LIMIT {
                return;
            }
            self.order.pop_front();
            self.pending.remove(&(request, attempt));
        }
    }

    /// Removes a rating that has arrived and returns its evidence; none if it was dropped.
    pub(super) fn remove(
        &mut self,
        request: RequestNumber,
        attempt: AttemptId,
    ) -> Option<AnswerEvidence> {
        self.pending.remove(&(request, attempt))
    }
}
