//! What a request passes between its arrival and its queue: its claim or ticket, and its bill.

use super::*;

/// A request between its arrival and its queue.
#[derive(Clone, Debug)]
pub(super) struct GatedArrival {
    pub(super) arrival: Arrival,
    pub(super) profile: RequestProfile,
    pub(super) plan: RoutePlan,
    pub(super) session: Option<SessionChoice>,
    pub(super) stage: GateStage,
}

/// What a gated request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GateStage {
    /// The verdict on its claim.
    Claiming,
    /// The end of the first request with the same key.
    Joined(OnceKey),
    /// A peer that keeps a copy of its bill, at most until a time.
    Copying(Millis),
    /// The log, which takes its open bill, at most until a time.
    Listing(Millis),
}

impl Control {
    /// Takes a planned request to its queue, by way of its claim or ticket and its bill.
    pub(super) fn gate(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        arrival: Arrival,
        profile: RequestProfile,
        plan: RoutePlan,
        session: Option<SessionChoice>,
    ) -> Result<(), Refusal> {
        self.check_suspect(now, &arrival)?;
        let rule = Self::arrival_rule(document, &arrival);
        let gated = GatedArrival { arrival, profile, plan, session, stage: GateStage::Claiming };
        match rule {
            RepeatRule::Once => self.gate_once(now, gated),
            RepeatRule::Repeatable => {
                self.gate_bill(now, gated);
                Ok(())
            }
        }
    }

    /// Returns whether a request needs a ticket or a claim before it may run.
    fn arrival_rule(document: &ConfigurationDocument, arrival: &Arrival) -> RepeatRule {
        match Self::service_of(document, arrival) {
            Some(entry) if !entry.repeatable && !entry.deduplicates => RepeatRule::Once,
            _ => RepeatRule::Repeatable,
        }
    }

    fn service_of<'a>(
        document: &'a ConfigurationDocument,
        arrival: &Arrival,
    ) -> Option<&'a ServiceEntry> {
        let ArrivalTarget::Service(name) = &arrival.target else { return None };
        document.services.get(&name.parse().ok()?)
    }

    /// Returns what an entry VM knows about a request before it has looked at its key: an earlier
    /// request with the same key may have run elsewhere.
    pub(super) fn earlier_run(&self, arrival: &Arrival) -> RunState {
        let keyed = arrival.idempotency_key.is_some();
        if !keyed || !matches!(arrival.target, ArrivalTarget::Service(_)) {
            return RunState::NotRun;
        }
        let document = self.configuration.document();
        let entry = document.and_then(|document| Self::service_of(document, arrival));
        match entry {
            Some(entry) if entry.repeatable => RunState::NotRun,
            _ => RunState::Unknown,
        }
    }

    /// Gives a gated request its final answer.
    pub(super) fn refuse_gated(&mut self, request: RequestNumber, refusal: Refusal) {
        self.claims.gated.remove(&request);
        tracing::info!(
            request = %self.request_id(request),
            code = refusal.code.as_str(),
            run = refusal.run.as_str(),
            reason = %refusal.message,
            "refused"
        );
        self.emit(Command::Refuse { request, refusal });
    }

    /// Puts a request that has passed the gate into its queue.
    pub(super) fn leave_gate(&mut self, now: Millis, gated: GatedArrival) {
        let request = gated.arrival.request;
        let enqueued = match self.configuration.document().cloned() {
            Some(document) => {
                let GatedArrival { arrival, profile, plan, session, .. } = gated;
                self.enqueue(now, &document, arrival, profile, plan, session)
            }
            None => Err(Refusal::not_run(RefusalCode::Unavailable, "There is no configuration.")),
        };
        if let Err(refusal) = enqueued {
            self.bills.ledger.close(request, BillStage::Void);
            self.end_once(request, RunState::NotRun);
            self.refuse_gated(request, refusal);
        }
    }

    /// Refuses gated requests whose deadline has passed.
    pub(super) fn shed_gated(&mut self, now: Millis) {
        let expired = self.claims.gated.iter().filter(|(_, gated)| now >= gated.profile.deadline);
        let expired: Vec<(RequestNumber, GateStage)> =
            expired.map(|(request, gated)| (*request, gated.stage)).collect();
        for (request, stage) in expired {
            self.leave_early(request, stage);
            let message = "The request did not get to run before its deadline; send it again.";
            let run = self.stage_run(request, stage);
            let refusal = Refusal::not_run(RefusalCode::Timeout, message).with_run(run);
            self.refuse_gated(request, refusal.with_retry_after(Self::retry_after(request)));
        }
    }

    /// Forgets a gated request whose caller has gone.
    pub(super) fn forget_gated(&mut self, request: RequestNumber) {
        let Some(gated) = self.claims.gated.get(&request) else { return };
        self.leave_early(request, gated.stage);
        self.claims.gated.remove(&request);
    }

    fn leave_early(&mut self, request: RequestNumber, stage: GateStage) {
        match stage {
            GateStage::Claiming => self.withdraw_claim(request),
            GateStage::Joined(key) => {
                if let Some(entry) = self.claims.table.get_mut(key) {
                    entry.waiters.retain(|waiter| *waiter != request);
                }
            }
            GateStage::Copying(_) | GateStage::Listing(_) => {
                self.bills.ledger.close(request, BillStage::Void);
                self.end_once(request, RunState::NotRun);
            }
        }
    }

    fn stage_run(&self, request: RequestNumber, stage: GateStage) -> RunState {
        match stage {
            GateStage::Claiming | GateStage::Joined(_) => RunState::Unknown,
            GateStage::Copying(_) | GateStage::Listing(_) => self
                .claims
                .gated
                .get(&request)
                .filter(|gated| !self.holds_key(&gated.arrival))
                .map_or(RunState::NotRun, |gated| self.earlier_run(&gated.arrival)),
        }
    }

    /// Takes back a "not run" that an earlier request with the same key could make false.
    pub(super) fn with_earlier_run(&self, request: RequestNumber, refusal: Refusal) -> Refusal {
        let Some(state) = self.requests.get(&request) else { return refusal };
        if self.holds_key(&state.arrival) {
            return refusal;
        }
        let run = refusal.run.max(self.earlier_run(&state.arrival));
        refusal.with_run(run)
    }

    /// Returns whether the request is kept from running twice here, so that its own state is all.
    pub(super) fn holds_key(&self, arrival: &Arrival) -> bool {
        let document = self.configuration.document();
        document.is_some_and(|document| Self::arrival_rule(document, arrival) == RepeatRule::Once)
    }
}
