//! What backend servers say of themselves in the heads of their answers.
//!
//! The list of servers comes late, or not at all while the store is out of reach. A server that
//! leaves says so in its answers too; that holds at once, and other VMs are told with the polls. A
//! server that turns a request away may name a time for which it wants nothing from this VM. What
//! comes meanwhile goes to other servers, waits if one of them is back in time, or is refused at once
//! with the time after which it may come again.
//!
//! The load pattern that this answers: a pool that is full, before many VMs. Without a time each VM
//! tries each server again and again; at the end of such a time all that wait would come at once. So
//! the circuit to a server is half open after its backoff: a single request goes there until it is
//! answered.

use super::*;

impl Gateway {
    /// The servers of which one message tells that they leave.
    const LEAVING_LIMIT: usize = 256;

    /// Takes in what a server has said in an answer.
    pub(super) fn on_server_hint(&mut self, now: Millis, start: &ServerStart, hint: &ServerHint) {
        let longest = self.bounds.longest_backoff_ms;
        let Some(server) = self.servers.get_mut(&start.server) else { return };
        // The answer may come from an earlier start.
        if server.entry.born != start.born {
            return;
        }
        let id = &start.server;
        if !hint.unreadable.is_empty() && !server.has_unreadable_hint {
            server.has_unreadable_hint = true;
            tracing::warn!(server = %id, headers = ?hint.unreadable, "a server's hint is unreadable");
        }
        if hint.leaves && server.told_leaving() {
            tracing::info!(server = %id, "a server says that it leaves");
        }
        if let Some(backoff) = hint.backoff {
            let backoff = backoff.min(longest);
            server.told_backoff(now, backoff);
            tracing::info!(server = %id, backoff_ms = backoff.0, "a server wants nothing for a while");
        }
    }

    /// Returns the servers that have said that they leave and are not known to by the list.
    pub(super) fn leaving_servers(&self) -> Vec<ServerStart> {
        let said = self.servers.iter().filter(|server| server.leaves_unlisted());
        let start = |server: &BackendServer| ServerStart {
            server: server.entry.id.clone(),
            born: server.entry.born,
        };
        said.map(start).take(Self::LEAVING_LIMIT).collect()
    }

    /// Takes in which servers have told another VM that they leave.
    pub(super) fn take_leaving(&mut self, from: &VmId, leaving: &[ServerStart]) {
        for ServerStart { server: id, born } in leaving {
            let Some(server) = self.servers.get_mut(id) else { continue };
            if server.entry.born == *born && server.told_leaving() {
                tracing::info!(server = %id, from = %from, "a server has told another VM that it leaves");
            }
        }
    }

    /// Returns how long it is until the first server of a pool takes requests from this VM again, if
    /// none does now.
    pub(super) fn pool_backoff(&self, now: Millis, pool: &PoolId) -> Option<Millis> {
        let backoffs: Option<Vec<Millis>> =
            self.servers.open(pool).map(|server| server.backoff(now)).collect();
        backoffs.and_then(|backoffs| backoffs.into_iter().min())
    }

    /// Lets a request wait until a server of its pool takes requests again, or returns its refusal.
    pub(super) fn wait_backoff(
        &mut self,
        now: Millis,
        request: RequestNumber,
        backoff: Millis,
    ) -> Result<(), Refusal> {
        /// The mean of what is added to a backoff, so that not all that wait come in one moment.
        const SPREAD_MS: f64 = 20.0;
        let draw = self.draw();
        let Some(state) = self.requests.get(&request) else { return Ok(()) };
        let pause = backoff + Millis((SPREAD_MS * 2.0 * draw) as u64);
        let at = now + pause;
        let is_in_time = at <= self.last_start(state) && state.run_state() == RunState::NotRun;
        if is_in_time && !state.is_delivered {
            self.wait_until(now, request, at, "waits: all servers back off");
            return Ok(());
        }
        let refusal = Self::no_server_refusal(state);
        let is_not_run = refusal.run == RunState::NotRun;
        Err(if is_not_run { refusal.with_retry_after(pause) } else { refusal })
    }
}
