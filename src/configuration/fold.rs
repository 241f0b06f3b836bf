use super::*;

/// The configuration in force, folded from the records of its stream.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationFold {
    revision: Revision,
    document: Option<Arc<ConfigurationDocument>>,
    next: Offset,
}

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublicationOutcome {
    /// It is in force with this revision.
    Accepted(Revision),
    /// It is not, for this reason.
    Rejected(SmolStr),
}

impl ConfigurationFold {
    /// Returns the revision in force; zero if none.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the document in force.
    #[must_use]
    pub const fn document(&self) -> Option<&Arc<ConfigurationDocument>> {
        self.document.as_ref()
    }

    /// Returns the offset to read next.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Moves past records that are no longer kept.
    pub fn skip_to(&mut self, offset: Offset) {
        self.next = self.next.max(offset);
    }

    /// Folds one record and returns its publication and what became of it.
    pub fn fold(&mut self, record: &LogRecord) -> Option<(SmolStr, PublicationOutcome)> {
        if record.offset < self.next {
            return None;
        }
        self.next = Offset(record.offset.0 + 1);
        let parsed: ConfigurationRecord = match serde_json::from_slice(&record.record) {
            Ok(parsed) => parsed,
            Err(error) => {
                tracing::warn!(offset = %record.offset, %error, "configuration record skipped");
                return None;
            }
        };
        let outcome = match self.apply(&parsed) {
            Ok(()) => PublicationOutcome::Accepted(self.revision),
            Err(reason) => PublicationOutcome::Rejected(reason),
        };
        Some((parsed.publication, outcome))
    }

    fn apply(&mut self, record: &ConfigurationRecord) -> Result<(), SmolStr> {
        if record.base != self.revision {
            let (base, now) = (record.base, self.revision);
            let reason =
                format!("The change was made against revision {base}, but {now} is in force.");
            return Err(reason.into());
        }
        let document = match (&record.change, &self.document) {
            (ConfigurationChange::Document(document), _) => (**document).clone(),
            (ConfigurationChange::Preset(preset), Some(document)) => {
                let mut document = (**document).clone();
                document.preset = preset.clone();
                document
            }
            (ConfigurationChange::Preset(_), None) => {
                return Err("There is no configuration whose preset could change.".into());
            }
        };
        check_document(&document).map_err(|error| SmolStr::new(error.to_string()))?;
        self.document = Some(Arc::new(document));
        self.revision = Revision(self.revision.0 + 1);
        Ok(())
    }
}
