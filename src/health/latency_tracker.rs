use super::*;

/// The kind of work whose latencies are comparable between the servers of one pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LatencyKey {
    /// The version or service that does the work.
    pub target: WorkTarget,
    /// The size class of the request.
    pub class: SizeClass,
    /// Whether the answer is streamed or sent whole.
    pub mode: AnswerMode,
}

#[derive(Clone, Copy, Debug)]
struct LatencyEstimate {
    median: QuantileEstimate,
    high: QuantileEstimate,
}

/// The usual time to first byte by kind of work, and the usual time between tokens by version or
/// service, estimated over all servers.
#[derive(Clone, Debug, Default)]
pub struct LatencyTracker {
    first_byte: BTreeMap<LatencyKey, LatencyEstimate>,
    token_gaps: BTreeMap<WorkTarget, QuantileEstimate>,
}

impl LatencyTracker {
    const HIGH_QUANTILE: f64 = 0.95;
    const HIGH_TO_MEDIAN_FACTOR: f64 = 2.0;
    /// An attempt is overdue after the high quantile times this factor.
    const OVERDUE_FACTOR: f64 = 1.3;
    const MIN_OVERDUE_MS: f64 = 30.0;

    /// Records a time to first byte and returns its ratio to the median before this sample.
    pub fn observe_first_byte(&mut self, key: &LatencyKey, elapsed: Millis) -> f64 {
        let sample = elapsed.0.max(1) as f64;
        let estimate = self.first_byte.entry(key.clone()).or_insert_with(|| LatencyEstimate {
            median: QuantileEstimate::new(0.5, sample),
            high: QuantileEstimate::new(Self::HIGH_QUANTILE, sample * Self::HIGH_TO_MEDIAN_FACTOR),
        });
        let ratio = sample / estimate.median.value();
        estimate.median.observe(sample);
        estimate.high.observe(sample);
        ratio
    }

    /// Records an answer's mean time between tokens and returns its ratio to the median before this
    /// sample.
    pub fn observe_token_gap(&mut self, target: &WorkTarget, gap_ms: f64) -> f64 {
        let estimate = self
            .token_gaps
            .entry(target.clone())
            .or_insert_with(|| QuantileEstimate::new(0.5, gap_ms));
        let ratio = gap_ms / estimate.value();
        estimate.observe(gap_ms);
        ratio
    }

    /// Returns the time after which an attempt without a first byte is overdue. Until there are
    /// enough samples it is derived from the `expected` time.
    #[must_use]
    pub fn overdue_after(&self, key: &LatencyKey, expected: Millis) -> Millis {
        const MIN_SAMPLES: u32 = 20;
        let known = self.first_byte.get(key).filter(|found| found.high.samples() >= MIN_SAMPLES);
        let high = known.map_or(expected.0 as f64 * 3.0, |found| {
            found.high.value().max(found.median.value() * Self::HIGH_TO_MEDIAN_FACTOR)
        });
        Millis((high * Self::OVERDUE_FACTOR).max(Self::MIN_OVERDUE_MS) as u64)
    }

    /// Returns the ratio of the time that an attempt without a first byte has taken to the median
    /// time to first byte, or 1 without samples.
    #[must_use]
    pub fn overdue_ratio(&self, key: &LatencyKey, elapsed: Millis) -> f64 {
        self.first_byte.get(key).map_or(1.0, |found| elapsed.0 as f64 / found.median.value())
    }

    /// Returns the median time to first byte, or `None` without samples.
    #[must_use]
    pub fn median_first_byte(&self, key: &LatencyKey) -> Option<Millis> {
        self.first_byte.get(key).map(|found| Millis(found.median.value() as u64))
    }
}
