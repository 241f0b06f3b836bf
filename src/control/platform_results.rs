use super::*;

impl Control {
    /// The delay before a failed read of the configuration stream is repeated.
    const READ_RETRY_MS: u64 = 500;
    /// How long the log may hold a read open while it has no new record.
    pub(super) const READ_WAIT_MS: u64 = 10_000;
    /// The time between two checks that the log still has the last folded record.
    const ANCHOR_CHECK_INTERVAL_MS: u64 = 5 * 60 * 1_000;
    /// The time after which a read without a result counts as lost and is repeated.
    const READ_TIMEOUT_MS: u64 = 30_000;

    /// Reads the configuration stream if this VM is one of those that poll it, has a publication
    /// under way, or has no configuration.
    pub(super) fn read_configuration(&mut self, now: Millis) {
        let needed = self.cluster.polls
            || !self.publications.is_empty()
            || self.configuration.document().is_none();
        let due = self.next_log_read.is_some_and(|at| at <= now);
        let lost = self
            .cluster
            .reading
            .is_some_and(|(at, _)| now.since(at) > Millis(Self::READ_TIMEOUT_MS));
        if !needed || !(due || lost) {
            return;
        }
        let since_check = now.since(self.cluster.anchor_checked);
        if since_check > Millis(Self::ANCHOR_CHECK_INTERVAL_MS) {
            self.cluster.check_anchor = true;
        }
        if self.cluster.check_anchor {
            self.cluster.anchor_checked = now;
        }
        let from = if self.cluster.check_anchor {
            self.configuration.anchor()
        } else {
            self.configuration.next()
        };
        self.next_log_read = None;
        self.cluster.reading = Some((now, from));
        self.emit(Command::ReadLog {
            stream: self.streams.configuration.clone(),
            from,
            wait: Millis(Self::READ_WAIT_MS),
        });
    }

    pub(super) fn on_read(
        &mut self,
        now: Millis,
        stream: &StreamId,
        result: Result<LogPage, PlatformError>,
    ) {
        if self.on_claims_read(now, stream, &result) {
            return;
        }
        if *stream == self.streams.placement {
            self.on_placement_read(now, result);
            return;
        }
        if *stream != self.streams.configuration {
            return;
        }
        let from = self.cluster.reading.take().map(|(_, from)| from);
        match result {
            Ok(page) => {
                self.log_read = Some(now);
                self.next_log_read = Some(now);
                self.cluster.check_anchor = false;
                self.fold_configuration(now, from.unwrap_or(self.configuration.next()), &page);
            }
            Err(PlatformError::Trimmed { oldest }) => {
                self.log_read = Some(now);
                self.configuration.trimmed(oldest);
                self.cluster.check_anchor = false;
                self.next_log_read = Some(now);
            }
            Err(error) => {
                tracing::warn!(%error, "failed to read the configuration stream");
                self.cluster.check_anchor = true;
                self.next_log_read = Some(now + Millis(Self::READ_RETRY_MS));
            }
        }
    }

    /// Folds the records read and puts the resulting configuration in force.
    fn fold_configuration(&mut self, now: Millis, from: Offset, page: &LogPage) {
        let before = self.configuration.stamp();
        let report = self.configuration.fold_page(from, page);
        for (publication, outcome) in &report.outcomes {
            tracing::info!(%publication, ?outcome, "configuration record folded");
        }
        self.schedule_snapshot(now, &report);
        if self.configuration.stamp() != before {
            self.apply_configuration(now);
        }
        self.settle_publications();
    }

    /// Puts the folded configuration in force and announces it to the peers that relay it.
    pub(super) fn apply_configuration(&mut self, now: Millis) {
        let Some(document) = self.configuration.document() else { return };
        self.keys = KeyIndex::of(document);
        self.policy.configure(now, document);
        self.servers.configure(document);
        tracing::info!(
            revision = %self.configuration.revision(),
            preset = %document.preset,
            "configuration in force"
        );
        let stamp = self.configuration.stamp();
        self.gossip(&PeerMessage::Announce(stamp));
        self.recheck_queued(now);
        self.dispatch_all(now);
    }

    pub(super) fn on_appended(
        &mut self,
        now: Millis,
        append: AppendId,
        result: &Result<Offset, PlatformError>,
    ) {
        if self.on_claims_appended(now, append, result)
            || self.on_bills_appended(now, append, result)
        {
            return;
        }
        self.on_publication_appended(now, append, result);
    }

    pub(super) fn on_listed(&mut self, now: Millis, result: Result<MembershipList, PlatformError>) {
        self.schedule_list_read(now);
        match result {
            Ok(list) => {
                self.members_read = Some(now);
                if let Some(delta) = self.cluster.members.update(list) {
                    self.apply_members(now);
                    self.gossip(&PeerMessage::Members(delta));
                }
            }
            Err(error) => tracing::warn!(%error, "failed to read the membership list"),
        }
    }

    pub(super) fn on_loaded(
        &mut self,
        now: Millis,
        server: &ServerId,
        result: Result<LoadReport, PlatformError>,
    ) {
        let Ok(report) = result else { return };
        if report.leaving {
            self.servers.leave(now, server);
        }
        if !self.placement.reads.contains(server) {
            self.cluster.own_loads.insert(server.clone(), ServerLoad::pack(server, &report));
        }
        self.placement.on_load_report(now, server, &report);
        self.servers.report(now, server, report);
        self.dispatch_all(now);
    }

    pub(super) fn on_rated(
        &mut self,
        now: Millis,
        request: RequestNumber,
        attempt: AttemptId,
        result: &Result<Share, PlatformError>,
    ) {
        let evidence = self.load.ratings.remove(request, attempt);
        match (result, evidence) {
            (Ok(score), Some(evidence)) => self.policy.rate(now, &evidence, *score),
            (Ok(_), None) => {}
            (Err(_), _) => self.policy.rating_failed(now),
        }
        self.apply_verdicts(now);
        self.on_rating_settled(now, request, attempt, result.as_ref().ok().copied());
    }
}
