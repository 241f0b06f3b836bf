//! Bills: opened before a request starts and closed when it has ended.

use super::*;

/// The bills of this VM and the append of them that is under way.
#[derive(Debug, Default)]
pub(super) struct BillingState {
    pub(super) ledger: BillLedger,
    append: Option<AppendId>,
    review_at: Millis,
}

impl Control {
    /// How long a request waits for a peer to confirm a copy of its open bill.
    const BILL_COPY_WAIT_MS: u64 = 50;
    /// How long it then waits for the log to confirm its open bill.
    const BILL_APPEND_WAIT_MS: u64 = 200;
    /// The time between two checks for unreachable peers among those that hold copies.
    const BILL_REVIEW_MS: u64 = 1_000;

    /// Opens the bill of a request and lets the request continue once the bill is stored elsewhere:
    /// with a peer, or in the log if no peer is in reach. A VM without peers does not wait.
    pub(super) fn gate_bill(&mut self, now: Millis, mut gated: GatedArrival) {
        let request = gated.arrival.request;
        if self.bills.ledger.is_full() {
            self.end_idempotency_key(request, RunState::NotRun);
            let message = "Bills wait for the platform's log and no more fit; send it later.";
            let run = if self.holds_key(&gated.arrival) {
                RunState::NotRun
            } else {
                self.earlier_run(&gated.arrival)
            };
            let refusal = Refusal::not_run(RefusalCode::Unavailable, message).with_run(run);
            self.refuse_gated(request, refusal.with_retry_after(Self::retry_after(request)));
            return;
        }
        let replicas = self.bill_replicas();
        let record = self.open_bill(now, &gated);
        let has_no_replica = replicas.is_empty();
        self.bills.ledger.open(record, replicas);
        if self.peers.iter().next().is_none() {
            self.enqueue_gated(now, gated);
            return;
        }
        if has_no_replica {
            self.bills.ledger.append_open(request);
            gated.stage = GateStage::AppendingBill(now + Millis(Self::BILL_APPEND_WAIT_MS));
        } else {
            gated.stage = GateStage::CopyingBill(now + Millis(Self::BILL_COPY_WAIT_MS));
        }
        self.claims.gated.insert(request, gated);
        self.advance_bills(now);
    }

    fn open_bill(&self, now: Millis, gated: &GatedArrival) -> BillRecord {
        let step = &gated.plan.steps[0];
        BillRecord {
            key: self.bill_key(&gated.arrival, &gated.profile.team),
            request: self.request_id(gated.arrival.request),
            team: gated.profile.team.clone(),
            subscriber: gated.profile.subscriber.clone(),
            opened: self.unix_time(now),
            stage: BillStage::Open { target: step.target.clone(), estimate: step.expected_cost },
        }
    }

    /// Returns the key under which a request is billed. Requests with the same idempotency key
    /// share one, so that a repeat is not billed twice.
    fn bill_key(&self, arrival: &Arrival, team: &TeamId) -> BillKey {
        let by_request = || BillKey::of_request(&self.request_id(arrival.request));
        match self.claims.table.key_of(arrival.request) {
            Some(AtMostOnceKey::Claim(key)) => return BillKey::of_claim(key),
            Some(AtMostOnceKey::Ticket(number)) => {
                return BillKey::of_ticket(&self.own_name(), number);
            }
            None => {}
        }
        if self.earlier_run(arrival) == RunState::NotRun {
            return by_request();
        }
        let key = arrival.idempotency_key.as_ref().and_then(|text| text.parse().ok());
        match key {
            Some(IdempotencyKey::Own(uuid)) => BillKey::of_claim(ClaimKey::new(team, uuid)),
            _ => by_request(),
        }
    }

    /// Returns the peers that store copies of new bills: one in this data centre and one in another
    /// where possible, else any two in reach.
    fn bill_replicas(&self) -> Vec<VmId> {
        let own = self.identity.vm.as_str();
        let peers: Vec<&PeerState> = self.peers.iter().filter(|peer| peer.may_serve()).collect();
        let is_near = |peer: &&&PeerState| peer.data_centre == self.identity.data_centre;
        let (near, far): (Vec<&PeerState>, Vec<&PeerState>) =
            peers.iter().partition(|peer| is_near(peer));
        let first =
            |peers: &[&PeerState]| first_vm(own, peers.iter().map(|peer| &peer.vm)).cloned();
        let mut replicas: Vec<VmId> = first(&near).into_iter().chain(first(&far)).collect();
        for vm in rank_vms(own, peers.iter().map(|peer| &peer.vm)) {
            if replicas.len() < 2 && !replicas.contains(&vm) {
                replicas.push(vm);
            }
        }
        replicas
    }

