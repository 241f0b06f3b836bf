use super::*;

/// The finding that a version should be withdrawn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WithdrawalProposal {
    /// The version that should be withdrawn.
    pub version: VersionId,
    /// The generation of the version that was tested.
    pub generation: u32,
    /// The reason for the withdrawal, shown to operators.
    pub reason: SmolStr,
}

/// Detects a drop in quality or a rise in errors of one generation of a version.
///
/// Ratings are compared with a baseline: the version's own earlier ratings or, in a roll-out, those
/// of the version it replaces if they are better. Two CUSUM tests run in parallel, one tuned to a
/// collapse of quality and one to a moderate drop. A rating enters the baseline only after a few
/// hundred later ones, so that a drop is detected before it lowers the baseline. The baseline is
/// reduced by one standard error to allow for its own uncertainty.
#[derive(Clone, Debug, Default)]
pub struct VersionMonitor {
    collapse: CusumTest,
    fall: CusumTest,
    errors: CusumTest,
    error_servers: BTreeSet<ServerId>,
    baselines: [QualityEstimate; SizeClass::COUNT],
    recent: VecDeque<(SizeClass, EvidenceCounts)>,
    recent_ratings: u64,
    is_reported: bool,
}

impl VersionMonitor {
    /// The fraction of the baseline to which a collapse reduces the share of good answers.
    const COLLAPSED_SHARE: f64 = 0.58;
    /// The decrease of the share of good answers in a moderate drop.
    const MODERATE_FALL: f64 = 0.15;
    const COLLAPSE_THRESHOLD: f64 = 14.5;
    const FALL_THRESHOLD: f64 = 19.0;
    const RAISED_THRESHOLD: f64 = 2.5;
    const NORMAL_ERROR_RATE: f64 = 0.02;
    const RAISED_ERROR_RATE: f64 = 0.2;
    const ERRORS_THRESHOLD: f64 = 16.0;
    const BASELINE_RANGE: (f64, f64) = (0.3, 0.97);
    /// The number of later ratings after which a rating enters the baseline.
    const BASELINE_DELAY_RATINGS: u64 = 200;

    /// Returns the baseline for a size class, given the version's configured prior.
    #[must_use]
    pub fn baseline(&self, now: Millis, class: SizeClass, entry: &VersionEntry) -> f64 {
        let prior = entry.prior_quality.get();
        let prior_weight = f64::from(entry.prior_weight);
        let estimate = &self.baselines[class.index()];
        let mean = estimate.mean(now, prior, prior_weight);
        let weight = estimate.weight(now) + prior_weight;
        let error = (mean * (1.0 - mean) / (weight + Self::BASELINE_DELAY_RATINGS as f64)).sqrt();
        (mean - error).clamp(Self::BASELINE_RANGE.0, Self::BASELINE_RANGE.1)
    }

    /// Tests ratings against a baseline; returns the reason if the version should be withdrawn,
    /// once per generation.
    pub fn rated(
        &mut self,
        now: Millis,
        class: SizeClass,
        baseline: f64,
        counts: EvidenceCounts,
    ) -> Option<SmolStr> {
        let normal_rate = 1.0 - baseline;
        let collapsed_rate = 1.0 - baseline * Self::COLLAPSED_SHARE;
        let fallen_rate = (normal_rate + Self::MODERATE_FALL).min(0.99);
        let collapse = self.collapse.observe(counts.good, counts.poor, normal_rate, collapsed_rate);
        let fall = self.fall.observe(counts.good, counts.poor, normal_rate, fallen_rate);
        self.enqueue_for_baseline(now, class, counts);
        let is_bad = collapse >= Self::COLLAPSE_THRESHOLD || fall >= Self::FALL_THRESHOLD;
        self.report_once(is_bad, || {
            format!(
                "ratings fell below the baseline of {baseline:.2} (sums {collapse:.1}, {fall:.1})"
            )
        })
    }

    /// Returns whether recent ratings hint at a drop that does not suffice for a withdrawal yet.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.collapse.sum().max(self.fall.sum()) >= Self::RAISED_THRESHOLD
    }

    /// Queues ratings for the baseline, and adds those that enough later ratings have followed.
    fn enqueue_for_baseline(&mut self, now: Millis, class: SizeClass, counts: EvidenceCounts) {
        self.recent.push_back((class, counts));
        self.recent_ratings += counts.ratings();
        while let Some((class, oldest)) = self.recent.front().copied() {
            if self.recent_ratings - oldest.ratings() < Self::BASELINE_DELAY_RATINGS {
                return;
            }
            self.recent.pop_front();
            self.recent_ratings -= oldest.ratings();
            let baseline = &mut self.baselines[class.index()];
            baseline.observe(now, oldest.good as f64, oldest.poor as f64);
        }
    }

    /// Records whether an attempt failed by the version's fault; returns the reason if the version
    /// should be withdrawn, once per generation. Errors of a single server never suffice if the
    /// pool has other servers.
    pub fn ended(&mut self, server: &ServerId, failed: bool, servers: usize) -> Option<SmolStr> {
        let (successes, failures) = if failed { (0, 1) } else { (1, 0) };
        let sum = self.errors.observe(
            successes,
            failures,
            Self::NORMAL_ERROR_RATE,
            Self::RAISED_ERROR_RATE,
        );
        if failed {
            self.error_servers.insert(server.clone());
        } else if sum <= 0.0 {
            self.error_servers.clear();
        }
        let is_widespread = self.error_servers.len() >= servers.clamp(1, 3);
        self.report_once(is_widespread && sum >= Self::ERRORS_THRESHOLD, || {
            format!("errors rose on several backend servers (sum {sum:.1})")
        })
    }

    fn report_once(&mut self, is_bad: bool, reason: impl FnOnce() -> String) -> Option<SmolStr> {
        if !is_bad || self.is_reported {
            return None;
        }
        self.is_reported = true;
        Some(reason().into())
    }
}
