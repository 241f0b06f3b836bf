/// A cumulative-sum test of whether a share of failures has risen.
///
/// Each observation adds its log-likelihood ratio of "risen" to "as before"; the sum never falls
/// below zero. It reports when the sum passes a threshold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CusumTest {
    sum: f64,
}

impl CusumTest {
    /// Takes in so many successes and failures, given the share of failures before and after the
    /// rise, and returns the sum.
    pub fn observe(&mut self, successes: u64, failures: u64, before: f64, after: f64) -> f64 {
        let failure = (after / before).ln();
        let success = ((1.0 - after) / (1.0 - before)).ln();
        self.sum += failures as f64 * failure + successes as f64 * success;
        self.sum = self.sum.max(0.0);
        self.sum
    }

    /// Returns the sum.
    #[must_use]
    pub const fn sum(&self) -> f64 {
        self.sum
    }
}
