use super::*;

/// A version that a request may run on, with what is expected of it.
#[derive(Clone, Debug)]
pub(super) struct PlanCandidate<'a> {
    pub(super) id: &'a VersionId,
    pub(super) entry: &'a VersionEntry,
    pub(super) cost: Cost,
    pub(super) run: Millis,
    pub(super) wait: Millis,
    /// The mean and lower estimate of good first answers.
    pub(super) mean: f64,
    pub(super) lower: f64,
    /// The lower estimate of good answers after another version's was poor.
    pub(super) lower_escalated: f64,
}

/// Which of the plans is cheapest at the target.
#[derive(Clone, Debug)]
pub(super) struct PlanSearch<'a> {
    pub(super) candidates: Vec<PlanCandidate<'a>>,
    pub(super) target: f64,
    /// The time that is left.
    pub(super) left: Millis,
    /// The wait beyond which another pool is preferred.
    pub(super) standing_wait: Millis,
    /// The time that a rating takes, or none where no cascade may be used.
    pub(super) rating: Option<Millis>,
}

/// One or two candidates in order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PlanChoice {
    pub(super) first: usize,
    pub(super) second: Option<usize>,
    pub(super) meets: bool,
    pub(super) lower: f64,
    mean: f64,
    cost: f64,
    in_time: bool,
    short_wait: bool,
}

impl PlanSearch<'_> {
    /// Returns the best plan: in time and at the target if there is one, then the cheapest.
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
        let rating = self.rating?;
        let (a, b) = (&self.candidates[first], &self.candidates[second]);
        if a.cost.0 >= b.cost.0 {
            return None;
        }
        let cost = a.cost.0 + (1.0 - a.mean) * b.cost.0;
        let with = |share: f64| share + (1.0 - share) * b.lower_escalated;
        let run = a.run + rating + b.wait + b.run;
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
            meets: lower >= self.target,
            cost,
            mean,
            lower,
            in_time: wait + run <= self.left,
            short_wait: wait <= self.standing_wait,
        }
    }

    /// Orders plans: in time, short wait, at the target; then cheaper, or better below the target.
    fn compare(a: &PlanChoice, b: &PlanChoice) -> std::cmp::Ordering {
        let rank = |choice: &PlanChoice| (!choice.in_time, !choice.meets, !choice.short_wait);
        rank(a).cmp(&rank(b)).then_with(|| {
            if a.meets {
                a.cost.total_cmp(&b.cost)
            } else {
                b.mean.total_cmp(&a.mean).then(a.cost.total_cmp(&b.cost))
            }
        })
    }
}
