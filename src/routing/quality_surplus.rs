/// The accumulated difference between the expected quality of a team's plans and its target.
///
/// The target is a share over all answers of a team. A plan that is expected to exceed the target,
/// such as a cascade, allows later plans to fall slightly below it, within a bound, so that the
/// average of the lower estimates stays at the target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QualitySurplus {
    surplus: f64,
}

impl QualitySurplus {
    /// How far below the team's target the target of a single plan may be set.
    pub const MAX_BELOW: f64 = 0.03;
    /// How far above the team's target the target of a single plan may be set, to compensate for
    /// earlier plans.
    const MAX_ABOVE: f64 = 0.01;
    /// The number of requests over which a surplus or deficit is spread.
    const HORIZON_REQUESTS: f64 = 20.0;
    const MAX_SURPLUS: f64 = 3.0;

    /// Returns the target of the next plan, given the team's target.
    #[must_use]
    pub fn target(&self, target: f64) -> f64 {
        target - (self.surplus / Self::HORIZON_REQUESTS).clamp(-Self::MAX_ABOVE, Self::MAX_BELOW)
    }

    /// Adds the difference between a plan's lower estimate and the team's target.
    pub fn record(&mut self, lower: f64, target: f64) {
        let surplus = self.surplus + lower - target;
        self.surplus = surplus.clamp(-Self::MAX_SURPLUS, Self::MAX_SURPLUS);
    }
}
