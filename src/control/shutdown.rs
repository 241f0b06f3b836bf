//! Graceful shutdown: running work is completed and no bill is lost.

use super::*;

/// The stage of a shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShutdownStage {
    /// No shutdown has been requested.
    #[default]
    Serving,
    /// Not ready any more, but requests are accepted until the given time, as the load balancer may
    /// still send some.
    Lagging(Millis),
    /// No new request is accepted; the accepted ones are completed.
    Draining,
    /// No request is left; bills and claim releases are written to the log. Entered at the given
    /// time.
    Flushing(Millis),
}

impl ShutdownStage {
    /// Returns whether no shutdown has been requested.
    #[must_use]
    pub const fn is_serving(self) -> bool {
        matches!(self, Self::Serving)
    }

    /// Returns whether new requests are accepted.
    #[must_use]
    pub const fn accepts_requests(self) -> bool {
        matches!(self, Self::Serving | Self::Lagging(_))
    }
}

impl Control {
    /// How long to wait for the log before bills that peers have copies of are left to those peers.
    const FLUSH_GRACE_MS: u64 = 2_000;

    /// Begins a shutdown. A repeated order only logs what is still under way.
    pub(super) fn on_shutdown(&mut self, now: Millis) {
        if self.shutdown.is_serving() {
            let until = now + self.balancer_lag;
            self.shutdown = ShutdownStage::Lagging(until);
            tracing::info!(
                stage = "lagging",
                until_ms = self.balancer_lag.0,
                "shutdown stage entered"
            );
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
            bills = self.bills.ledger.unsettled_count(),
            "shutdown requested again; killing the process now would abort this work"
        );
    }

    /// Returns the numbers of queued and of running requests.
    fn work_counts(&self) -> (usize, usize) {
        let queued: usize = self.queues.values().map(FairQueue::len).sum();
        (queued, self.requests.len() - queued.min(self.requests.len()))
    }

    /// Enters the next stages of a shutdown as far as their conditions hold, and ends the process
    /// after the last one.
    pub(super) fn advance_shutdown(&mut self, now: Millis) {
        if let ShutdownStage::Lagging(until) = self.shutdown
            && now >= until
        {
            self.shutdown = ShutdownStage::Draining;
            let (queued, running) = self.work_counts();
            tracing::info!(stage = "draining", queued, running, "shutdown stage entered");
        }
        let idle = self.requests.is_empty()
            && self.session_waits.is_empty()
            && self.claims.gated.is_empty()
            && self.claims.forwards.is_empty();
        if self.shutdown == ShutdownStage::Draining && idle {
            self.shutdown = ShutdownStage::Flushing(now);
            self.bills.ledger.append_immediately();
            tracing::info!(
                stage = "flushing",
                bills = self.bills.ledger.unsettled_count(),
                "shutdown stage entered"
            );
        }
        if let ShutdownStage::Flushing(since) = self.shutdown {
            self.advance_bills(now);
            let is_flushed = self.bills.ledger.unsettled_count() == 0 && self.claims_are_idle();
            let has_timed_out = now.since(since) >= Millis(Self::FLUSH_GRACE_MS);
            if is_flushed || (has_timed_out && !self.bills.ledger.has_unreplicated()) {
                self.emit(Command::Stop);
            }
        }
    }
}
