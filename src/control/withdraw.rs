use super::*;

impl Control {
    /// Withdraws a generation of a version: it gets no new work here from now on, and elsewhere as
    /// soon as the notice arrives.
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

    /// Returns whether a version takes no new work.
    #[must_use]
    pub fn is_withdrawn(&self, version: &VersionId) -> bool {
        let document = self.configuration.document();
        let entry = document.and_then(|document| document.version(version));
        entry.is_none_or(|entry| {
            entry.state == VersionState::Withdrawn
                || self.cluster.withdrawals.holds(version, entry.generation)
        })
    }

    /// Returns the notices of withdrawn versions.
    pub fn withdrawals(&self) -> impl Iterator<Item = &Withdrawal> {
        self.cluster.withdrawals.iter()
    }

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
        self.spread(&PeerMessage::Withdrawals(fresh));
        self.recheck_queued(now);
        self.dispatch_all(now);
    }
}
