use super::*;

/// When the next append to the `bills` stream is due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AppendSchedule {
    soonest: Millis,
    latest: Millis,
}

impl AppendSchedule {
    /// With this many bills waiting, an append is due at `soonest` already.
    const EARLY_APPEND_BILLS: usize = 200;

    /// Schedules the next append for `soonest` if enough bills wait by then, otherwise for
    /// `latest`.
    pub(super) const fn between(soonest: Millis, latest: Millis) -> Self {
        Self { soonest, latest }
    }

    /// Returns whether an append is due, given the number of bills that wait for one.
    pub(super) fn is_due(self, now: Millis, waiting: usize) -> bool {
        now >= self.latest || (waiting >= Self::EARLY_APPEND_BILLS && now >= self.soonest)
    }
}