    /// Closes the bill of a request that has ended. The bill is void if nothing ran, and stays open
    /// if it is unknown whether a service call ran.
    pub(super) fn close_bill(&mut self, state: &RequestState) {
        let request = state.arrival.request;
        let Some(open) = self.bills.ledger.get(request).map(|bill| bill.stage.clone()) else {
            return;
        };
        let end = match state.run_state() {
            RunState::NotRun => BillStage::Void,
            run if Self::is_unsettled(state, run) => open,
            _ => self.final_stage(state),
        };
        self.bills.ledger.close(request, end);
    }

    /// Returns whether a service call may have run without a whole answer, so that its cost is
    /// unknown.
    fn is_unsettled(state: &RequestState, run: RunState) -> bool {
        let whole = state.attempts.iter().any(|attempt| attempt.progress == AttemptProgress::Whole);
        let service = matches!(state.target(), WorkTarget::Service(_));
        service && !whole && run != RunState::NotRun
    }

    fn final_stage(&self, state: &RequestState) -> BillStage {
        let outcomes: Vec<AttemptOutcomeSummary> = state
            .attempts
            .iter()
            .map(|attempt| Self::attempt_outcome_summary(state, attempt))
            .collect();
        let charges = AttemptOutcomeSummary::charges(&outcomes);
        let parts: Vec<BillPart> = state
            .attempts
            .iter()
            .zip(charges)
            .map(|(attempt, charge)| self.bill_part(state, attempt, charge))
            .collect();
        let paid = parts.iter().filter(|part| part.charge == PartCharge::Charged);
        let cost = paid.fold(Cost(0.0), |sum, part| sum + part.cost);
        BillStage::Final { cost, parts }
    }

    fn reported_usage(attempt: &AttemptState) -> TokenUsage {
        match attempt.outcome {
            Some(AttemptOutcome::Whole { usage, .. }) => usage,
            _ => TokenUsage { prompt: Tokens(0), output: attempt.output_tokens },
        }
    }

    fn attempt_outcome_summary(
        state: &RequestState,
        attempt: &AttemptState,
    ) -> AttemptOutcomeSummary {
        let is_whole = attempt.progress == AttemptProgress::Whole;
        AttemptOutcomeSummary {
            step: attempt.step,
            is_whole,
            is_released: state.released == Some(attempt.id),
            has_produced: is_whole || Self::reported_usage(attempt).output.0 > 0,
        }
    }

    /// Returns the part of a bill for one attempt. If the server did not report the prompt's tokens
    /// but produced output, the expected ones are billed.
    fn bill_part(
        &self,
        state: &RequestState,
        attempt: &AttemptState,
        charge: PartCharge,
    ) -> BillPart {
        let reported = Self::reported_usage(attempt);
        let produced = Self::attempt_outcome_summary(state, attempt).has_produced;
        let prompt = match reported.prompt {
            Tokens(0) if produced => state.profile.prompt_tokens,
            tokens => tokens,
        };
        let usage = TokenUsage { prompt, output: reported.output };
        BillPart {
            attempt: attempt.id,
            target: attempt.target.clone(),
            server: attempt.server.clone(),
            run: attempt.progress.run_state(),
            usage,
            cost: self.part_cost(&attempt.target, usage, produced),
            charge,
        }
    }

    fn part_cost(&self, target: &WorkTarget, usage: TokenUsage, produced: bool) -> Cost {
        let Some(document) = self.configuration.document().filter(|_| produced) else {
            return Cost(0.0);
        };
        match target {
            WorkTarget::Service(id) => {
                document.services.get(id).map_or(Cost(0.0), |entry| entry.cost_per_call)
            }
            WorkTarget::Version(id) => document.version(id).map_or(Cost(0.0), |entry| {
                let prompt = usage.prompt.0 as f64 * entry.cost_per_million_prompt_tokens.0;
                let output = usage.output.0 as f64 * entry.cost_per_million_output_tokens.0;
                Cost((prompt + output) / 1e6)
            }),
        }
    }

