use super::*;

/// A version that a request may run on, with its expected cost, time and quality.
#[derive(Clone, Debug)]
pub(super) struct PlanCandidate<'a> {
    pub(super) id: &'a VersionId,
    pub(super) entry: &'a VersionEntry,
    pub(super) cost: Cost,
    pub(super) run: Millis,
    pub(super) wait: Millis,
    /// The mean and the lower estimate of the share of good first answers.
    pub(super) mean: f64,
    pub(super) lower: f64,
    /// The lower estimate of the share of good answers after a poor answer of another version.
    pub(super) lower_escalated: f64,
}

/// Searches the plans of one or two candidates for the cheapest one that meets the target.
#[derive(Clone, Debug)]
pub(super) struct PlanSearch<'a> {
    pub(super) candidates: Vec<PlanCandidate<'a>>,
    pub(super) target: f64,
    /// The time budget: the time left until the deadline of the request.
    pub(super) budget: Millis,
    /// The queue wait beyond which a candidate in another pool is preferred.
    pub(super) standing_wait: Millis,
    /// The time to allow for a rating, or `None` if cascades may not be used.
    pub(super) rating_time: Option<Millis>,
}

/// A plan of one candidate, or a cascade of two, as indexes into the candidates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PlanChoice {
    pub(super) first: usize,
    pub(super) second: Option<usize>,
    pub(super) meets_target: bool,
    pub(super) lower: f64,
    mean: f64,
    cost: f64,
    meets_deadline: bool,
    is_wait_short: bool,
}

impl PlanSearch<'_> {
    /// Returns the best plan by [`Self::compare`], or `None` without candidates.
    pub(super) fn best(&self) -> Option<PlanChoice> {
        let singles = (0..self.candidates.len()).map(|first| self.single(first));
        let pairs = (0..self.candidates.len()).flat_map(|first| {
            (0..self.candidates.len()).filter_map(move |second| self.cascade(first, second))
        });
        singles.chain(pairs).min_by(Self::compare)
    }

    fn single(&self, first: usize) -> PlanChoice {
        let candidate = &self.candidates[first];
        self.choice(first, None, candidate.cost.0, (candidate.mean, candidate.lower), candidate.run)
    }

    fn cascade(&self, first: usize, second: usize) -> Option<PlanChoice> {
        let rating_time = self.rating_time?;
        let (a, b) = (&self.candidates[first], &self.candidates[second]);
        if a.cost.0 >= b.cost.0 {
            return None;
        }
        let cost = a.cost.0 + (1.0 - a.mean) * b.cost.0;
        let with = |share: f64| share + (1.0 - share) * b.lower_escalated;
        let run = a.run + rating_time + b.wait + b.run;
        Some(self.choice(first, Some(second), cost, (with(a.mean), with(a.lower)), run))
    }

    fn choice(
        &self,
        first: usize,
        second: Option<usize>,
        cost: f64,
        (mean, lower): (f64, f64),
        run: Millis,
    ) -> PlanChoice {
        let wait = self.candidates[first].wait;
        PlanChoice {
            first,
            second,
            meets_target: lower >= self.target,
            cost,
            mean,
            lower,
            meets_deadline: wait + run <= self.budget,
            is_wait_short: wait <= self.standing_wait,
        }
    }

    /// Orders plans, best first: those that finish in time, then those that meet the target, then
    /// those with a short queue wait. Ties go to the cheaper plan, or below the target to the plan
    /// of higher quality.
    fn compare(a: &PlanChoice, b: &PlanChoice) -> std::cmp::Ordering {
        let rank = |choice: &PlanChoice| {
            (!choice.meets_deadline, !choice.meets_target, !choice.is_wait_short)
        };
        rank(a).cmp(&rank(b)).then_with(|| {
            if a.meets_target {
                a.cost.total_cmp(&b.cost)
            } else {
                b.mean.total_cmp(&a.mean).then(a.cost.total_cmp(&b.cost))
            }
        })
    }
}
