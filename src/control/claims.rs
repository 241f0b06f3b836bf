//! Idempotency keys that callers chose themselves: claiming them in the log, and handling the
//! verdicts.

use super::*;

/// The tickets, claims and requests that wait for them on this VM.
#[derive(Debug, Default)]
pub(super) struct ClaimState {
    /// The keys in use or recently used here.
    pub(super) table: AtMostOnceTable,
    /// Requests that have been planned but not queued.
    pub(super) gated: BTreeMap<RequestNumber, GatedArrival>,
    /// The batchers that run on this VM.
    pub(super) batchers: BTreeMap<ClaimStream, ClaimBatcher>,
    /// Appends of claims that are under way.
    pub(super) appends: BTreeMap<AppendId, ClaimStream>,
    /// Claims to release, and when the release was last sent; zero if never.
    pub(super) releases: BTreeMap<ClaimAttempt, (ClaimKey, Millis)>,
    /// Requests that another entry VM is answering.
    pub(super) forwards: BTreeSet<RequestNumber>,
    /// The number of tickets issued since this VM started.
    pub(super) last_ticket: u64,
    /// The number of claim attempts since this VM started.
    last_attempt: u64,
    pub(super) review_at: Millis,
}

impl Control {
    /// The time after which an unanswered claim or release is sent again.
    const CLAIM_RESEND_MS: u64 = 200;

    /// Handles the idempotency key of a request that must not run twice: the request runs, waits
    /// for an earlier one with the same key, or gets that one's answer.
    pub(super) fn gate_idempotency_key(
        &mut self,
        now: Millis,
        gated: GatedArrival,
    ) -> Result<(), Refusal> {
        let Some(text) = gated.arrival.idempotency_key.clone() else {
            let message = "The service needs an Idempotency-Key: a ticket of POST \
                           /guavapass/v1/tickets or a UUID of version 7.";
            return Err(Refusal::not_run(RefusalCode::BadRequest, message));
        };
        match text.parse() {
            Ok(IdempotencyKey::Ticket(ticket)) => self.gate_ticket(now, gated, &ticket),
            Ok(IdempotencyKey::Own(uuid)) => {
                let key = ClaimKey::new(&gated.profile.team, uuid);
                self.gate_claim(now, gated, key)
            }
            Err(error) => Err(Refusal::not_run(RefusalCode::BadRequest, error.to_string())),
        }
    }

    /// Claims a key of the caller's own, or joins the earlier request that uses it on this VM.
    fn gate_claim(
        &mut self,
        now: Millis,
        gated: GatedArrival,
        key: ClaimKey,
    ) -> Result<(), Refusal> {
        if self.claims.table.get(AtMostOnceKey::Claim(key)).is_some() {
            self.join_first(now, gated, AtMostOnceKey::Claim(key));
            return Ok(());
        }
        self.check_window(now, key)?;
        let attempt = self.next_claim();
        let request = gated.arrival.request;
        let entry = AtMostOnceEntry {
            request,
            fingerprint: gated.arrival.fingerprint,
            stage: AtMostOnceStage::Claiming { attempt, asked: now },
            waiters: Vec::new(),
            expires: now + Millis(KeyWindow::LENGTH_MS + 2 * KeyWindow::SKEW_MS),
        };
        let fingerprint = entry.fingerprint;
        self.claims.table.insert(AtMostOnceKey::Claim(key), entry);
        self.claims.gated.insert(request, gated);
        self.send_claim(now, key, attempt, fingerprint);
        Ok(())
    }

    /// Checks that the time in a key is close enough to now for the log to cover its earlier uses.
    fn check_window(&self, now: Millis, key: ClaimKey) -> Result<(), Refusal> {
        if self.cluster.wall_clock.1 == Millis(0) {
            let message = "This entry VM does not know the time yet; send the request again.";
            let refusal = Refusal::not_run(RefusalCode::Unavailable, message);
            return Err(refusal.with_run(RunState::Unknown));
        }
        if KeyWindow::at(self.unix_time(now)).contains(key) {
            return Ok(());
        }
        let message = "The time in the Idempotency-Key is too far from now to tell whether it was \
                       used before; make a new key for a request that was never sent.";
        let run = self.billed_run(&BillKey::of_claim(key));
        Err(Refusal::not_run(RefusalCode::Unprocessable, message).with_run(run))
    }