    /// Handles a message about bills. A confirmed copy lets the waiting request continue.
    pub(super) fn on_bill_message(&mut self, now: Millis, from: &PeerName, message: &BillMessage) {
        let reply = self.bills.ledger.on_message(from, message);
        self.run_bill_actions(reply);
        if let BillMessage::Kept { open, .. } = message {
            for request in open {
                self.resume_gated(now, *request);
            }
        }
    }

    /// Lets a request continue that waits for its bill to be stored.
    fn resume_gated(&mut self, now: Millis, request: RequestNumber) {
        let copying = |gated: &GatedArrival| {
            matches!(gated.stage, GateStage::CopyingBill(_) | GateStage::AppendingBill(_))
        };
        if self.claims.gated.get(&request).is_some_and(copying)
            && let Some(gated) = self.claims.gated.remove(&request)
        {
            self.enqueue_gated(now, gated);
        }
    }

    /// Handles the result of an append of bills. Returns false if `append` is of another kind.
    pub(super) fn on_bills_appended(
        &mut self,
        now: Millis,
        append: AppendId,
        result: &Result<Offset, PlatformError>,
    ) -> bool {
        if self.bills.append != Some(append) {
            return false;
        }
        self.bills.append = None;
        let actions = self.bills.ledger.on_appended(now, result);
        self.run_bill_actions(actions);
        let is_appending =
            |gated: &GatedArrival| matches!(gated.stage, GateStage::AppendingBill(_));
        let appended = self.claims.gated.iter().filter(|(_, gated)| is_appending(gated));
        let appended = appended.map(|(request, _)| *request);
        let appended: Vec<RequestNumber> =
            appended.filter(|request| self.bills.ledger.is_replicated(*request)).collect();
        for request in appended {
            self.resume_gated(now, request);
        }
        true
    }

    /// Sends the messages and appends that are due, adopts the bills of peers that are out of
    /// reach, and ends waits that have timed out.
    pub(super) fn advance_bills(&mut self, now: Millis) {
        if self.bills.review_at <= now {
            self.bills.review_at = now + Millis(Self::BILL_REVIEW_MS);
            self.review_bills();
        }
        let vms = self.peers.iter().count() + 1;
        let actions = self.bills.ledger.due_actions(now, vms);
        self.run_bill_actions(actions);
        self.end_bill_waits(now);
    }

    /// Ends waits for copies of bills that have timed out: the bill is appended to the log first,
    /// and if that times out too, the request continues without a copy.
    fn end_bill_waits(&mut self, now: Millis) {
        let (mut copy_timeouts, mut append_timeouts) = (Vec::new(), Vec::new());
        for (request, gated) in &mut self.claims.gated {
            match gated.stage {
                GateStage::CopyingBill(until) if until <= now => {
                    gated.stage = GateStage::AppendingBill(now + Millis(Self::BILL_APPEND_WAIT_MS));
                    copy_timeouts.push(*request);
                }
                GateStage::AppendingBill(until) if until <= now => append_timeouts.push(*request),
                _ => {}
            }
        }
        for request in copy_timeouts {
            self.bills.ledger.append_open(request);
        }
        for request in append_timeouts {
            tracing::warn!(request = %self.request_id(request), "bill stored neither by a peer nor in the log; request continues without a copy");
            self.resume_gated(now, request);
        }
    }

    /// Adopts the bills of peers that are out of reach or have restarted, and replaces unreachable
    /// peers that hold copies of own bills.
    fn review_bills(&mut self) {
        let peers = &self.peers;
        self.bills.ledger.adopt(|origin| {
            peers.get(&origin.vm).is_none_or(|peer| {
                let replaced = peer.incarnation.is_some_and(|known| known > origin.incarnation);
                replaced || !peer.is_in_reach()
            })
        });
        let in_reach = self.peers.iter().filter(|peer| peer.is_in_reach());
        let in_reach: BTreeSet<VmId> = in_reach.map(|peer| peer.vm.clone()).collect();
        let candidates = self.bill_replicas();
        self.bills.ledger.replace_replicas(&in_reach, &candidates);
    }

    fn run_bill_actions(&mut self, actions: impl IntoIterator<Item = BillAction>) {
        for action in actions {
            match action {
                BillAction::Send(to, message) => self.send(&to, PeerMessage::Bill(message)),
                BillAction::Append(record) => {
                    let append = self.next_append();
                    self.bills.append = Some(append);
                    let stream = self.streams.bills.clone();
                    self.emit(Command::Append { append, stream, records: vec![record] });
                }
            }
        }
    }
}
