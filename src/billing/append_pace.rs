use super::*;

/// When the next append of bills may go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AppendPace {
    soonest: Millis,
    latest: Millis,
}

impl AppendPace {
    /// The bills that are worth an append before its interval is over.
    const ENOUGH_BILLS: usize = 200;

    /// Returns the pace after an append: with enough bills the next one goes at `soonest`, with
    /// fewer at `latest`.
    pub(super) const fn between(soonest: Millis, latest: Millis) -> Self {
        Self { soonest, latest }
    }

    /// Returns whether an append is due while a number of bills waits.
    pub(super) fn is_due(self, now: Millis, waiting: usize) -> bool {
        now >= self.latest || (waiting >= Self::ENOUGH_BILLS && now >= self.soonest)
    }
}
