use super::*;

/// An operator's publication that waits for its outcome.
#[derive(Debug)]
pub(super) struct PendingPublication {
    call: CallId,
    record: Bytes,
    /// When the caller stops waiting.
    deadline: Millis,
    /// The append under way; none between two appends.
    append: Option<AppendId>,
    /// When to append next; none while an append is under way or after it succeeded.
    append_at: Option<Millis>,
    append_state: AppendState,
    /// Why there is no outcome yet, for the answer at the deadline.
    failure: SmolStr,
}

/// Whether a publication's record may be in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AppendState {
    /// No append can have taken effect.
    Absent,
    /// An append may have taken effect, as its result is unknown.
    Possible,
    /// An append was confirmed.
    Confirmed,
}

/// The delay before an append that certainly failed is repeated.
const APPEND_RETRY_MS: u64 = 500;
/// The delay before an append with an unknown result is repeated.
const UNCERTAIN_APPEND_RETRY_MS: u64 = 2_000;
/// The time between two snapshots, which are records that hold the whole document.
const SNAPSHOT_INTERVAL_MS: u64 = 60 * 60 * 1_000;
/// The time from a start to this VM's first snapshot, unless another VM appends one before.
const FIRST_SNAPSHOT_MS: u64 = 10 * 60 * 1_000;
/// The time by which each VM in rank waits longer than the one before it, so that one of them
/// appends the snapshot.
const SNAPSHOT_STAGGER_MS: u64 = 5_000;

impl Control {
    /// Validates a publication and begins to append it to the log.
    pub(super) fn publish(
        &mut self,
        now: Millis,
        call: CallId,
        publication: SmolStr,
        base: Option<Revision>,
        change: ConfigurationChange,
        wait: Millis,
    ) {
        if let Err(reason) = self.check_publication(&publication, base, &change) {
            let answer = OperatorAnswer::Published(PublicationOutcome::Rejected(reason));
            self.emit(Command::AnswerOperator { call, answer });
            return;
        }
        let record = ConfigurationRecord {
            schema: ConfigurationDocument::SCHEMA,
            publication: publication.clone(),
            base: base.unwrap_or(self.configuration.revision()),
            change,
        };
        let Ok(bytes) = serde_json::to_vec(&record) else { return };
        let pending = PendingPublication {
            call,
            record: bytes.into(),
            deadline: now + wait,
            append: None,
            append_at: Some(now),
            append_state: AppendState::Absent,
            failure: "the log has not answered".into(),
        };
        if let Some(old) = self.publications.insert(publication, pending) {
            let answer =
                OperatorAnswer::Failed("The publication was repeated by a later call.".into());
            self.emit(Command::AnswerOperator { call: old.call, answer });
        }
        self.tick_publications(now);
    }

    /// Rejects a publication that every VM would reject, before it is appended.
    fn check_publication(
        &self,
        publication: &SmolStr,
        base: Option<Revision>,
        change: &ConfigurationChange,
    ) -> Result<(), SmolStr> {
        let revision = self.configuration.revision();
        if publication.is_empty() || publication.len() > ConfigurationRecord::MAX_PUBLICATION_BYTES
        {
            return Err("The publication's name must have 1 to 128 bytes.".into());
        }
        if self.configuration.outcome(publication).is_some() {
            return Err("A publication of this name has been decided; choose another name.".into());
        }
        if base.is_some_and(|base| base > revision) {
            let reason =
                format!("Revision {revision} is in force at this VM; ask one that is further.");
            return Err(reason.into());
        }
        match change {
            ConfigurationChange::Document(document) => {
                check_document(document).map_err(|error| SmolStr::new(error.to_string()))
            }
            ConfigurationChange::Preset(preset) => match self.configuration.document() {
                Some(document) if document.presets.contains_key(preset) => Ok(()),
                Some(_) => Err(format!("There is no preset {preset}.").into()),
                None => Err("There is no configuration whose preset could change.".into()),
            },
            ConfigurationChange::Snapshot { .. } => {
                Err("Only entry VMs append snapshots; publish the document.".into())
            }
        }
    }

