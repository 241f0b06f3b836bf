use super::{record::RecordReading, *};

/// The configuration in force, built by applying the records of the `configuration` stream.
///
/// The state depends only on the records before [`Self::next`]. It may also be copied from a peer
/// that has applied more records. The stamp never decreases.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationFold {
    stamp: ConfigurationStamp,
    document: Option<Arc<ConfigurationDocument>>,
    next: Offset,
    anchor: Option<LogAnchor>,
    gap: bool,
    kept_at: Option<Offset>,
    outcomes: VecDeque<(SmolStr, PublicationOutcome)>,
}

/// The outcome of a publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublicationOutcome {
    /// It was applied and created this revision.
    Accepted(Revision),
    /// It was not applied and never will be, for this reason.
    Rejected(SmolStr),
    /// The result of the append is unknown, so it may or may not be in the log, for this reason.
    Unknown(SmolStr),
}

/// The last record that was applied, used to detect a log whose history was replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LogAnchor {
    offset: Offset,
    hash: u64,
}

/// The effects of applying a page of records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FoldReport {
    /// The publications that were accepted or rejected, in log order.
    pub outcomes: Vec<(SmolStr, PublicationOutcome)>,
    /// True if the log no longer contains the records applied earlier, as after a restore.
    pub restored: bool,
    /// True if the page had a record that contains the whole document in force.
    pub kept: bool,
}

impl ConfigurationFold {
    /// Returns the name of the stream of configurations.
    ///
    /// # Panics
    ///
    /// Never: the name is valid.
    #[must_use]
    pub fn stream() -> StreamId {
        "configuration".parse().expect("the stream name is valid")
    }

    /// The number of latest publications whose outcome is stored.
    pub const OUTCOME_LIMIT: usize = 64;

