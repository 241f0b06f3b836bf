//! Load samples of a fake engine, reported with a delay.

use super::*;

/// Samples of an engine's load, which become visible after a lag.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<(Instant, LoadSample)>,
}

/// The load of an engine at one point in time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadSample {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) kv_free: f64,
}

impl LoadHistory {
    pub(super) fn record(&mut self, now: Instant, sample: LoadSample, lag: Duration) {
        self.samples.push_back((now, sample));
        while self.samples.get(1).is_some_and(|(time, _)| now.duration_since(*time) >= lag) {
            self.samples.pop_front();
        }
    }

    /// Returns the newest sample that is at least as old as the lag; an idle one if there is none.
    pub(super) fn seen(&self, now: Instant, lag: Duration) -> LoadSample {
        let seen = self.samples.iter().rev().find(|(time, _)| now.duration_since(*time) >= lag);
        seen.map_or(LoadSample { kv_free: 1.0, ..LoadSample::default() }, |(_, sample)| *sample)
    }
}
