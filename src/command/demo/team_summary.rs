use super::*;
use hdrhistogram::Histogram;

/// Request counts, cost and latencies of one team.
#[derive(Clone, Debug)]
pub(super) struct TeamSummary {
    pub(super) requests: u64,
    pub(super) answered: u64,
    pub(super) refused: u64,
    pub(super) failed: u64,
    pub(super) cost: Cost,
    first_token: Histogram<u64>,
    whole: Histogram<u64>,
}

impl TeamSummary {
    const HIGHEST_US: u64 = 600_000_000;
    const DIGITS: u8 = 3;

    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, Self::HIGHEST_US, Self::DIGITS)
                .expect("the bounds of the histogram are valid")
        };
        Self {
            requests: 0,
            answered: 0,
            refused: 0,
            failed: 0,
            cost: Cost(0.0),
            first_token: histogram(),
            whole: histogram(),
        }
    }

    /// Returns the totals of every team that sent a call.
    pub(super) fn all(
        environment: &DemoEnvironment,
        results: &[DemoResult],
    ) -> BTreeMap<TeamId, Self> {
        let mut summaries: BTreeMap<TeamId, Self> = BTreeMap::new();
        for result in results {
            let summary = summaries.entry(result.call.team.clone()).or_insert_with(Self::new);
            summary.add(result);
        }
        for result in DemoResult::billable(results) {
            if let Some(summary) = summaries.get_mut(&result.call.team) {
                summary.cost += environment.due(result);
            }
        }
        summaries
    }

    fn add(&mut self, result: &DemoResult) {
        self.requests += 1;
        if result.is_answered() {
            self.answered += 1;
            let outcome = &result.outcome;
            self.first_token.saturating_record(outcome.first_byte.as_micros() as u64);
            self.whole.saturating_record(outcome.whole.as_micros() as u64);
        } else if result.is_not_run() {
            self.refused += 1;
        } else {
            self.failed += 1;
        }
    }

    /// Returns a quantile of the time to the first token, in milliseconds.
    pub(super) fn first_token_ms(&self, quantile: f64) -> f64 {
        self.first_token.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns a quantile of the time to the whole answer, in milliseconds.
    pub(super) fn whole_ms(&self, quantile: f64) -> f64 {
        self.whole.value_at_quantile(quantile) as f64 / 1e3
    }
}
