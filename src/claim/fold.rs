use super::*;

/// Who holds which key, folded strictly in order from the records of one stream.
///
/// A claim takes a key that nobody holds; if somebody does, the claim is dead for good. A release
/// frees the key if it names the holder, and voids its attempt even if the claim comes later.
#[derive(Clone, Debug, Default)]
pub struct ClaimFold {
    next: Offset,
    horizon: Millis,
    covered_from: Option<Millis>,
    trimmed: bool,
    holders: BTreeMap<ClaimKey, ClaimHolder>,
    spent: BTreeMap<(ClaimKey, ClaimName), SpentCause>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SpentCause {
    Dead,
    Released,
}

impl ClaimFold {
    /// Returns a fold that starts at the oldest record kept, after older ones were trimmed.
    #[must_use]
    pub fn starting_at(oldest: Offset) -> Self {
        Self { next: oldest, trimmed: oldest > Offset(0), ..Self::default() }
    }

    /// Returns a fold that starts again after the stream lost records: keys from before now may
    /// have been claimed in them.
    #[must_use]
    pub fn restored(oldest: Offset, unix: Millis) -> Self {
        let covered_from = Some(unix + Millis(KeyWindow::SKEW_MS));
        Self { next: oldest, trimmed: true, covered_from, ..Self::default() }
    }

    /// Returns the offset to read next.
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

    /// Folds one record and returns its entries; none if it was folded before.
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
        self.advance(batch.stamp);
        for entry in &batch.entries {
            self.apply(entry);
        }
        batch.entries
    }

    /// Returns what the stream so far says about an entry; none if it has to be appended.
    #[must_use]
    pub fn verdict(&self, entry: &ClaimEntry) -> Option<ClaimVerdict> {
        let key = entry.key();
        let spent = self.spent.get(&(key, entry.name().clone()));
        if matches!(entry, ClaimEntry::Release { .. }) {
            let released = spent == Some(&SpentCause::Released) || self.has_passed(key);
            return released.then_some(ClaimVerdict::Released);
        }
        match (self.holders.get(&key), spent) {
            (Some(holder), _) if holder.name != *entry.name() => {
                Some(ClaimVerdict::Held(holder.clone()))
            }
            (_, Some(_)) => Some(ClaimVerdict::Void),
            (Some(_), None) if self.covers(key) => Some(ClaimVerdict::Taken),
            (Some(_), None) => Some(ClaimVerdict::Uncovered),
            (None, None) => self.has_passed(key).then_some(ClaimVerdict::Uncovered),
        }
    }

    fn advance(&mut self, stamp: Millis) {
        self.horizon = self.horizon.max(stamp);
        if self.trimmed && self.covered_from.is_none() {
            self.covered_from = Some(stamp + Millis(KeyWindow::SKEW_MS));
        }
        while self.holders.first_key_value().is_some_and(|(key, _)| self.has_passed(*key)) {
            self.holders.pop_first();
        }
        while self.spent.first_key_value().is_some_and(|((key, _), _)| self.has_passed(*key)) {
            self.spent.pop_first();
        }
    }

    fn apply(&mut self, entry: &ClaimEntry) {
        let key = entry.key();
        if self.has_passed(key) {
            return;
        }
        let spent = (key, entry.name().clone());
        match entry {
            ClaimEntry::Claim { name, fingerprint, .. } => {
                if self.spent.contains_key(&spent) {
                    return;
                }
                match self.holders.get(&key) {
                    None => {
                        let holder = ClaimHolder { name: name.clone(), fingerprint: *fingerprint };
                        self.holders.insert(key, holder);
                    }
                    Some(holder) if holder.name == *name => {}
                    Some(_) => {
                        self.spent.insert(spent, SpentCause::Dead);
                    }
                }
            }
            ClaimEntry::Release { name, .. } => {
                self.spent.insert(spent, SpentCause::Released);
                if self.holders.get(&key).is_some_and(|holder| holder.name == *name) {
                    self.holders.remove(&key);
                }
            }
        }
    }

    fn has_passed(&self, key: ClaimKey) -> bool {
        KeyWindow::at(self.horizon).has_passed(key)
    }

    fn covers(&self, key: ClaimKey) -> bool {
        self.covered_from.is_none_or(|from| key.time >= from)
    }
}
