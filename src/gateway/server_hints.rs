//! Reacting to what backend servers report in the headers of their answers.
//!
//! The server list is updated late, or not at all while the store is unreachable. A server that
//! shuts down also says so in its answers. That takes effect at once and is passed on to the other
//! VMs with the polls. A server that rejects a request may name a backoff, in which this VM must
//! send it nothing. Requests that arrive in the meantime go to other servers, wait if a server will
//! be available in time, or are refused at once with a retry-after time.
//!
//! This protects a full pool that serves many VMs. Without a backoff, every VM would try every
//! server again and again, and at the end of a backoff all waiting requests would arrive at once.
//! The circuit breaker of a server is therefore half open after its backoff: it gets a single
//! request until that is answered.

use super::*;

impl Gateway {
    /// Maximum number of servers that one message reports as leaving.
    const MAX_LEAVING_PER_MESSAGE: usize = 256;

    /// Applies what a server has reported in the answer to a request that was sent at `sent`.
    pub(super) fn on_server_hint(
        &mut self,
        now: Millis,
        start: &ServerStart,
        sent: Millis,
        hint: &ServerHint,
    ) {
        let longest = self.bounds.longest_backoff_ms;
        let Some(server) = self.servers.get_mut(&start.server) else { return };
        // The answer may have been sent before the server restarted.
        if server.entry.born != start.born {
            return;
        }
        let id = &start.server;
        if !hint.unreadable.is_empty() && !server.has_unreadable_hint {
            server.has_unreadable_hint = true;
            tracing::warn!(
                server = %id,
                headers = ?hint.unreadable,
                "ignoring unreadable headers of a server"
            );
        }
        if hint.leaves && server.mark_leaving() {
            tracing::info!(server = %id, "server reported that it is leaving");
        }
        if let Some(backoff) = hint.backoff {
            let backoff = backoff.min(longest);
            server.start_backoff(now, backoff);
            tracing::info!(server = %id, backoff_ms = backoff.0, "server asked for a backoff");
        }
        self.apply_limit_statement(now, id, sent, hint.limit);
        self.apply_cold_statement(now, id, sent, hint.cold);
    }

    /// Returns the servers that have reported that they leave and that the server list does not
    /// show as leaving.
    pub(super) fn leaving_servers(&self) -> Vec<ServerStart> {
        let unlisted = self.servers.iter().filter(|server| server.is_leaving_unlisted());
        let to_start = |server: &BackendServer| ServerStart {
            server: server.entry.id.clone(),
            born: server.entry.born,
        };
        unlisted.map(to_start).take(Self::MAX_LEAVING_PER_MESSAGE).collect()
    }

    /// Applies the reports of leaving servers that another VM has received.
    pub(super) fn apply_leaving(&mut self, from: &VmId, leaving: &[ServerStart]) {
        for ServerStart { server: id, born } in leaving {
            let Some(server) = self.servers.get_mut(id) else { continue };
            if server.entry.born == *born && server.mark_leaving() {
                tracing::info!(
                    server = %id,
                    from = %from,
                    "another VM reported that a server is leaving"
                );
            }
        }
    }

    /// Returns the time until the first server of a pool is expected to accept requests from this VM
    /// again. `None` if a server accepts them now.
    pub(super) fn pool_backoff(&self, now: Millis, pool: &PoolId) -> Option<Millis> {
        if self.servers.open(pool).any(|server| server.accepts(now)) {
            return None;
        }
        let backoffs = self.servers.open(pool).filter_map(|server| server.backoff(now));
        backoffs.chain(self.permit_wait(now, pool)).min()
    }

    /// Lets a request wait until a server of its pool accepts requests again. Returns its refusal
    /// if that is too late for the request.
    pub(super) fn wait_backoff(
        &mut self,
        now: Millis,
        request: RequestNumber,
        backoff: Millis,
    ) -> Result<(), Refusal> {
        /// Mean random delay that is added to a backoff, so that not all waiting requests arrive at
        /// the same moment.
        const MEAN_JITTER_MS: f64 = 20.0;
        let draw = self.draw();
        let Some(state) = self.requests.get(&request) else { return Ok(()) };
        let delay = backoff + Millis((MEAN_JITTER_MS * 2.0 * draw) as u64);
        let at = now + delay;
        let is_in_time = at <= self.last_start(state) && state.run_state() == RunState::NotRun;
        if is_in_time && !state.is_delivered {
            self.wait_until(now, request, at, "waits: all servers back off");
            return Ok(());
        }
        let refusal = Self::no_server_refusal(state);
        let is_not_run = refusal.run == RunState::NotRun;
        Err(if is_not_run { refusal.with_retry_after(delay) } else { refusal })
    }
}
