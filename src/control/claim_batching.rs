//! The batchers that write claims to the log, and the messages between them and the claimants.

use super::*;

impl Control {
    /// The time between two checks which streams this VM batches claims for.
    const CLAIM_REVIEW_MS: u64 = 1_000;

    /// Sends entries, all of one stream, to the stream's batcher.
    pub(super) fn send_claim_entries(&mut self, now: Millis, entries: Vec<ClaimEntry>) {
        let Some(first) = entries.first() else { return };
        let stream = first.key().stream();
        let batcher = self.batcher(stream, 0);
        if batcher.as_ref() == Some(&self.identity.vm) {
            let own = self.identity.vm.clone();
            self.batch_claims(now, &own, entries);
        } else if let Some(batcher) = batcher {
            self.send(&batcher, PeerMessage::Claim(ClaimMessage::Ask(entries)));
        }
    }

    /// Returns the VM with the given rank for batching a stream's claims, among the VMs in reach.
    /// This VM if none may serve.
    fn batcher(&self, stream: ClaimStream, rank: usize) -> Option<VmId> {
        let peers = self.peers.iter().filter(|peer| peer.may_serve()).map(|peer| &peer.vm);
        let own = self.shutdown.is_serving().then_some(&self.identity.vm);
        let ranked = rank_vms(stream.id().as_str(), peers.chain(own));
        if ranked.is_empty() {
            return Some(self.identity.vm.clone());
        }
        ranked.into_iter().nth(rank)
    }

    /// Passes entries, all of one stream, to this VM's batcher.
    fn batch_claims(&mut self, now: Millis, from: &VmId, entries: Vec<ClaimEntry>) {
        let Some(first) = entries.first() else { return };
        let stream = first.key().stream();
        let unix = self.unix_time(now);
        let batcher = self.claims.batchers.entry(stream).or_default();
        let mut actions = Vec::new();
        for entry in entries {
            actions.extend(batcher.submit(now, from, entry));
        }
        actions.extend(batcher.due_actions(now, unix));
        self.run_batcher_actions(now, stream, actions);
    }

    fn run_batcher_actions(
        &mut self,
        now: Millis,
        stream: ClaimStream,
        actions: Vec<ClaimBatcherAction>,
    ) {
        for action in actions {
            match action {
                ClaimBatcherAction::Append(record) => {
                    let append = self.next_append();
                    self.claims.appends.insert(append, stream);
                    let records = vec![record];
                    self.emit(Command::Append { append, stream: stream.id(), records });
                }
                ClaimBatcherAction::Read(from) => {
                    let wait = Millis(Self::READ_WAIT_MS);
                    self.emit(Command::ReadLog { stream: stream.id(), from, wait });
                }
                ClaimBatcherAction::SendVerdict(vm, name, verdict) if vm == self.identity.vm => {
                    self.on_verdict(now, &name, &verdict);
                }
                ClaimBatcherAction::SendVerdict(vm, name, verdict) => {
                    let message = ClaimMessage::Verdict { name, verdict };
                    self.send(&vm, PeerMessage::Claim(message));
                }
            }
        }
    }

    /// Handles a message about claims.
    pub(super) fn on_claim_message(&mut self, now: Millis, from: &PeerName, message: ClaimMessage) {
        match message {
            ClaimMessage::Ask(entries) => self.batch_claims(now, &from.vm, entries),
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
        let Some(batcher) = self.claims.batchers.get_mut(&stream) else { return true };
        let actions = batcher.on_appended(now, result);
        self.run_batcher_actions(now, stream, actions);
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
        let Some(batcher) = self.claims.batchers.get_mut(&stream) else { return true };
        let actions = batcher.on_read(now, unix, result);
        self.run_batcher_actions(now, stream, actions);
        true
    }

    /// Sends unanswered claims and releases again, starts the batchers that this VM ranks first or
    /// second for, and runs all of them.
    pub(super) fn advance_claims(&mut self, now: Millis) {
        self.resend_claims(now);
        if self.claims.review_at <= now {
            self.claims.review_at = now + Millis(Self::CLAIM_REVIEW_MS);
            self.claims.table.prune(now);
            for stream in ClaimStream::all() {
                let ranks = [0, 1].map(|rank| self.batcher(stream, rank));
                if ranks.contains(&Some(self.identity.vm.clone())) {
                    self.claims.batchers.entry(stream).or_default().start(now);
                }
            }
        }
        let unix = self.unix_time(now);
        let streams: Vec<ClaimStream> = self.claims.batchers.keys().copied().collect();
        for stream in streams {
            let Some(batcher) = self.claims.batchers.get_mut(&stream) else { continue };
            let actions = batcher.due_actions(now, unix);
            self.run_batcher_actions(now, stream, actions);
        }
    }

    /// Returns whether no release of this VM and no entry in its batchers is under way.
    pub(super) fn claims_are_idle(&self) -> bool {
        self.claims.releases.is_empty() && self.claims.batchers.values().all(ClaimBatcher::is_idle)
    }
}