    /// Returns what this VM's bills tell about a run whose VM cannot be asked.
    pub(super) fn billed_run(&self, key: &BillKey) -> RunState {
        if self.bills.ledger.has_final_bill(key) { RunState::Ran } else { RunState::Unknown }
    }

    const fn next_claim(&mut self) -> ClaimAttempt {
        self.claims.last_attempt += 1;
        ClaimAttempt(self.claims.last_attempt)
    }

    /// Makes a request wait for the first one with the same key, or answers it if that one has
    /// ended.
    pub(super) fn join_first(&mut self, now: Millis, mut gated: GatedArrival, key: AtMostOnceKey) {
        let request = gated.arrival.request;
        let Some(entry) = self.claims.table.get_mut(key) else { return };
        if entry.fingerprint != gated.arrival.fingerprint {
            self.refuse_gated(request, Self::reused_key());
            return;
        }
        let (first, stage) = (entry.request, entry.stage.clone());
        if let AtMostOnceStage::Ended { run } = stage {
            self.replay(request, first, run);
            return;
        }
        entry.waiters.push(request);
        gated.stage = GateStage::Joined(key);
        tracing::info!(
            request = %self.request_id(request),
            first = %self.request_id(first),
            waited_ms = now.since(gated.profile.arrived).0,
            "request waits for an earlier one with the same idempotency key"
        );
        self.claims.gated.insert(request, gated);
    }

    /// Refuses a key that was first used for another request, so this one has certainly not run.
    fn reused_key() -> Refusal {
        let message = "The Idempotency-Key was used for another request; make a new key.";
        Refusal::not_run(RefusalCode::Unprocessable, message)
    }

    /// Answers a request with the stored answer of the first one with its key.
    fn replay(&mut self, request: RequestNumber, first: RequestNumber, run: RunState) {
        self.claims.gated.remove(&request);
        let message = "An earlier request with this Idempotency-Key has ended, and its answer is \
                       no longer kept.";
        let otherwise = Refusal::not_run(RefusalCode::Conflict, message).with_run(run);
        self.emit(Command::Replay { request, first, otherwise });
    }

    fn claim_name(&self, attempt: ClaimAttempt) -> ClaimName {
        ClaimName { claimant: self.own_name(), attempt }
    }

    fn send_claim(&mut self, now: Millis, key: ClaimKey, attempt: ClaimAttempt, fingerprint: u64) {
        let name = self.claim_name(attempt);
        self.send_claim_entries(now, vec![ClaimEntry::Claim { key, name, fingerprint }]);
    }

    /// Releases a claim for good. The release is repeated until it is confirmed, and this VM sends
    /// nothing to a backend server under the claim any more.
    fn release_claim(&mut self, key: ClaimKey, attempt: ClaimAttempt) {
        self.claims.releases.insert(attempt, (key, Millis(0)));
    }

