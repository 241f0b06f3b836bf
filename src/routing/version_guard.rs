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
/// collapse and one to a moderate fall. A rating enters the baseline only after some hundred later
/// ones, so that a fall is found before it lowers the baseline; what the baseline rests on is
/// allowed for by a standard error.
#[derive(Clone, Debug, Default)]
pub struct VersionGuard {
    collapse: CusumTest,
    fall: CusumTest,
    errors: CusumTest,
    error_servers: BTreeSet<ServerId>,
    baselines: [QualityEstimate; SizeClass::COUNT],
    recent: VecDeque<(SizeClass, EvidenceCounts)>,
    recent_ratings: u64,
    convicted: bool,
}

impl VersionGuard {
    /// The share of the baseline that is left after a collapse.
    const COLLAPSED_SHARE: f64 = 0.58;
    /// How far a moderate fall goes.
    const MODERATE_FALL: f64 = 0.15;
    const COLLAPSE_THRESHOLD: f64 = 14.5;
    const FALL_THRESHOLD: f64 = 19.0;
    const RAISED_SUM: f64 = 2.5;
    const ERRORS_BEFORE: f64 = 0.02;
    const ERRORS_AFTER: f64 = 0.2;
    const ERRORS_THRESHOLD: f64 = 16.0;
    const BASELINE_RANGE: (f64, f64) = (0.3, 0.97);
    /// The later ratings after which a rating enters the baseline.
    const DELAY_RATINGS: u64 = 200;

    /// Returns the baseline of a kind of work, given the prior.
    #[must_use]
    pub fn baseline(&self, now: Millis, class: SizeClass, entry: &VersionEntry) -> f64 {
        let prior = entry.prior_quality.get();
        let prior_weight = f64::from(entry.prior_weight);
        let estimate = &self.baselines[class.index()];
        let mean = estimate.mean(now, prior, prior_weight);
        let weight = estimate.weight(now) + prior_weight;
        let error = (mean * (1.0 - mean) / (weight + Self::DELAY_RATINGS as f64)).sqrt();
        (mean - error).clamp(Self::BASELINE_RANGE.0, Self::BASELINE_RANGE.1)
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
        self.delay(now, class, news);
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

    /// Lets ratings enter the baseline once enough others have followed.
    fn delay(&mut self, now: Millis, class: SizeClass, news: EvidenceCounts) {
        self.recent.push_back((class, news));
        self.recent_ratings += news.ratings();
        while let Some((class, oldest)) = self.recent.front().copied() {
            if self.recent_ratings - oldest.ratings() < Self::DELAY_RATINGS {
                return;
            }
            self.recent.pop_front();
            self.recent_ratings -= oldest.ratings();
            let baseline = &mut self.baselines[class.index()];
            baseline.observe(now, oldest.good as f64, oldest.poor as f64);
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
