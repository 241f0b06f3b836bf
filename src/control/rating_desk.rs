use super::*;

/// The ratings that have been asked for and have not come.
#[derive(Clone, Debug, Default)]
pub(super) struct RatingDesk {
    pending: FxHashMap<(RequestNumber, AttemptId), AnswerEvidence>,
    order: VecDeque<(Millis, RequestNumber, AttemptId)>,
}

impl RatingDesk {
    const LIMIT: usize = 2_000;
    const FORGET_AFTER_MS: u64 = 60_000;

    pub(super) fn ask(
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

    pub(super) fn take(
        &mut self,
        request: RequestNumber,
        attempt: AttemptId,
    ) -> Option<AnswerEvidence> {
        self.pending.remove(&(request, attempt))
    }
}
