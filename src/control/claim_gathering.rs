//! The gatherers that write claims to the log, and the messages between them and the claimants.

use super::*;

impl Control {
    /// The time between two checks which streams this VM gathers.
    const CLAIM_REVIEW_MS: u64 = 1_000;

    /// Sends entries, all of one stream, to the stream's gatherer.
    pub(super) fn send_claim_entries(&mut self, now: Millis, entries: Vec<ClaimEntry>) {
        let Some(first) = entries.first() else { return };
        let stream = first.key().stream();
        let gatherer = self.gatherer(stream, 0);
        if gatherer.as_ref() == Some(&self.identity.vm) {
            let own = self.identity.vm.clone();
            self.gather_claims(now, &own, entries);
        } else if let Some(gatherer) = gatherer {
            self.send(&gatherer, PeerMessage::Claim(ClaimMessage::Ask(entries)));
        }
    }

    /// Returns the VM with the given rank for gathering a stream, among the VMs in reach. This VM
    /// if none may serve.
    fn gatherer(&self, stream: ClaimStream, rank: usize) -> Option<VmId> {
        let peers = self.peers.iter().filter(|peer| peer.may_serve()).map(|peer| &peer.vm);
        let own = self.shutdown.is_serving().then_some(&self.identity.vm);
        let ranked = rank_vms(stream.id().as_str(), peers.chain(own));
        if ranked.is_empty() {
            return Some(self.identity.vm.clone());
        }
        ranked.into_iter().nth(rank)
    }

    /// Passes entries, all of one stream, to this VM's gatherer.
    fn gather_claims(&mut self, now: Millis, from: &VmId, entries: Vec<ClaimEntry>) {
        let Some(first) = entries.first() else { return };
        let stream = first.key().stream();
        let unix = self.unix_time(now);
        let gatherer = self.claims.gatherers.entry(stream).or_default();
        let mut actions = Vec::new();
        for entry in entries {
            actions.extend(gatherer.ask(now, from, entry));
        }
        actions.extend(gatherer.pump(now, unix));
        self.run_gatherer_actions(now, stream, actions);
    }

    fn run_gatherer_actions(
        &mut self,
        now: Millis,
        stream: ClaimStream,
        actions: Vec<GathererAction>,
    ) {
        for action in actions {
            match action {
                GathererAction::Append(record) => {
                    let append = self.next_append();
                    self.claims.appends.insert(append, stream);
                    let records = vec![record];
                    self.emit(Command::Append { append, stream: stream.id(), records });
                }
                GathererAction::Read(from) => {
                    let wait = Millis(Self::READ_WAIT_MS);
                    self.emit(Command::ReadLog { stream: stream.id(), from, wait });
                }
                GathererAction::Tell(vm, name, verdict) if vm == self.identity.vm => {
                    self.on_verdict(now, &name, &verdict);
                }
                GathererAction::Tell(vm, name, verdict) => {
                    let message = ClaimMessage::Verdict { name, verdict };
                    self.send(&vm, PeerMessage::Claim(message));
                }
            }
        }
    }

    /// Handles a message about claims.
    pub(super) fn on_claim_message(&mut self, now: Millis, from: &PeerName, message: ClaimMessage) {
        match message {
            ClaimMessage::Ask(entries) => self.gather_claims(now, &from.vm, entries),
            ClaimMessage::Verdict { name, verdict } => self.on_verdict(now, &name, &verdict),
        }
    }

    /// Handles the result of an append of claims. Returns false if `append` is of another kind.
    pub(super) fn on_claims_appended(
        &mut self,
        now: Millis,
        append: AppendId,
        result: &Result<Offset, PlatformError>,
    ) -> bool {
        let Some(stream) = self.claims.appends.remove(&append) else { return false };
        let Some(gatherer) = self.claims.gatherers.get_mut(&stream) else { return true };
        let actions = gatherer.on_appended(now, result);
        self.run_gatherer_actions(now, stream, actions);
        true
    }

    /// Handles a read of a claims stream. Returns false if `stream` is of another kind.
    pub(super) fn on_claims_read(
        &mut self,
        now: Millis,
        stream: &StreamId,
        result: &Result<LogPage, PlatformError>,
    ) -> bool {
        let Some(stream) = ClaimStream::of_id(stream) else { return false };
        let unix = self.unix_time(now);
        let Some(gatherer) = self.claims.gatherers.get_mut(&stream) else { return true };
        let actions = gatherer.on_read(now, unix, result);
        self.run_gatherer_actions(now, stream, actions);
        true
    }

    /// Sends unanswered claims and releases again, starts the gatherers that this VM ranks first or
    /// second for, and runs all of them.
    pub(super) fn advance_claims(&mut self, now: Millis) {
        self.resend_claims(now);
        if self.claims.review_at <= now {
            self.claims.review_at = now + Millis(Self::CLAIM_REVIEW_MS);
            self.claims.table.prune(now);
            for stream in ClaimStream::all() {
                let ranks = [0, 1].map(|rank| self.gatherer(stream, rank));
                if ranks.contains(&Some(self.identity.vm.clone())) {
                    self.claims.gatherers.entry(stream).or_default().start(now);
                }
            }
        }
        let unix = self.unix_time(now);
        let streams: Vec<ClaimStream> = self.claims.gatherers.keys().copied().collect();
        for stream in streams {
            let Some(gatherer) = self.claims.gatherers.get_mut(&stream) else { continue };
            let actions = gatherer.pump(now, unix);
            self.run_gatherer_actions(now, stream, actions);
        }
    }

    /// Returns whether no release of this VM and no entry in its gatherers is under way.
    pub(super) fn claims_are_idle(&self) -> bool {
        self.claims.releases.is_empty()
            && self.claims.gatherers.values().all(ClaimGatherer::is_idle)
    }
}
