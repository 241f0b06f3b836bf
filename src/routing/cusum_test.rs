/// A one-sided CUSUM test that detects a rise of a failure rate.
///
/// Each observation adds its log-likelihood ratio of the raised rate to the normal rate; the sum is
/// never below zero. The caller compares the sum with a threshold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CusumTest {
    sum: f64,
}

impl CusumTest {
    /// Adds a number of successes and failures, given the failure rates before and after the rise
    /// to be detected, and returns the new sum.
    pub fn observe(&mut self, successes: u64, failures: u64, before: f64, after: f64) -> f64 {
        let failure = (after / before).ln();
        let success = ((1.0 - after) / (1.0 - before)).ln();
        self.sum += failures as f64 * failure + successes as f64 * success;
        self.sum = self.sum.max(0.0);
        self.sum
    }

    /// Returns the current sum of log-likelihood ratios.
    #[must_use]
    pub const fn sum(&self) -> f64 {
        self.sum
    }
}