    /// Handles the verdict on a claim of this VM.
    pub(super) fn on_verdict(&mut self, now: Millis, name: &ClaimName, verdict: &ClaimVerdict) {
        if name.claimant != self.own_name() {
            return;
        }
        if *verdict == ClaimVerdict::Released {
            self.claims.releases.remove(&name.attempt);
            return;
        }
        let Some(key) = self.claims.table.claimed_by(name.attempt) else { return };
        let Some(entry) = self.claims.table.get(AtMostOnceKey::Claim(key)) else { return };
        if !matches!(entry.stage, AtMostOnceStage::Claiming { .. }) {
            return;
        }
        let request = entry.request;
        match verdict {
            ClaimVerdict::Taken => self.on_claim_taken(now, key, name.attempt, request),
            ClaimVerdict::Held(holder) => self.on_claim_held(now, key, name.attempt, holder),
            ClaimVerdict::Void => self.reclaim(now, key, name.attempt),
            ClaimVerdict::Uncovered => {
                self.release_claim(key, name.attempt);
                let message = "The log no longer tells whether the Idempotency-Key was used \
                               before; make a new key for a request that was never sent.";
                let run = self.billed_run(&BillKey::of_claim(key));
                let refusal = Refusal::not_run(RefusalCode::Unprocessable, message).with_run(run);
                self.refuse_claim(key, &refusal);
            }
            ClaimVerdict::Down => {
                self.release_claim(key, name.attempt);
                let message = "The platform's log is down, so keys of your own cannot be claimed. \
                               If this key was never sent before, nothing has run: get a ticket \
                               from POST /guavapass/v1/tickets. Else send it again later.";
                let refusal = Refusal::not_run(RefusalCode::Unavailable, message)
                    .with_run(self.billed_run(&BillKey::of_claim(key)))
                    .with_retry_after(Self::retry_after(request));
                self.refuse_claim(key, &refusal);
            }
            ClaimVerdict::Released => {}
        }
    }

    /// Lets a request continue whose claim succeeded, unless its key has become too old meanwhile.
    fn on_claim_taken(
        &mut self,
        now: Millis,
        key: ClaimKey,
        attempt: ClaimAttempt,
        request: RequestNumber,
    ) {
        if let Err(refusal) = self.check_window(now, key) {
            self.release_claim(key, attempt);
            self.refuse_claim(key, &refusal);
            return;
        }
        let Some(entry) = self.claims.table.get_mut(AtMostOnceKey::Claim(key)) else { return };
        entry.stage = AtMostOnceStage::Held { attempt: Some(attempt) };
        let Some(gated) = self.claims.gated.remove(&request) else {
            self.end_idempotency_key(request, RunState::NotRun);
            return;
        };
        self.gate_bill(now, gated);
    }

    /// Handles a key that another claim holds. An earlier attempt of this VM is released and the
    /// key claimed again; a request of another VM is forwarded to that VM.
    fn on_claim_held(
        &mut self,
        now: Millis,
        key: ClaimKey,
        attempt: ClaimAttempt,
        holder: &ClaimHolder,
    ) {
        let Some(entry) = self.claims.table.get(AtMostOnceKey::Claim(key)) else { return };
        let fingerprint = entry.fingerprint;
        if holder.name.claimant == self.own_name() {
            self.release_claim(key, holder.name.attempt);
            self.reclaim(now, key, attempt);
            return;
        }
        if holder.fingerprint != fingerprint {
            self.refuse_claim(key, &Self::reused_key());
            return;
        }
        let Some(entry) = self.claims.table.remove(AtMostOnceKey::Claim(key)) else { return };
        let run = self.billed_run(&BillKey::of_claim(key));
        let holder = holder.name.claimant.clone();
        for request in std::iter::once(entry.request).chain(entry.waiters) {
            self.forward_to_owner(request, &holder, run);
        }
    }

    /// Forwards a request to the VM that holds its key. The request is refused if that VM is
    /// unknown or has restarted, or if the request was forwarded before.
    pub(super) fn forward_to_owner(
        &mut self,
        request: RequestNumber,
        owner: &PeerName,
        run: RunState,
    ) {
        let Some(gated) = self.claims.gated.remove(&request) else { return };
        let message = "The entry VM that the Idempotency-Key belongs to cannot be asked.";
        let otherwise = Refusal::not_run(RefusalCode::Conflict, message).with_run(run);
        let address = self.peers.get(&owner.vm).and_then(|peer| {
            let same = peer.incarnation.is_none_or(|known| known == owner.incarnation);
            same.then_some(peer.address)
        });
        match address {
            Some(address) if gated.arrival.source == ArrivalSource::Caller => {
                self.claims.forwards.insert(request);
                self.emit(Command::Forward { request, address, otherwise });
            }
            _ => self.refuse_gated(request, otherwise),
        }
    }

