//! Servers that are cold and bear only a few requests.
//!
//! A cold server is a second reason for a permit ([`permits`]), beside a limit that a server names:
//! the lower rate of the two counts. A server is cold by its entry, by its answers, for a while
//! after its data centre was taken back, and after its first answer to a VM that could not reach it
//! before. Until that answer, VMs try it rarely: together a few times a second, whatever their
//! number. Pools without such a bound are not affected.

use super::*;

impl Gateway {
    /// Maximum number of cold servers that one message reports.
    const MAX_COLD_PER_MESSAGE: usize = 256;
    /// The servers of a data centre that is taken back may have become cold shortly after that was
    /// ordered.
    const TAKEN_BACK_MARGIN_MS: u64 = 500;
    /// The VMs that are assumed while a VM has never reached another one.
    const ASSUMED_VMS: f64 = 400.0;

    /// Sets the bound on cold servers of all servers, after the configuration has changed.
    pub(in crate::gateway) fn update_cold_starts(&mut self, now: Millis) {
        let ids: Vec<ServerId> =
            self.servers.iter().map(|server| server.entry.id.clone()).collect();
        for id in ids {
            self.update_cold_start(&id);
            self.note_cold(now, &id);
        }
    }

    fn update_cold_start(&mut self, id: &ServerId) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let pools = self.document.as_ref().map(|document| &document.cold_starts);
        let start = pools.and_then(|pools| pools.get(&server.entry.pool));
        let start = start.map(|start| (start.permit_rate(&self.bounds), start.duration));
        server.warmth.set_start(start);
    }

    /// Applies what a server's entry says about its warm-up.
    pub(in crate::gateway) fn apply_cold_entry(&mut self, now: Millis, entry: &ServerEntry) {
        self.update_cold_start(&entry.id);
        if let Some(server) = self.servers.get_mut(&entry.id) {
            server.warmth.set_cold(now, entry.cold);
        }
        self.note_cold(now, &entry.id);
    }

    /// Applies what an answer says about the server's warm-up. The request was sent at `sent`.
    pub(in crate::gateway) fn apply_cold_statement(
        &mut self,
        now: Millis,
        id: &ServerId,
        sent: Millis,
        cold: Option<Millis>,
    ) {
        let Some(server) = self.servers.get_mut(id) else { return };
        match cold {
            Some(left) => server.warmth.set_stated(now, left),
            None => server.warmth.record_answer(now, sent),
        }
        self.note_cold(now, id);
    }

    /// Applies the cold servers that another VM has reported.
    pub(in crate::gateway) fn apply_cold_reports(&mut self, now: Millis, reports: &[ColdReport]) {
        for ColdReport { start, left, answered } in reports {
            let Some(server) = self.servers.get_mut(&start.server) else { continue };
            if server.entry.born == start.born {
                if server.warmth.apply_report(now, *left, *answered) {
                    server.mark_reached();
                }
                self.note_cold(now, &start.server);
            }
        }
    }

    /// Records that a run could not reach its server, or that the server has answered it. Must be
    /// called once the outcome has been recorded at the server.
    pub(in crate::gateway) fn record_contact(
        &mut self,
        now: Millis,
        run: &RunRecord,
        outcome: &RunOutcome,
    ) {
        let Some(server) = self.servers.get_mut(&run.server) else { return };
        let is_unreached =
            matches!(outcome, RunOutcome::NotRun { cause: NotRunCause::Unreachable, .. });
        if is_unreached && server.warmth.record_unreached(now) {
            let pause = self.draw_try_pause();
            if let Some(server) = self.servers.get_mut(&run.server) {
                server.avoid_until = server.avoid_until.max(now + pause);
            }
        } else if matches!(outcome, RunOutcome::Whole { .. }) {
            server.warmth.record_answer(now, run.started);
            self.note_cold(now, &run.server);
        }
    }

    /// Returns how long to wait before a server is tried again that could not be reached.
    fn draw_try_pause(&mut self) -> Millis {
        /// The mean time between two tries of a server by all VMs together.
        const SHARED_TRY_INTERVAL_MS: f64 = 250.0;
        let is_alone = self.relay.peers.is_empty() && !self.relay.seeds.is_empty();
        let vms = if is_alone { Self::ASSUMED_VMS } else { f64::from(self.known_vms().max(1)) };
        // Each VM tries once in that time, on average, at a random moment.
        Millis((2.0 * self.draw() * SHARED_TRY_INTERVAL_MS * vms) as u64)
    }

    /// Counts the servers of a data centre as cold that operators have taken back.
    pub(in crate::gateway) fn cool_servers_of(&mut self, now: Millis, centre: &DataCentreId) {
        let of_centre = self.servers.iter().filter(|server| server.entry.data_centre == *centre);
        let ids: Vec<ServerId> = of_centre.map(|server| server.entry.id.clone()).collect();
        for id in ids {
            if let Some(server) = self.servers.get_mut(&id) {
                server.warmth.set_started(now + Millis(Self::TAKEN_BACK_MARGIN_MS));
            }
            self.note_cold(now, &id);
        }
    }

    /// Asks for permits from now on if a server has become cold.
    fn note_cold(&mut self, now: Millis, id: &ServerId) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if server.warmth.advance(now) && server.warmth.rate().is_some() {
            let left = server.warmth.left(now);
            tracing::info!(server = %id, left_ms = left.0, "server is cold or may be");
            self.limits.servers.insert(ServerTag::from(id), id.clone());
            self.limits.next_ask = now;
        }
    }

    /// Ends the warm-ups that are over.
    pub(in crate::gateway) fn advance_warmth(&mut self, now: Millis) {
        let mut has_ended = false;
        for id in self.limits.servers.values() {
            let Some(server) = self.servers.get_mut(id) else { continue };
            if server.warmth.advance(now) && server.warmth.rate().is_none() {
                has_ended = true;
                tracing::info!(server = %id, "server is no longer cold");
            }
        }
        if has_ended {
            self.start_waiting_for_permits(now);
        }
    }

    /// Returns the cold servers that other VMs may not know yet.
    pub(in crate::gateway) fn cold_news(&self, now: Millis) -> Vec<ColdReport> {
        let servers = self.limits.servers.values().filter_map(|id| self.servers.get(id));
        let news = servers.filter(|server| server.warmth.is_news(now));
        news.map(|server| server.cold_report(now)).take(Self::MAX_COLD_PER_MESSAGE).collect()
    }

    /// Returns reports of those of some servers that are cold.
    pub(in crate::gateway) fn cold_reports_of(
        &self,
        now: Millis,
        tags: impl Iterator<Item = ServerTag>,
    ) -> Vec<ColdReport> {
        let servers = tags.filter_map(|tag| self.server_of_tag(tag));
        let cold = servers.filter(|server| server.warmth.rate().is_some());
        cold.map(|server| server.cold_report(now)).collect()
    }

    /// Returns the part of a server's permits that this VM may issue.
    pub(in crate::gateway) fn issued_share_of(&self, now: Millis, server: &BackendServer) -> f64 {
        let is_alone = self.relay.peers.is_empty() && !self.relay.seeds.is_empty();
        if is_alone && server.warmth.rate().is_some() {
            return Self::DEPUTY_SHARE / Self::ASSUMED_VMS;
        }
        self.issued_share(now, &server.entry.data_centre)
    }

    /// Returns the number of cold servers.
    #[must_use]
    pub fn cold_servers(&self) -> usize {
        let servers = self.limits.servers.values().filter_map(|id| self.servers.get(id));
        servers.filter(|server| server.warmth.rate().is_some()).count()
    }
}
