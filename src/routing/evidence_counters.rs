use super::*;

type EvidenceTable = BTreeMap<AnswerEvidence, EvidenceCounts>;

/// The rating and attempt counters of this entry VM and of every other one, by origin.
#[derive(Clone, Debug, Default)]
pub struct EvidenceCounters {
    own: EvidenceTable,
    changed: BTreeSet<AnswerEvidence>,
    last_repeated: Option<AnswerEvidence>,
    others: BTreeMap<VmId, (Incarnation, EvidenceTable)>,
    started: BTreeMap<(VersionId, u32), u64>,
    ratings: BTreeMap<(VersionId, u32), u64>,
}

impl EvidenceCounters {
    /// Adds to the counters of this VM.
    pub fn add(&mut self, evidence: &AnswerEvidence, counts: EvidenceCounts) {
        let own = self.own.entry(evidence.clone()).or_default();
        own.good += counts.good;
        own.poor += counts.poor;
        own.started += counts.started;
        self.changed.insert(evidence.clone());
        self.add_to_totals(evidence, counts);
    }

    fn add_to_totals(&mut self, evidence: &AnswerEvidence, counts: EvidenceCounts) {
        let key = (evidence.version.clone(), evidence.generation);
        *self.started.entry(key.clone()).or_default() += counts.started;
        if evidence.source == RatingSource::First {
            *self.ratings.entry(key).or_default() += counts.ratings();
        }
    }

    /// Returns the number of attempts started on a version, in total over all VMs that have
    /// reported.
    #[must_use]
    pub fn started(&self, version: &VersionId, generation: u32) -> u64 {
        self.started.get(&(version.clone(), generation)).copied().unwrap_or(0)
    }

    /// Returns the number of rated first answers of a version, in total over all VMs that have
    /// reported.
    #[must_use]
    pub fn ratings(&self, version: &VersionId, generation: u32) -> u64 {
        self.ratings.get(&(version.clone(), generation)).copied().unwrap_or(0)
    }

    /// Returns at most `max_entries` entries to send: the changed ones, then all others in
    /// rotation, so that every entry is eventually repeated.
    pub fn digest(&mut self, max_entries: usize) -> EvidenceDigest {
        let mut keys: Vec<AnswerEvidence> =
            self.changed.iter().take(max_entries).cloned().collect();
        for key in &keys {
            self.changed.remove(key);
        }
        let after = |key: &AnswerEvidence| {
            self.last_repeated.as_ref().is_none_or(|last_repeated| key > last_repeated)
        };
        let room = (max_entries - keys.len()).min(max_entries / 4);
        let repeated: Vec<AnswerEvidence> =
            self.own.keys().filter(|key| after(key)).take(room).cloned().collect();
        self.last_repeated = repeated.last().cloned();
        keys.extend(repeated);
        let entry = |evidence: AnswerEvidence| {
            let counts = self.own.get(&evidence).copied().unwrap_or_default();
            EvidenceEntry { evidence, counts }
        };
        EvidenceDigest { entries: keys.into_iter().map(entry).collect() }
    }

    /// Merges another VM's entries and returns the increments over what was known. Entries of an
    /// earlier incarnation are ignored; those of a later one replace the known totals.
    pub fn merge(&mut self, origin: &PeerName, digest: &EvidenceDigest) -> Vec<EvidenceEntry> {
        let known = self
            .others
            .entry(origin.vm.clone())
            .or_insert_with(|| (origin.incarnation, EvidenceTable::new()));
        if known.0 > origin.incarnation {
            return Vec::new();
        }
        if known.0 < origin.incarnation {
            *known = (origin.incarnation, EvidenceTable::new());
        }
        let mut increments = Vec::new();
        for entry in &digest.entries {
            let counts = known.1.entry(entry.evidence.clone()).or_default();
            let increment = entry.counts.increase_over(*counts);
            *counts = counts.max(entry.counts);
            if increment != EvidenceCounts::default() {
                increments
                    .push(EvidenceEntry { evidence: entry.evidence.clone(), counts: increment });
            }
        }
        for entry in &increments {
            self.add_to_totals(&entry.evidence, entry.counts);
        }
        increments
    }
}
