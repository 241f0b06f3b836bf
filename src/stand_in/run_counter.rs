//! Counters of the work that a fake server ran.

use super::*;

/// Counts started runs by label, and finished, cancelled and refused ones in total. Labels are cut to
/// their first 128 characters.
#[derive(Debug, Default)]
pub struct RunCounter {
    runs: Mutex<BTreeMap<SmolStr, LabelRuns>>,
    finished: AtomicU64,
    cancelled: AtomicU64,
    refused: AtomicU64,
}

/// The number of runs of one label and the start of the first.
#[derive(Clone, Copy, Debug)]
struct LabelRuns {
    count: u64,
    first: Instant,
}

impl RunCounter {
    const MAX_LABEL_CHARS: usize = 128;

    /// Returns how many runs with this label were started.
    #[must_use]
    pub fn runs(&self, label: &str) -> u64 {
        lock(&self.runs).get(&short_label(label)).map_or(0, |runs| runs.count)
    }

    /// Returns when the first run with this label was started, or `None` if there was none.
    #[must_use]
    pub fn first_start(&self, label: &str) -> Option<Instant> {
        lock(&self.runs).get(&short_label(label)).map(|runs| runs.first)
    }

    /// Returns the number of started runs of each label.
    #[must_use]
    pub fn all(&self) -> BTreeMap<SmolStr, u64> {
        lock(&self.runs).iter().map(|(label, runs)| (label.clone(), runs.count)).collect()
    }

    /// Returns how many runs were started, over all labels.
    #[must_use]
    pub fn started(&self) -> u64 {
        lock(&self.runs).values().map(|runs| runs.count).sum()
    }

    /// Returns how many runs were completed.
    #[must_use]
    pub fn finished(&self) -> u64 {
        self.finished.load(Ordering::SeqCst)
    }

    /// Returns how many runs ended early because the caller disconnected or the server crashed.
    #[must_use]
    pub fn cancelled(&self) -> u64 {
        self.cancelled.load(Ordering::SeqCst)
    }

    /// Returns how many requests were refused without a run.
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
