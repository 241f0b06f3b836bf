//! Requests that are suspected of crashing backend servers.

use super::*;

impl Control {
    /// Refuses a request that has crashed too many backend servers.
    pub(super) fn check_suspect(&self, now: Millis, arrival: &Arrival) -> Result<(), Refusal> {
        match self.suspects.status(now, arrival.fingerprint) {
            SuspectStatus::Refused => Err(Self::suspect_refusal(arrival.request)),
            SuspectStatus::Clear | SuspectStatus::Isolated => Ok(()),
        }
    }

    pub(super) fn suspect_refusal(request: RequestNumber) -> Refusal {
        let message = "Backend servers crashed while they ran this request; change it, or ask \
                       the operators.";
        Refusal::not_run(RefusalCode::Unprocessable, message)
            .with_retry_after(Self::retry_after(request))
    }

    /// Updates the suspicion against a request after an attempt: a broken connection counts as a
    /// possible crash, a whole answer clears it.
    pub(super) fn update_suspicion(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
    ) {
        let id = self.request_id(request);
        let Some(state) = self.requests.get(&request) else { return };
        let Some(entry) = state.attempts.iter().find(|entry| entry.id == attempt) else { return };
        let fingerprint = state.arrival.fingerprint;
        let server = entry.server.clone();
        match entry.outcome {
            Some(AttemptOutcome::Whole { .. }) => self.suspects.cleared(now, fingerprint),
            Some(AttemptOutcome::Failed { fault, .. }) if Self::is_crash(fault, entry.progress) => {
                tracing::warn!(request = %id, %attempt, %server, %fault, "connection broke while the request was running; server may have crashed");
                self.suspects.crashed(now, fingerprint, CrashId { request: id, attempt }, &server);
            }
            _ => self.suspects.reopen(now, fingerprint, request),
        }
        self.suspects.release_reserved(request);
    }

    /// Reserves a server for a suspect request, which has to run alone so that a crash harms no
    /// other request. Each pool has at most one reserved server.
    pub(super) fn reserve_for_suspect(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        let fingerprint = state.arrival.fingerprint;
        if self.suspects.status(now, fingerprint) != SuspectStatus::Isolated {
            return;
        }
        let step = &state.plan.steps[state.step];
        let Some(pool) = document.pools.get(&step.pool) else { return };
        let (placement, target) = (&self.placement, &step.target);
        let has_target = |server: &ServerState| match target {
            WorkTarget::Version(version) => placement.may_start(now, server, version),
            WorkTarget::Service(_) => true,
        };
        let choose_server = |avoid: &[ServerId]| {
            let wish = Self::wish(document, state, step, pool, avoid);
            let (server, _) = self.servers.find(now, &step.pool, pool, &wish, &has_target);
            server.map(|server| server.id.clone())
        };
        let avoid = self.servers_to_avoid(request, state);
        let in_pool =
            |id: &ServerId| self.servers.get(id).is_some_and(|server| server.pool == step.pool);
        if self.suspects.reserved_for(request).is_some() {
            if choose_server(&avoid).is_none() {
                self.suspects.release_reserved(request);
            }
        } else if !self.suspects.reserved().any(in_pool)
            && let Some(server) = choose_server(&avoid)
        {
            self.suspects.reserve(&server, request);
        }
    }

    /// Returns the servers that a request must not run on: those it was tried on and those reserved
    /// for suspects. For a request with a reserved server, these are all other servers.
    pub(super) fn servers_to_avoid(
        &self,
        request: RequestNumber,
        state: &RequestState,
    ) -> Vec<ServerId> {
        if let Some(own) = self.suspects.reserved_for(request) {
            let others = self.servers.iter().filter(|server| server.id != *own);
            return others.map(|server| server.id.clone()).collect();
        }
        let tried = state.attempts.iter().map(|attempt| &attempt.server);
        tried.chain(self.suspects.reserved()).cloned().collect()
    }

    /// Returns whether a fault looks like a crash of the server: the connection broke after the
    /// request was written.
    fn is_crash(fault: AttemptFault, progress: AttemptProgress) -> bool {
        let broke = matches!(fault, AttemptFault::Closed | AttemptFault::Truncated);
        broke && matches!(progress, AttemptProgress::Written | AttemptProgress::Running)
    }

    /// Sends new notices about suspect requests to all peers.
    pub(super) fn send_suspects(&mut self, now: Millis) {
        let requests = &self.requests;
        self.suspects.retain_reserved(|request| requests.contains_key(&request));
        let due = self.suspects.due(now);
        if due.is_empty() {
            return;
        }
        let peers: Vec<VmId> = self.peers.iter().map(|peer| peer.vm.clone()).collect();
        for peer in peers {
            self.send(&peer, PeerMessage::Suspects(due.clone()));
        }
    }
}
