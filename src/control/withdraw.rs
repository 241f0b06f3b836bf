use super::*;

impl Control {
    /// Withdraws a generation of a version: it gets no new requests on this VM from now on, nor on
    /// the others once they receive the notice.
    pub fn withdraw(
        &mut self,
        now: Millis,
        version: VersionId,
        generation: u32,
        reason: impl Into<SmolStr>,
    ) {
        let by = self.identity.vm.clone();
        let notice = Withdrawal { version, generation, reason: reason.into(), by };
        self.on_withdrawals(now, vec![notice]);
    }

    /// Returns whether a version gets no new requests, because of the configuration, a notice, or
    /// because it does not exist.
    #[must_use]
    pub fn is_withdrawn(&self, version: &VersionId) -> bool {
        let document = self.configuration.document();
        let entry = document.and_then(|document| document.version(version));
        entry.is_none_or(|entry| {
            entry.state == VersionState::Withdrawn
                || self.cluster.withdrawals.contains(version, entry.generation)
        })
    }

    /// Returns the notices of all withdrawn versions known to this VM.
    pub fn withdrawals(&self) -> impl Iterator<Item = &Withdrawal> {
        self.cluster.withdrawals.iter()
    }

    /// Applies and relays the notices that are new to this VM.
    pub(super) fn on_withdrawals(&mut self, now: Millis, notices: Vec<Withdrawal>) {
        let mut fresh = Vec::new();
        for notice in notices {
            if self.cluster.withdrawals.insert(notice.clone()) {
                tracing::warn!(
                    version = %notice.version,
                    generation = notice.generation,
                    reason = %notice.reason,
                    by = %notice.by,
                    "version withdrawn"
                );
                fresh.push(notice);
            }
        }
        if fresh.is_empty() {
            return;
        }
        self.gossip(&PeerMessage::Withdrawals(fresh));
        self.recheck_queued(now);
        self.dispatch_all(now);
    }
}
