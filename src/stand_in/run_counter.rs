//! Counts of what a stand-in ran.

use super::*;

/// Counts runs by a label, and how they ended.
#[derive(Debug, Default)]
pub struct RunCounter {
    runs: Mutex<BTreeMap<SmolStr, LabelRuns>>,
    finished: AtomicU64,
    cancelled: AtomicU64,
    refused: AtomicU64,
}

/// The runs of one label.
#[derive(Clone, Copy, Debug)]
struct LabelRuns {
    count: u64,
    first: Instant,
}

impl RunCounter {
    const MAX_LABEL_CHARS: usize = 128;

    /// Returns how often work with this label was started.
    #[must_use]
    pub fn runs(&self, label: &str) -> u64 {
        lock(&self.runs).get(&short_label(label)).map_or(0, |runs| runs.count)
    }

    /// Returns when work with this label was first started.
    #[must_use]
    pub fn first_start(&self, label: &str) -> Option<Instant> {
        lock(&self.runs).get(&short_label(label)).map(|runs| runs.first)
    }

    /// Returns all labels with their runs.
    #[must_use]
    pub fn all(&self) -> BTreeMap<SmolStr, u64> {
        lock(&self.runs).iter().map(|(label, runs)| (label.clone(), runs.count)).collect()
    }

    /// Returns how much work was started.
    #[must_use]
    pub fn started(&self) -> u64 {
        lock(&self.runs).values().map(|runs| runs.count).sum()
    }

    /// Returns how much work was done to its end.
    #[must_use]
    pub fn finished(&self) -> u64 {
        self.finished.load(Ordering::SeqCst)
    }

    /// Returns how much work ended early because its caller went away.
    #[must_use]
    pub fn cancelled(&self) -> u64 {
        self.cancelled.load(Ordering::SeqCst)
    }

    /// Returns how many requests were refused before they ran.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::SeqCst)
    }

    pub(super) fn start(&self, label: &str) {
        let first = LabelRuns { count: 0, first: Instant::now() };
        lock(&self.runs).entry(short_label(label)).or_insert(first).count += 1;
    }

    pub(super) fn finish(&self) {
        self.finished.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) fn cancel(&self) {
        self.cancelled.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) fn refuse(&self) {
        self.refused.fetch_add(1, Ordering::SeqCst);
    }
}

fn short_label(label: &str) -> SmolStr {
    label.chars().take(RunCounter::MAX_LABEL_CHARS).collect()
}