    /// Returns the revision in force; zero if none.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.stamp.revision
    }

    /// Returns the revision and digest of the document in force.
    #[must_use]
    pub const fn stamp(&self) -> ConfigurationStamp {
        self.stamp
    }

    /// Returns the document in force; none before the first one is known.
    #[must_use]
    pub const fn document(&self) -> Option<&Arc<ConfigurationDocument>> {
        self.document.as_ref()
    }

    /// Returns the offset to read next.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Returns the offset of the last record applied, or the next offset if there is none.
    #[must_use]
    pub fn anchor(&self) -> Offset {
        self.anchor.map_or(self.next, |anchor| anchor.offset)
    }

    /// Returns whether retention removed records that this VM had not read yet.
    ///
    /// Until a snapshot or a peer's state fills the gap, no other record is applied.
    #[must_use]
    pub const fn has_gap(&self) -> bool {
        self.gap
    }

    /// Returns the offset of the newest record with the whole document in force, if it is known.
    #[must_use]
    pub const fn kept_at(&self) -> Option<Offset> {
        self.kept_at
    }

    /// Returns the outcome of a publication if it is among the latest [`Self::OUTCOME_LIMIT`].
    #[must_use]
    pub fn outcome(&self, publication: &str) -> Option<&PublicationOutcome> {
        let found = self.outcomes.iter().rev().find(|(name, _)| name == publication);
        found.map(|(_, outcome)| outcome)
    }

    /// Returns the state to send to a peer that is behind; none without a document.
    #[must_use]
    pub fn state(&self) -> Option<ConfigurationState> {
        Some(ConfigurationState {
            stamp: self.stamp,
            document: Arc::clone(self.document.as_ref()?),
            next: (!self.gap).then_some(self.next),
            outcomes: self.outcomes.clone(),
        })
    }

    /// Adopts a peer's state if it is ahead or fills the gap; returns whether it was ahead, so that
    /// the document changed.
    pub fn adopt(&mut self, state: &ConfigurationState) -> bool {
        let ahead = state.stamp > self.stamp;
        let closes = self.gap && state.next.is_some() && state.stamp == self.stamp;
        if !(ahead || closes) || check_document(&state.document).is_err() {
            return false;
        }
        if let Some(next) = state.next {
            self.next = next;
            self.anchor = None;
            self.gap = false;
        }
        self.outcomes.clone_from(&state.outcomes);
        self.outcomes.truncate(Self::OUTCOME_LIMIT);
        self.stamp = state.stamp;
        self.document = Some(Arc::clone(&state.document));
        ahead
    }

    /// Records that retention removed all records before an offset.
    ///
    /// If some of them were not read yet, this opens a gap (see [`Self::has_gap`]).
    pub fn trimmed(&mut self, oldest: Offset) {
        if oldest > self.next {
            tracing::warn!(next = %self.next, %oldest, "configuration records were removed before they were read");
            self.gap = true;
            self.next = oldest;
            self.anchor = None;
        }
    }

    /// Applies a page that was read from offset `from` on.
    pub fn fold_page(&mut self, from: Offset, page: &LogPage) -> FoldReport {
        let mut report = FoldReport::default();
        if self.contradicts(from, page) {
            tracing::warn!(next = %self.next, log = %page.next, "log was restored; reading it again from its start");
            self.next = page.oldest;
            self.anchor = None;
            self.gap = self.document.is_none() && page.oldest > Offset(0);
            report.restored = true;
            return report;
        }
        for record in &page.records {
            if record.offset < self.next {
                continue;
            }
            self.trimmed(record.offset);
            if let Some(decided) = self.fold(record, page.oldest, &mut report) {
                report.outcomes.push(decided);
            }
            if self.next <= record.offset {
                return report;
            }
        }
        report
    }

    /// Returns whether a page contradicts the records applied before, as after a log restore.
    fn contradicts(&self, from: Offset, page: &LogPage) -> bool {
        if page.next < self.next && page.next < from {
            return true;
        }
        let Some(anchor) = self.anchor else { return false };
        if from > anchor.offset || page.oldest > anchor.offset {
            return false;
        }
        let found = page.records.iter().find(|record| record.offset == anchor.offset);
        match found {
            Some(record) => hash_record(record) != anchor.hash,
            None => page.next <= anchor.offset,
        }
    }

    fn fold(
        &mut self,
        record: &LogRecord,
        oldest: Offset,
        report: &mut FoldReport,
    ) -> Option<(SmolStr, PublicationOutcome)> {
        self.next = Offset(record.offset.0 + 1);
        self.anchor = Some(LogAnchor { offset: record.offset, hash: hash_record(record) });
        let parsed = match ConfigurationRecord::read(&record.record) {
            RecordReading::Known(parsed) => *parsed,
            RecordReading::Malformed(publication, reason) => {
                return self.record_outcome(
                    publication,
                    PublicationOutcome::Rejected(truncate_reason(&reason)),
                );
            }
            RecordReading::Newer(what) => {
                tracing::warn!(offset = %record.offset, %what, "newer configuration record skipped");
                return None;
            }
            RecordReading::Garbage(error) => {
                tracing::warn!(offset = %record.offset, %error, "configuration record skipped");
                return None;
            }
        };
        if let ConfigurationChange::Snapshot { as_of, document } = parsed.change {
            self.fold_snapshot(record.offset, oldest, parsed.base, as_of, document, report);
            return None;
        }
        if self.gap {
            return None;
        }
        let holds_document = matches!(parsed.change, ConfigurationChange::Document(_));
        let publication = parsed.publication.clone();
        let outcome = match self.apply(parsed) {
            Ok(()) => {
                if holds_document {
                    self.kept_at = Some(record.offset);
                    report.kept = true;
                }
                PublicationOutcome::Accepted(self.stamp.revision)
            }
            Err(reason) => match self.outcome(&publication) {
                Some(decided) => return Some((publication, decided.clone())),
                None => PublicationOutcome::Rejected(truncate_reason(&reason)),
            },
        };
        self.record_outcome(publication, outcome)
    }

    /// Applies a snapshot that is ahead of the local state or fills a gap.
    ///
    /// Its author may not have read the records just before the snapshot, so reading continues at
    /// `as_of` and these records are applied again on top of it.
    fn fold_snapshot(
        &mut self,
        offset: Offset,
        oldest: Offset,
        revision: Revision,
        as_of: Offset,
        document: Box<ConfigurationDocument>,
        report: &mut FoldReport,
    ) {
        let stamp = ConfigurationStamp::of(revision, &document);
        if stamp == self.stamp && !self.gap {
            self.kept_at = Some(offset);
            report.kept = true;
            return;
        }
        let usable = as_of >= oldest && as_of <= offset;
        let ahead = stamp > self.stamp;
        if !usable || !(ahead || self.gap) || check_document(&document).is_err() {
            return;
        }
        if ahead {
            self.stamp = stamp;
            self.document = Some(Arc::from(document));
        }
        if stamp == self.stamp {
            self.kept_at = Some(offset);
            report.kept = true;
        }
        self.gap = false;
        self.next = as_of;
        self.anchor = None;
    }

    fn record_outcome(
        &mut self,
        publication: SmolStr,
        outcome: PublicationOutcome,
    ) -> Option<(SmolStr, PublicationOutcome)> {
        if self.gap {
            return None;
        }
        if self.outcomes.len() >= Self::OUTCOME_LIMIT {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((publication.clone(), outcome.clone()));
        Some((publication, outcome))
    }

    fn apply(&mut self, record: ConfigurationRecord) -> Result<(), SmolStr> {
        let revision = self.stamp.revision;
        if record.base != revision {
            let base = record.base;
            let reason = format!(
                "The change was made against revision {base}, but {revision} is in force; \
                 look at it and publish again."
            );
            return Err(reason.into());
        }
        let document = match (record.change, &self.document) {
            (ConfigurationChange::Document(document), _) => *document,
            (ConfigurationChange::Preset(preset), Some(document)) => {
                ConfigurationDocument { preset, ..(**document).clone() }
            }
            _ => return Err("There is no configuration whose preset could change.".into()),
        };
        check_document(&document).map_err(|error| SmolStr::new(error.to_string()))?;
        self.stamp = ConfigurationStamp::of(Revision(revision.0 + 1), &document);
        self.document = Some(Arc::new(document));
        Ok(())
    }
}

fn hash_record(record: &LogRecord) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&record.record)
}

fn truncate_reason(reason: &str) -> SmolStr {
    const MAX_REASON_CHARS: usize = 300;
    reason.chars().take(MAX_REASON_CHARS).collect()
}
