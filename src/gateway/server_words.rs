//! What backend servers say of themselves in their answers.
//!
//! The list of servers comes late, or not at all while the store is out of reach. A server that
//! leaves says so in its answers too; that holds at once, and other VMs are told with the polls. A
//! server that turns a request away may name a time for which it wants nothing from this VM. What
//! comes meanwhile goes to other servers, waits if one of them is back in time, or is refused at once
//! with the time after which it may come again.
//!
//! The load pattern that this answers: a pool that is full, before many VMs. Without a time each VM
//! tries each server again and again; at the end of such a time all that wait would come at once. So
//! a VM comes back to a server with a single request, until that one is answered.

use super::*;

impl Gateway {
    /// The servers of which one message tells that they leave.
    const LEAVING_LIMIT: usize = 256;

    /// Takes in what a server has said in an answer.
    pub(super) fn on_server_said(&mut self, now: Millis, start: &ServerStart, word: &ServerWord) {
        let longest = self.bounds.longest_rest_ms;
        let Some(server) = self.servers.get_mut(&start.server) else { return };
        // The answer may come from an earlier start.
        if server.entry.born != start.born {
            return;
        }
        let id = &start.server;
        if !word.unreadable.is_empty() && !server.has_unreadable_word {
            server.has_unreadable_word = true;
            tracing::warn!(server = %id, headers = ?word.unreadable, "a server's word is unreadable");
        }
        if word.leaves && server.told_leaving() {
            tracing::info!(server = %id, "a server says that it leaves");
        }
        if let Some(rest) = word.rest {
            let rest = rest.min(longest);
            server.told_rest(now, rest);
            tracing::info!(server = %id, rest_ms = rest.0, "a server wants nothing for a while");
        }
    }

    /// Returns the servers that have said that they leave and are not known to by the list.
    pub(super) fn said_leaving(&self) -> Vec<ServerStart> {
        let said = self.servers.iter().filter(|server| server.says_only_itself_that_it_leaves());
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
    pub(super) fn pool_rest(&self, now: Millis, pool: &PoolId) -> Option<Millis> {
        let rests: Option<Vec<Millis>> =
            self.servers.open(pool).map(|server| server.rest(now)).collect();
        rests.and_then(|rests| rests.into_iter().min())
    }

    /// Lets a request wait for the end of a rest of all servers of its pool, or returns its refusal.
    pub(super) fn wait_rest(
        &mut self,
        now: Millis,
        request: RequestNumber,
        rest: Millis,
    ) -> Result<(), Refusal> {
        /// The mean of what is added to a rest, so that not all that wait come in one moment.
        const SPREAD_MS: f64 = 20.0;
        let draw = self.draw();
        let Some(state) = self.requests.get(&request) else { return Ok(()) };
        let back = rest + Millis((SPREAD_MS * 2.0 * draw) as u64);
        let at = now + back;
        let is_in_time = at <= self.last_start(state) && state.run_state() == RunState::NotRun;
        if is_in_time && !state.is_delivered {
            self.wait_until(now, request, at, "waits: all servers rest");
            return Ok(());
        }
        let refusal = Self::no_server_refusal(state);
        let is_not_run = refusal.run == RunState::NotRun;
        Err(if is_not_run { refusal.with_retry_after(back) } else { refusal })
    }
}
