//! The end of the process: no work is cut, no bill is lost.

use super::*;

/// How far a shutdown is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShutdownStage {
    /// None is under way.
    #[default]
    Serving,
    /// Not ready, but the balancer may still send work until a time.
    Lagging(Millis),
    /// No new work is taken; what runs goes on to its end.
    Draining,
    /// No work is left; bills and releases go out. Since a time.
    Flushing(Millis),
}

impl ShutdownStage {
    /// Returns whether no shutdown is under way.
    #[must_use]
    pub const fn is_serving(self) -> bool {
        matches!(self, Self::Serving)
    }

    /// Returns whether new work is taken.
    #[must_use]
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::Serving | Self::Lagging(_))
    }
}

impl Control {
    /// How long the log gets before bills that peers keep are left to them.
    const FLUSH_GRACE_MS: u64 = 2_000;

    pub(super) fn on_shutdown(&mut self, now: Millis) {
        if self.shutdown.is_serving() {
            let until = now + self.balancer_lag;
            self.shutdown = ShutdownStage::Lagging(until);
            tracing::info!(stage = "lagging", until_ms = self.balancer_lag.0, "shutdown");
            self.advance_shutdown(now);
            return;
        }
        let (queued, running) = self.work_counts();
        tracing::warn!(
            stage = ?self.shutdown,
            queued,
            running,
            gated = self.claims.gated.len(),
            forwards = self.claims.forwards.len(),
            bills = self.bills.ledger.waiting(),
            "told to end again; a kill now would cut this work"
        );
    }

    fn work_counts(&self) -> (usize, usize) {
        let queued: usize = self.queues.values().map(FairQueue::len).sum();
        (queued, self.requests.len() - queued.min(self.requests.len()))
    }

    /// Moves a shutdown on as far as it goes now.
    pub(super) fn advance_shutdown(&mut self, now: Millis) {
        if let ShutdownStage::Lagging(until) = self.shutdown
            && now >= until
        {
            self.shutdown = ShutdownStage::Draining;
            let (queued, running) = self.work_counts();
            tracing::info!(stage = "draining", queued, running, "shutdown");
        }
        let idle = self.requests.is_empty()
            && self.session_waits.is_empty()
            && self.claims.gated.is_empty()
            && self.claims.forwards.is_empty();
        if self.shutdown == ShutdownStage::Draining && idle {
            self.shutdown = ShutdownStage::Flushing(now);
            self.bills.ledger.hurry();
            tracing::info!(stage = "flushing", bills = self.bills.ledger.waiting(), "shutdown");
        }
        if let ShutdownStage::Flushing(since) = self.shutdown {
            self.pump_bills(now);
            let all_out = self.bills.ledger.waiting() == 0 && self.claims_are_idle();
            let waited = now.since(since) >= Millis(Self::FLUSH_GRACE_MS);
            if all_out || (waited && !self.bills.ledger.has_unkept()) {
                self.emit(Command::Stop);
            }
        }
    }
}