    /// Appends publications that are due, and answers those whose deadline has passed.
    pub(super) fn tick_publications(&mut self, now: Millis) {
        let overdue: Vec<SmolStr> = self
            .publications
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(publication, _)| publication.clone())
            .collect();
        for publication in overdue {
            self.answer_overdue(&publication);
        }
        let due: Vec<SmolStr> = self
            .publications
            .iter()
            .filter(|(_, pending)| pending.append_at.is_some_and(|at| at <= now))
            .map(|(publication, _)| publication.clone())
            .collect();
        for publication in due {
            let append = self.next_append();
            let stream = self.streams.configuration.clone();
            let Some(pending) = self.publications.get_mut(&publication) else { continue };
            pending.append = Some(append);
            pending.append_at = None;
            let records = vec![pending.record.clone()];
            self.emit(Command::Append { append, stream, records });
        }
    }

    /// Answers a publication whose deadline has passed: rejected if it is certainly not in the log,
    /// else unknown.
    fn answer_overdue(&mut self, publication: &SmolStr) {
        let Some(pending) = self.publications.remove(publication) else { return };
        let failure = &pending.failure;
        let is_absent = pending.append_state == AppendState::Absent && pending.append.is_none();
        let outcome = if is_absent {
            let reason = format!("It is certainly not in the log: {failure}; publish it again.");
            PublicationOutcome::Rejected(reason.into())
        } else {
            let reason = format!(
                "It may be in the log, and may still come into force: {failure}; \
                 look at the revision before you publish again."
            );
            PublicationOutcome::Unknown(reason.into())
        };
        let answer = OperatorAnswer::Published(outcome);
        self.emit(Command::AnswerOperator { call: pending.call, answer });
    }

    /// Handles the result of an append of a publication or snapshot. A failed append is repeated.
    pub(super) fn on_publication_appended(
        &mut self,
        now: Millis,
        append: AppendId,
        result: &Result<Offset, PlatformError>,
    ) {
        if self.cluster.snapshot_append == Some(append) {
            self.cluster.snapshot_append = None;
            if result.is_err() {
                self.cluster.snapshot_at = Some(now + Millis(SNAPSHOT_STAGGER_MS));
            }
            return;
        }
        let mut all = self.publications.values_mut();
        let Some(pending) = all.find(|pending| pending.append == Some(append)) else { return };
        pending.append = None;
        match result {
            Ok(_) => {
                pending.append_state = AppendState::Confirmed;
                pending.failure = "the log could not be read afterwards".into();
            }
            Err(error) => {
                let certain = matches!(
                    error,
                    PlatformError::Refused { .. } | PlatformError::Unreachable { .. }
                );
                if !certain {
                    pending.append_state = pending.append_state.max(AppendState::Possible);
                }
                let pause = if certain { APPEND_RETRY_MS } else { UNCERTAIN_APPEND_RETRY_MS };
                pending.append_at = Some(now + Millis(pause));
                pending.failure = error.to_string().trim_end_matches('.').into();
            }
        }
    }

    /// Answers the publications whose outcome the folded log contains.
    pub(super) fn settle_publications(&mut self) {
        let decided: Vec<(SmolStr, PublicationOutcome)> = self
            .publications
            .keys()
            .filter_map(|publication| {
                let outcome = self.configuration.outcome(publication)?.clone();
                Some((publication.clone(), outcome))
            })
            .collect();
        for (publication, outcome) in decided {
            let Some(pending) = self.publications.remove(&publication) else { continue };
            let answer = OperatorAnswer::Published(outcome);
            self.emit(Command::AnswerOperator { call: pending.call, answer });
        }
    }

    /// Schedules this VM's next snapshot after records have been read: at once if the log was
    /// restored, and later if they hold a snapshot of another VM.
    pub(super) fn schedule_snapshot(&mut self, now: Millis, report: &FoldReport) {
        let wait = if report.restored {
            0
        } else if report.kept && self.cluster.snapshot_at.is_some() {
            SNAPSHOT_INTERVAL_MS
        } else if self.cluster.snapshot_at.is_none() {
            FIRST_SNAPSHOT_MS
        } else {
            return;
        };
        self.cluster.snapshot_at = Some(now + Millis(wait));
    }

    /// Appends a snapshot of the document when it is due, so that the log's retention never removes
    /// the last record that holds the document.
    pub(super) fn append_snapshot(&mut self, now: Millis) {
        let Some(due) = self.cluster.snapshot_at else { return };
        let Some(document) = self.configuration.document() else { return };
        let rank = self.peers.ranked(&self.identity.vm, SNAPSHOT_RANK_KEY);
        let rank = rank.iter().position(|vm| *vm == self.identity.vm).unwrap_or(0);
        let stagger = Millis(SNAPSHOT_STAGGER_MS * rank as u64);
        let reads = self.cluster.polls && self.cluster.reading.is_some();
        if now < due + stagger || !reads || self.configuration.has_gap() {
            return;
        }
        let revision = self.configuration.revision();
        let as_of = self.configuration.next();
        let change =
            ConfigurationChange::Snapshot { as_of, document: Box::new((**document).clone()) };
        let record = ConfigurationRecord {
            schema: ConfigurationDocument::SCHEMA,
            publication: format!("snapshot-{revision}-{}-{as_of}", self.own_name()).into(),
            base: revision,
            change,
        };
        let Ok(bytes) = serde_json::to_vec(&record) else { return };
        let append = self.next_append();
        self.cluster.snapshot_append = Some(append);
        self.cluster.snapshot_at = Some(now + Millis(SNAPSHOT_INTERVAL_MS));
        tracing::info!(%revision, %as_of, "appending a configuration snapshot");
        self.emit(Command::Append {
            append,
            stream: self.streams.configuration.clone(),
            records: vec![bytes.into()],
        });
    }
}

/// The rendezvous-hash key that ranks the VMs for appending snapshots.
const SNAPSHOT_RANK_KEY: &str = "snapshot";