    /// Claims a key under a new attempt. The claim is sent when the repeat interval has passed.
    fn reclaim(&mut self, now: Millis, key: ClaimKey, _old: ClaimAttempt) {
        let attempt = self.next_claim();
        let Some(mut entry) = self.claims.table.remove(AtMostOnceKey::Claim(key)) else { return };
        entry.stage = AtMostOnceStage::Claiming { attempt, asked: now };
        self.claims.table.insert(AtMostOnceKey::Claim(key), entry);
    }

    /// Refuses the requests that wait for a claim which did not succeed.
    fn refuse_claim(&mut self, key: ClaimKey, refusal: &Refusal) {
        let Some(entry) = self.claims.table.remove(AtMostOnceKey::Claim(key)) else { return };
        for request in std::iter::once(entry.request).chain(entry.waiters) {
            self.refuse_gated(request, refusal.clone());
        }
    }

    /// Releases the claim of a request that has timed out or whose caller is gone, and refuses the
    /// requests that joined it.
    pub(super) fn abandon_claim(&mut self, request: RequestNumber) {
        let Some(AtMostOnceKey::Claim(key)) = self.claims.table.key_of(request) else { return };
        let Some(entry) = self.claims.table.get(AtMostOnceKey::Claim(key)) else { return };
        if let AtMostOnceStage::Claiming { attempt, .. } = entry.stage {
            self.release_claim(key, attempt);
        }
        let message = "The first request with this Idempotency-Key was given up; send it again.";
        let refusal = Refusal::not_run(RefusalCode::Unavailable, message);
        let refusal = refusal.with_run(RunState::Unknown);
        let Some(entry) = self.claims.table.remove(AtMostOnceKey::Claim(key)) else { return };
        for waiter in entry.waiters {
            self.refuse_gated(waiter, refusal.clone());
        }
    }

    /// Records the end of a request with a key. If the request ran, the joined ones get its answer;
    /// if not, its claim is released and the joined ones are told to send again.
    pub(super) fn end_idempotency_key(&mut self, request: RequestNumber, run: RunState) {
        let Some(key) = self.claims.table.key_of(request) else { return };
        let Some(entry) = self.claims.table.get_mut(key) else { return };
        let waiters = std::mem::take(&mut entry.waiters);
        if run != RunState::NotRun {
            entry.stage = AtMostOnceStage::Ended { run };
            for waiter in waiters {
                self.replay(waiter, request, run);
            }
            return;
        }
        let Some(entry) = self.claims.table.remove(key) else { return };
        if let (AtMostOnceKey::Claim(key), AtMostOnceStage::Held { attempt: Some(attempt) }) =
            (key, entry.stage)
        {
            self.release_claim(key, attempt);
        }
        let message = "The first request with this Idempotency-Key did not run; send it again.";
        for waiter in waiters {
            let refusal = Refusal::not_run(RefusalCode::Unavailable, message);
            self.refuse_gated(waiter, refusal.with_retry_after(Self::retry_after(waiter)));
        }
    }

    /// Sends unanswered claims and releases again.
    pub(super) fn resend_claims(&mut self, now: Millis) {
        for (key, entry) in self.claims.table.claiming() {
            let AtMostOnceStage::Claiming { attempt, asked } = entry.stage else { continue };
            if now.since(asked) < Millis(Self::CLAIM_RESEND_MS) {
                continue;
            }
            if let Some(entry) = self.claims.table.get_mut(AtMostOnceKey::Claim(key)) {
                entry.stage = AtMostOnceStage::Claiming { attempt, asked: now };
            }
            self.send_claim(now, key, attempt, entry.fingerprint);
        }
        let due =
            |asked: Millis| asked == Millis(0) || now.since(asked) >= Millis(Self::CLAIM_RESEND_MS);
        let releases = self.claims.releases.iter().filter(|(_, (_, asked))| due(*asked));
        let releases: Vec<(ClaimAttempt, ClaimKey)> =
            releases.map(|(attempt, (key, _))| (*attempt, *key)).collect();
        for (attempt, key) in releases {
            self.claims.releases.insert(attempt, (key, now));
            let name = self.claim_name(attempt);
            self.send_claim_entries(now, vec![ClaimEntry::Release { key, name }]);
        }
    }
}
