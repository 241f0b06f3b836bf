use super::*;

type EvidenceTable = BTreeMap<AnswerEvidence, EvidenceCounts>;

/// The counts of evidence of every entry VM, by origin.
#[derive(Clone, Debug, Default)]
pub struct EvidenceBook {
    own: EvidenceTable,
    changed: BTreeSet<AnswerEvidence>,
    sweep: Option<AnswerEvidence>,
    others: BTreeMap<VmId, (Incarnation, EvidenceTable)>,
    started: BTreeMap<(VersionId, u32), u64>,
    ratings: BTreeMap<(VersionId, u32), u64>,
}

impl EvidenceBook {
    /// Adds to the counts of this VM.
    pub fn add(&mut self, evidence: &AnswerEvidence, counts: EvidenceCounts) {
        let own = self.own.entry(evidence.clone()).or_default();
        own.good += counts.good;
        own.poor += counts.poor;
        own.started += counts.started;
        self.changed.insert(evidence.clone());
        self.sum(evidence, counts);
    }

    fn sum(&mut self, evidence: &AnswerEvidence, counts: EvidenceCounts) {
        let key = (evidence.version.clone(), evidence.generation);
        *self.started.entry(key.clone()).or_default() += counts.started;
        if evidence.source == RatingSource::First {
            *self.ratings.entry(key).or_default() += counts.ratings();
        }
    }

    /// Returns how often a version has been started, over all VMs that have been heard.
    #[must_use]
    pub fn started(&self, version: &VersionId, generation: u32) -> u64 {
        self.started.get(&(version.clone(), generation)).copied().unwrap_or(0)
    }

    /// Returns how many first answers of a version have been rated, over all VMs.
    #[must_use]
    pub fn ratings(&self, version: &VersionId, generation: u32) -> u64 {
        self.ratings.get(&(version.clone(), generation)).copied().unwrap_or(0)
    }

    /// Returns the changed entries, then others in turn so that every entry is repeated some time.
    pub fn digest(&mut self, most: usize) -> EvidenceDigest {
        let mut keys: Vec<AnswerEvidence> = self.changed.iter().take(most).cloned().collect();
        for key in &keys {
            self.changed.remove(key);
        }
        let after = |key: &AnswerEvidence| self.sweep.as_ref().is_none_or(|sweep| key > sweep);
        let room = (most - keys.len()).min(most / 4);
        let swept: Vec<AnswerEvidence> =
            self.own.keys().filter(|key| after(key)).take(room).cloned().collect();
        self.sweep = swept.last().cloned();
        keys.extend(swept);
        let entry = |evidence: AnswerEvidence| {
            let counts = self.own.get(&evidence).copied().unwrap_or_default();
            EvidenceEntry { evidence, counts }
        };
        EvidenceDigest { entries: keys.into_iter().map(entry).collect() }
    }

    /// Takes in another VM's entries and returns what is new in them.
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
        let mut news = Vec::new();
        for entry in &digest.entries {
            let counts = known.1.entry(entry.evidence.clone()).or_default();
            let beyond = entry.counts.beyond(*counts);
            *counts = counts.max(entry.counts);
            if beyond != EvidenceCounts::default() {
                news.push(EvidenceEntry { evidence: entry.evidence.clone(), counts: beyond });
            }
        }
        for entry in &news {
            self.sum(&entry.evidence, entry.counts);
        }
        news
    }
}
