use super::*;

/// Why a version should be withdrawn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionVerdict {
    /// The version.
    pub version: VersionId,
    /// The generation that the evidence is about.
    pub generation: u32,
    /// What the evidence says.
    pub reason: SmolStr,
}

/// Tests one generation of a version for turning bad: by ratings and by errors.
///
/// Ratings are compared with a baseline, which is the better of the version's own past and, in a
/// roll-out, that of the version it replaces. Two cumulative sums run side by side, one tuned to a
/// collapse and one to a moderate fall. The baseline takes in ratings only when neither sum is
/// raised, so that a fall does not lower it.
#[derive(Clone, Debug, Default)]
pub struct VersionGuard {
    collapse: CusumTest,
    fall: CusumTest,
    errors: CusumTest,
    error_servers: BTreeSet<ServerId>,
    baselines: [QualityEstimate; SizeClass::COUNT],
    pending: [EvidenceCounts; SizeClass::COUNT],
    convicted: bool,
}

impl VersionGuard {
    /// The share of the baseline that is left after a collapse.
    const COLLAPSED_SHARE: f64 = 0.58;
    /// How far a moderate fall goes.
    const MODERATE_FALL: f64 = 0.15;
    const COLLAPSE_THRESHOLD: f64 = 16.0;
    const FALL_THRESHOLD: f64 = 18.5;
    const RAISED_SUM: f64 = 2.5;
    const ERRORS_BEFORE: f64 = 0.02;
    const ERRORS_AFTER: f64 = 0.2;
    const ERRORS_THRESHOLD: f64 = 16.0;
    const BASELINE_RANGE: (f64, f64) = (0.3, 0.97);
    /// The sum up to which ratings count as ordinary.
    const ORDINARY_SUM: f64 = 0.5;

    /// Returns the baseline of a kind of work, given the prior.
    #[must_use]
    pub fn baseline(&self, now: Millis, class: SizeClass, entry: &VersionEntry) -> f64 {
        let prior = entry.prior_quality.get();
        let mean = self.baselines[class.index()].mean(now, prior, f64::from(entry.prior_weight));
        mean.clamp(Self::BASELINE_RANGE.0, Self::BASELINE_RANGE.1)
    }

    /// Takes in ratings against a baseline and returns the reason for a withdrawal, once.
    pub fn rated(
        &mut self,
        now: Millis,
        class: SizeClass,
        baseline: f64,
        news: EvidenceCounts,
    ) -> Option<SmolStr> {
        let before = 1.0 - baseline;
        let collapsed = 1.0 - baseline * Self::COLLAPSED_SHARE;
        let fallen = (before + Self::MODERATE_FALL).min(0.99);
        let collapse = self.collapse.observe(news.good, news.poor, before, collapsed);
        let fall = self.fall.observe(news.good, news.poor, before, fallen);
        self.hold_back(now, class, news, collapse.max(fall));
        let found = collapse >= Self::COLLAPSE_THRESHOLD || fall >= Self::FALL_THRESHOLD;
        self.convict(found, || {
            format!(
                "ratings fell below the baseline of {baseline:.2} (sums {collapse:.1}, {fall:.1})"
            )
        })
    }

    /// Returns whether the ratings are under suspicion.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.collapse.sum().max(self.fall.sum()) >= Self::RAISED_SUM
    }

    /// Keeps ratings apart until the sums say that they were ordinary.
    fn hold_back(&mut self, now: Millis, class: SizeClass, news: EvidenceCounts, sum: f64) {
        let pending = &mut self.pending[class.index()];
        pending.good += news.good;
        pending.poor += news.poor;
        if sum > Self::ORDINARY_SUM {
            return;
        }
        for (baseline, pending) in self.baselines.iter_mut().zip(&mut self.pending) {
            baseline.observe(now, pending.good as f64, pending.poor as f64);
            *pending = EvidenceCounts::default();
        }
    }

    /// Takes in whether an attempt failed by the version's fault, and returns the reason for a
    /// withdrawal, once. A single server's errors never suffice where others run the version.
    pub fn ended(&mut self, server: &ServerId, failed: bool, servers: usize) -> Option<SmolStr> {
        let (successes, failures) = if failed { (0, 1) } else { (1, 0) };
        let sum = self.errors.observe(successes, failures, Self::ERRORS_BEFORE, Self::ERRORS_AFTER);
        if failed {
            self.error_servers.insert(server.clone());
        } else if sum <= 0.0 {
            self.error_servers.clear();
        }
        let is_spread = self.error_servers.len() >= servers.clamp(1, 3);
        self.convict(is_spread && sum >= Self::ERRORS_THRESHOLD, || {
            format!("errors rose on several backend servers (sum {sum:.1})")
        })
    }

    fn convict(&mut self, found: bool, reason: impl FnOnce() -> String) -> Option<SmolStr> {
        if !found || self.convicted {
            return None;
        }
        self.convicted = true;
        Some(reason().into())
    }
}
