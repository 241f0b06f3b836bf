use super::*;

/// What is compared: the same work on the servers of one pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PaceKey {
    /// The version or service.
    pub target: WorkTarget,
    /// The size.
    pub class: SizeClass,
    /// Whether the answer is streamed.
    pub mode: AnswerMode,
}

#[derive(Clone, Copy, Debug)]
struct PaceEstimate {
    median: QuantileEstimate,
    high: QuantileEstimate,
}

/// How long the first byte of an answer usually takes, by kind of work, over all servers.
#[derive(Clone, Debug, Default)]
pub struct PaceBook {
    heads: BTreeMap<PaceKey, PaceEstimate>,
    token_gaps: BTreeMap<WorkTarget, QuantileEstimate>,
}

impl PaceBook {
    const HIGH_QUANTILE: f64 = 0.95;
    const GUESS_FACTOR: f64 = 2.0;
    /// The factor on the high quantile after which an attempt counts as overdue.
    const OVERDUE_FACTOR: f64 = 1.3;
    const LEAST_OVERDUE_MS: f64 = 30.0;

    /// Takes in the time to the first byte and returns its ratio to the usual one.
    pub fn observe_head(&mut self, key: &PaceKey, took: Millis) -> f64 {
        let sample = took.0.max(1) as f64;
        let estimate = self.heads.entry(key.clone()).or_insert_with(|| PaceEstimate {
            median: QuantileEstimate::new(0.5, sample),
            high: QuantileEstimate::new(Self::HIGH_QUANTILE, sample * Self::GUESS_FACTOR),
        });
        let ratio = sample / estimate.median.value();
        estimate.median.observe(sample);
        estimate.high.observe(sample);
        ratio
    }

    /// Takes in the mean time between tokens and returns its ratio to the usual one.
    pub fn observe_gap(&mut self, target: &WorkTarget, gap_ms: f64) -> f64 {
        let estimate = self
            .token_gaps
            .entry(target.clone())
            .or_insert_with(|| QuantileEstimate::new(0.5, gap_ms));
        let ratio = gap_ms / estimate.value();
        estimate.observe(gap_ms);
        ratio
    }

    /// Returns the time after which an attempt without a first byte is overdue.
    #[must_use]
    pub fn overdue_after(&self, key: &PaceKey, expected: Millis) -> Millis {
        const FIRST_SAMPLES: u32 = 20;
        let known = self.heads.get(key).filter(|pace| pace.high.samples() >= FIRST_SAMPLES);
        let high = known.map_or(expected.0 as f64 * 3.0, |pace| {
            pace.high.value().max(pace.median.value() * Self::GUESS_FACTOR)
        });
        Millis((high * Self::OVERDUE_FACTOR).max(Self::LEAST_OVERDUE_MS) as u64)
    }

    /// Returns how many times the usual time an attempt without a first byte has taken.
    #[must_use]
    pub fn overdue_ratio(&self, key: &PaceKey, took: Millis) -> f64 {
        self.heads.get(key).map_or(1.0, |pace| took.0 as f64 / pace.median.value())
    }

    /// Returns the usual time to the first byte, if it is known.
    #[must_use]
    pub fn usual_head(&self, key: &PaceKey) -> Option<Millis> {
        self.heads.get(key).map(|pace| Millis(pace.median.value() as u64))
    }
}
