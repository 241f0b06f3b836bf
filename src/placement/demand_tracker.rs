use super::*;

/// The smoothed demand for each version of a pool, in requests that run or wait at the same time.
///
/// It follows an increase within half a minute and a decrease within ten minutes, so that a short
/// drop in demand does not unload a version.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    reports: BTreeMap<VmId, DemandReport>,
    smoothed: BTreeMap<VersionId, f64>,
    advanced_at: Option<Millis>,
}

#[derive(Clone, Debug)]
struct DemandReport {
    at: Millis,
    busy: Vec<VersionBusy>,
}

impl DemandTracker {
    const RISE_TIME_CONSTANT_MS: f64 = 30_000.0;
    const FALL_TIME_CONSTANT_MS: f64 = 600_000.0;
    const REPORT_EXPIRY_MS: u64 = 150_000;

    /// Records the demand at an entry VM, in place of its previous report.
    pub fn report(&mut self, now: Millis, vm: &VmId, busy: Vec<VersionBusy>) {
        self.reports.insert(vm.clone(), DemandReport { at: now, busy });
    }

    /// Updates the smoothed demand for the time since the last call, and drops old reports.
    pub fn advance(&mut self, now: Millis) {
        self.reports.retain(|_, report| now.since(report.at).0 < Self::REPORT_EXPIRY_MS);
        let mut sums: BTreeMap<&VersionId, f64> = BTreeMap::new();
        for entry in self.reports.values().flat_map(|report| &report.busy) {
            *sums.entry(&entry.version).or_default() += f64::from(entry.busy);
        }
        let elapsed = self.advanced_at.map_or(0.0, |at| now.since(at).0 as f64);
        for (version, sum) in &sums {
            let smoothed = self.smoothed.entry((*version).clone()).or_insert(*sum);
            if *sum > *smoothed {
                *smoothed +=
                    (sum - *smoothed) * (1.0 - (-elapsed / Self::RISE_TIME_CONSTANT_MS).exp());
            }
        }
        for (version, smoothed) in &mut self.smoothed {
            let sum = sums.get(version).copied().unwrap_or(0.0);
            if sum < *smoothed {
                *smoothed +=
                    (sum - *smoothed) * (1.0 - (-elapsed / Self::FALL_TIME_CONSTANT_MS).exp());
            }
        }
        self.advanced_at = Some(now);
    }

    /// Returns the smoothed demand for a version; zero if none was ever reported.
    #[must_use]
    pub fn get(&self, version: &VersionId) -> f64 {
        self.smoothed.get(version).copied().unwrap_or(0.0)
    }
}
