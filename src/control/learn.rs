use super::*;

impl Control {
    const READ_PAUSE_MS: u64 = 500;

    pub(super) fn on_read(
        &mut self,
        now: Millis,
        stream: &StreamId,
        result: Result<LogPage, PlatformError>,
    ) {
        if *stream != self.streams.configuration {
            return;
        }
        match result {
            Ok(page) => {
                self.log_read = Some(now);
                self.read_again = Some(now);
                self.fold_configuration(now, &page);
            }
            Err(PlatformError::Trimmed { oldest }) => {
                self.configuration.skip_to(oldest);
                self.read_again = Some(now);
            }
            Err(error) => {
                tracing::warn!(%error, "configuration not read");
                self.read_again = Some(now + Millis(Self::READ_PAUSE_MS));
            }
        }
    }

    fn fold_configuration(&mut self, now: Millis, page: &LogPage) {
        let before = self.configuration.revision();
        for record in &page.records {
            let Some((publication, outcome)) = self.configuration.fold(record) else { continue };
            tracing::info!(offset = %record.offset, %publication, ?outcome, "configuration record");
            if let Some((call, _)) = self.publications.remove(&publication) {
                let answer = OperatorAnswer::Published(outcome);
                self.emit(Command::AnswerOperator { call, answer });
            }
        }
        if self.configuration.revision() != before {
            self.apply_configuration(now);
        }
    }

    fn apply_configuration(&mut self, now: Millis) {
        let Some(document) = self.configuration.document() else { return };
        self.keys = KeyIndex::of(document);
        self.policy.configure(now, document);
        self.servers.configure(document);
        self.recheck_queued(now);
        self.dispatch_all(now);
    }

    pub(super) fn on_appended(&mut self, append: AppendId, result: &Result<Offset, PlatformError>) {
        let Err(error) = result else { return };
        let publication = self
            .publications
            .iter()
            .find(|(_, (_, pending))| *pending == append)
            .map(|(publication, (call, _))| (publication.clone(), *call));
        let Some((publication, call)) = publication else { return };
        if matches!(error, PlatformError::Lost { .. }) {
            return;
        }
        self.publications.remove(&publication);
        let answer = OperatorAnswer::Failed(error.to_string().into());
        self.emit(Command::AnswerOperator { call, answer });
    }

    pub(super) fn on_listed(&mut self, now: Millis, result: Result<MembershipList, PlatformError>) {
        self.schedule_list(now);
        match result {
            Ok(list) => {
                self.members_read = Some(now);
                self.servers.update(now, &list.backend_servers);
                self.peers.update(&self.identity.vm, &list.entry_vms);
                self.dispatch_all(now);
            }
            Err(error) => tracing::warn!(%error, "membership list not read"),
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
        let evidence = self.load.ratings.take(request, attempt);
        match (result, evidence) {
            (Ok(score), Some(evidence)) => self.policy.rate(now, &evidence, *score),
            (Ok(_), None) => {}
            (Err(_), _) => self.policy.rating_failed(now),
        }
        self.apply_verdicts(now);
        self.on_judged(now, request, attempt, result.as_ref().ok().copied());
    }
}
