use super::*;

/// The holders of keys, computed from the records of one stream strictly in order.
///
/// A claim takes a key that nobody holds. If somebody holds it, the claim is void permanently. A
/// release frees the key if it names the holder, and voids its attempt even if the claim is
/// appended later.
#[derive(Clone, Debug, Default)]
pub struct ClaimFold {
    next: Offset,
    latest_stamp: Millis,
    /// Claims of keys generated earlier may be missing, as older records were trimmed or lost.
    covered_from: Option<Millis>,
    trimmed: bool,
    holders: BTreeMap<ClaimKey, ClaimHolder>,
    voided: BTreeMap<(ClaimKey, ClaimName), VoidCause>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VoidCause {
    KeyHeld,
    Released,
}

impl ClaimFold {
    /// Returns a fold that starts at the oldest record on the log, after older ones were trimmed.
    #[must_use]
    pub fn starting_at(oldest: Offset) -> Self {
        Self { next: oldest, trimmed: oldest > Offset(0), ..Self::default() }
    }

    /// Returns a fold that starts again after the stream lost records. Keys generated before
    /// `unix`, the current wall clock time, may have been claimed in the lost records.
    #[must_use]
    pub fn restored(oldest: Offset, unix: Millis) -> Self {
        let covered_from = Some(unix + Millis(KeyWindow::SKEW_MS));
        Self { next: oldest, trimmed: true, covered_from, ..Self::default() }
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Returns the number of keys that are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Applies one record and returns its entries. Returns none if the record was applied before or
    /// cannot be decoded.
    pub fn fold(&mut self, record: &LogRecord) -> Vec<ClaimEntry> {
        if record.offset < self.next {
            return Vec::new();
        }
        self.next = Offset(record.offset.0 + 1);
        let batch: ClaimBatch = match rmp_serde::from_slice(&record.record) {
            Ok(batch) => batch,
            Err(error) => {
                tracing::warn!(offset = %record.offset, %error, "claims record skipped");
                return Vec::new();
            }
        };
        self.advance_time(batch.stamp);
        for entry in &batch.entries {
            self.apply(entry);
        }
        batch.entries
    }

    /// Returns the verdict on an entry from the records so far, or none if the entry must be
    /// appended first.
    #[must_use]
    pub fn verdict(&self, entry: &ClaimEntry) -> Option<ClaimVerdict> {
        let key = entry.key();
        let voided = self.voided.get(&(key, entry.name().clone()));
        if matches!(entry, ClaimEntry::Release { .. }) {
            let released = voided == Some(&VoidCause::Released) || self.has_passed(key);
            return released.then_some(ClaimVerdict::Released);
        }
        match (self.holders.get(&key), voided) {
            (Some(holder), _) if holder.name != *entry.name() => {
                Some(ClaimVerdict::Held(holder.clone()))
            }
            (_, Some(_)) => Some(ClaimVerdict::Void),
            (Some(_), None) if self.covers(key) => Some(ClaimVerdict::Taken),
            (Some(_), None) => Some(ClaimVerdict::Uncovered),
            (None, None) => self.has_passed(key).then_some(ClaimVerdict::Uncovered),
        }
    }

    fn advance_time(&mut self, stamp: Millis) {
        self.latest_stamp = self.latest_stamp.max(stamp);
        if self.trimmed && self.covered_from.is_none() {
            self.covered_from = Some(stamp + Millis(KeyWindow::SKEW_MS));
        }
        while self.holders.first_key_value().is_some_and(|(key, _)| self.has_passed(*key)) {
            self.holders.pop_first();
        }
        while self.voided.first_key_value().is_some_and(|((key, _), _)| self.has_passed(*key)) {
            self.voided.pop_first();
        }
    }

    fn apply(&mut self, entry: &ClaimEntry) {
        let key = entry.key();
        if self.has_passed(key) {
            return;
        }
        let voided = (key, entry.name().clone());
        match entry {
            ClaimEntry::Claim { name, fingerprint, .. } => {
                if self.voided.contains_key(&voided) {
                    return;
                }
                match self.holders.get(&key) {
                    None => {
                        let holder = ClaimHolder { name: name.clone(), fingerprint: *fingerprint };
                        self.holders.insert(key, holder);
                    }
                    Some(holder) if holder.name == *name => {}
                    Some(_) => {
                        self.voided.insert(voided, VoidCause::KeyHeld);
                    }
                }
            }
            ClaimEntry::Release { name, .. } => {
                self.voided.insert(voided, VoidCause::Released);
                if self.holders.get(&key).is_some_and(|holder| holder.name == *name) {
                    self.holders.remove(&key);
                }
            }
        }
    }

    fn has_passed(&self, key: ClaimKey) -> bool {
        KeyWindow::at(self.latest_stamp).has_passed(key)
    }

    fn covers(&self, key: ClaimKey) -> bool {
        self.covered_from.is_none_or(|from| key.time >= from)
    }
}
