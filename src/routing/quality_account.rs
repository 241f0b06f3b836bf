/// How far the plans of a team lie above or below its target, in sum.
///
/// The target is a share over a team's answers. A plan that promises more than the target, such as
/// a cascade, lets others promise a little less, within a bound; the sum of the lower estimates
/// stays at the target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QualityAccount {
    surplus: f64,
}

impl QualityAccount {
    /// How far below the target a single plan may lie.
    pub const MOST_BELOW: f64 = 0.03;
    /// How far above the target a plan may have to lie to make up for earlier ones.
    const MOST_ABOVE: f64 = 0.01;
    /// The requests over which a surplus is used up.
    const HORIZON: f64 = 20.0;
    const MOST_SURPLUS: f64 = 3.0;

    /// Returns the target of the next plan.
    #[must_use]
    pub fn target(&self, target: f64) -> f64 {
        target - (self.surplus / Self::HORIZON).clamp(-Self::MOST_ABOVE, Self::MOST_BELOW)
    }

    /// Enters a plan with its lower estimate.
    pub fn enter(&mut self, lower: f64, target: f64) {
        let surplus = self.surplus + lower - target;
        self.surplus = surplus.clamp(-Self::MOST_SURPLUS, Self::MOST_SURPLUS);
    }
}
