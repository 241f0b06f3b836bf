use super::*;

/// When each server last began or completed an answer to this VM.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct ServerProgress {
    latest: BTreeMap<ServerId, Millis>,
}

impl ServerProgress {
    /// The number of servers from which on those without recent progress are removed.
    const LIMIT: usize = 1_024;
    /// Longer than any request.
    const RETENTION_MS: u64 = 60_000;

    pub(super) fn record(&mut self, now: Millis, server: &ServerId) {
        if self.latest.len() >= Self::LIMIT {
            self.latest.retain(|_, at| now.since(*at).0 < Self::RETENTION_MS);
        }
        self.latest.insert(server.clone(), now);
    }

    /// Returns whether a server has made progress for some request since a time.
    pub(super) fn is_since(&self, server: &ServerId, time: Millis) -> bool {
        self.latest.get(server).is_some_and(|at| *at > time)
    }
}

impl Gateway {
    /// The multiple of the estimated time to the answer after which a server counts as
    /// unresponsive.
    const UNRESPONSIVE_FACTOR: u64 = 4;

    /// Returns when the server of a run that starts now counts as unresponsive if it has sent
    /// nothing, or none if the request must not run again elsewhere.
    pub(in super::super) fn response_deadline(
        now: Millis,
        state: &RoutedRequest,
        expected: Millis,
    ) -> Option<Millis> {
        let is_resumable = state.route.kind == RouteKind::Stream { resumable: true };
        let may_move = state.route.kind == RouteKind::Idempotent || is_resumable;
        let response_time =
            state.route.objective.max(Millis(expected.0 * Self::UNRESPONSIVE_FACTOR));
        may_move.then_some(now + response_time)
    }

    /// Returns whether the open run, which may be another than the one that a deadline was set for,
    /// waits for its answer beyond its own deadline.
    pub(in super::super) fn is_overdue(now: Millis, state: &RoutedRequest) -> bool {
        let waiting = state.open_run().filter(|run| run.stage == RunStage::Waiting);
        let due = waiting.and_then(|run| Self::response_deadline(run.started, state, run.expected));
        due.is_some_and(|due| now >= due)
    }

    /// Returns whether the open run of a stream may only be late because its server is busy: the
    /// server has begun or completed other answers since the run started, or no other run has
    /// failed there. Moving it would then add its work to another server's, when all have too much.
    pub(in super::super) fn is_stream_queued(&self, state: &RoutedRequest) -> bool {
        let waiting = state.open_run().filter(|run| run.stage == RunStage::Waiting);
        state.route.kind.is_stream()
            && waiting.is_some_and(|run| {
                let server = self.servers.get(&run.server);
                let has_failed = server.is_some_and(|server| server.consecutive_failures > 0);
                !has_failed || self.progress.is_since(&run.server, run.started)
            })
    }
}
