/// What it costs callers to delay a request, for the work that it needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bid {
    /// The share of the ranks of the pool's routes that are more urgent; 0 for the most urgent.
    pub more_urgent: f64,
    /// The work that it needs, as a multiple of that of the pool's mean request.
    pub work: f64,
    /// The ratio of its team's share of the recent requests to an equal share; at least 1.
    pub overuse: f64,
}

impl Bid {
    /// Each of rank, work and team changes a bid by this factor at most, so that no rank, size or
    /// team is served less than half as often for it.
    const MAX_FACTOR: f64 = 2.0;

    /// The lowest bid.
    const LOWEST: f64 = 1.0 / (Self::MAX_FACTOR * Self::MAX_FACTOR * Self::MAX_FACTOR);

    /// Returns the lowest bid that is sent where a share of the expected time, from 0 to 1, lies
    /// beyond the objective.
    #[must_use]
    pub fn lowest_sent(shortage: f64) -> f64 {
        Self::LOWEST + (1.0 - Self::LOWEST) * shortage
    }

    /// Returns the bid, from [`Self::LOWEST`] to 1.
    #[must_use]
    pub fn value(&self) -> f64 {
        let lowest = 1.0 / Self::MAX_FACTOR;
        let inverse = |factor: f64| (1.0 / factor.max(1.0)).max(lowest);
        let urgency = 1.0 - (1.0 - lowest) * self.more_urgent.clamp(0.0, 1.0);
        urgency * inverse(self.work) * inverse(self.overuse)
    }
}
