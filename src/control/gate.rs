//! The gate between a request's arrival and its queue: its claim or ticket, and its bill.

use super::*;

/// A planned request that has not been queued yet.
#[derive(Clone, Debug)]
pub(super) struct GatedArrival {
    pub(super) arrival: Arrival,
    pub(super) profile: RequestProfile,
    pub(super) plan: RoutePlan,
    pub(super) session: Option<SessionChoice>,
    pub(super) stage: GateStage,
}

/// What a request in the gate waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GateStage {
    /// The verdict on the claim of its idempotency key.
    Claiming,
    /// The end of the first request with the same key.
    Joined(AtMostOnceKey),
    /// A peer's confirmation that it stores a copy of the bill, at most until the given time.
    CopyingBill(Millis),
    /// The log's confirmation of the open bill, at most until the given time.
    AppendingBill(Millis),
}

impl Control {
    /// Passes a planned request through the gate: first its claim or ticket, if it needs one, then
    /// its bill.
    ///
    /// # Errors
    ///
    /// Refuses a request that is suspected of crashing servers, or whose idempotency key is missing
    /// or not valid.
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
            RepeatRule::AtMostOnce => self.gate_idempotency_key(now, gated),
            RepeatRule::Repeatable => {
                self.gate_bill(now, gated);
                Ok(())
            }
        }
    }

    /// Returns whether a request may run more than once. If not, it needs a ticket or a claim;
    /// services that deduplicate calls themselves need neither.
    fn arrival_rule(document: &ConfigurationDocument, arrival: &Arrival) -> RepeatRule {
        match Self::service_of(document, arrival) {
            Some(entry) if !entry.repeatable && !entry.deduplicates => RepeatRule::AtMostOnce,
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

    /// Returns what is known about a request's run before its idempotency key has been checked: an
    /// earlier request with the same key may have run elsewhere.
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

    /// Refuses a request in the gate.
    pub(super) fn refuse_gated(&mut self, request: RequestNumber, refusal: Refusal) {
        self.claims.gated.remove(&request);
        tracing::info!(
            request = %self.request_id(request),
            code = refusal.code.as_str(),
            run = refusal.run.as_str(),
            reason = %refusal.message,
            "request refused"
        );
        self.emit(Command::Refuse { request, refusal });
    }

    /// Queues a request that has passed the gate, or refuses it and voids its bill.
    pub(super) fn enqueue_gated(&mut self, now: Millis, gated: GatedArrival) {
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
            self.end_idempotency_key(request, RunState::NotRun);
            self.refuse_gated(request, refusal);
        }
    }

    /// Refuses requests in the gate whose deadline has passed.
    pub(super) fn refuse_expired_gated(&mut self, now: Millis) {
        let expired = self.claims.gated.iter().filter(|(_, gated)| now >= gated.profile.deadline);
        let expired: Vec<(RequestNumber, GateStage)> =
            expired.map(|(request, gated)| (*request, gated.stage)).collect();
        for (request, stage) in expired {
            self.undo_gate_stage(request, stage);
            let message = "The request did not get to run before its deadline; send it again.";
            let run = self.gated_run(request, stage);
            let refusal = Refusal::not_run(RefusalCode::Timeout, message).with_run(run);
            self.refuse_gated(request, refusal.with_retry_after(Self::retry_after(request)));
        }
    }

    /// Removes a request from the gate whose caller is gone.
    pub(super) fn remove_gated(&mut self, request: RequestNumber) {
        let Some(gated) = self.claims.gated.get(&request) else { return };
        self.undo_gate_stage(request, gated.stage);
        self.claims.gated.remove(&request);
    }

    /// Undoes what a request in the gate waited for: its claim, its place behind the first request,
    /// or its bill.
    fn undo_gate_stage(&mut self, request: RequestNumber, stage: GateStage) {
        match stage {
            GateStage::Claiming => self.abandon_claim(request),
            GateStage::Joined(key) => {
                if let Some(entry) = self.claims.table.get_mut(key) {
                    entry.waiters.retain(|waiter| *waiter != request);
                }
            }
            GateStage::CopyingBill(_) | GateStage::AppendingBill(_) => {
                self.bills.ledger.close(request, BillStage::Void);
                self.end_idempotency_key(request, RunState::NotRun);
            }
        }
    }

    /// Returns what is known about the run of a request that is refused in the gate. While its key
    /// is unclaimed, an earlier request with it may have run elsewhere.
    fn gated_run(&self, request: RequestNumber, stage: GateStage) -> RunState {
        match stage {
            GateStage::Claiming | GateStage::Joined(_) => RunState::Unknown,
            GateStage::CopyingBill(_) | GateStage::AppendingBill(_) => self
                .claims
                .gated
                .get(&request)
                .filter(|gated| !self.holds_key(&gated.arrival))
                .map_or(RunState::NotRun, |gated| self.earlier_run(&gated.arrival)),
        }
    }

    /// Replaces a run state of `NotRun` by `Unknown` if an earlier request with the same key may
    /// have run elsewhere.
    pub(super) fn with_earlier_run(&self, request: RequestNumber, refusal: Refusal) -> Refusal {
        let Some(state) = self.requests.get(&request) else { return refusal };
        if self.holds_key(&state.arrival) {
            return refusal;
        }
        let run = refusal.run.max(self.earlier_run(&state.arrival));
        refusal.with_run(run)
    }

    /// Returns whether this VM holds the request's key, so that no other request with the key has
    /// run. That is so for every request that has passed the gate and must not run twice.
    pub(super) fn holds_key(&self, arrival: &Arrival) -> bool {
        let document = self.configuration.document();
        document
            .is_some_and(|document| Self::arrival_rule(document, arrival) == RepeatRule::AtMostOnce)
    }
}
