use super::*;

/// What a request may run on, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePlan {
    /// The steps; the next one is taken when the answer of the one before is too poor.
    pub steps: Vec<PlanStep>,
    /// Why the first step was chosen.
    pub reason: SmolStr,
    /// The candidates that were not taken.
    pub passed_over: Vec<PassedOver>,
}

/// One step of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanStep {
    /// The version or service.
    pub target: WorkTarget,
    /// The pool whose servers run it.
    pub pool: PoolId,
    /// The least score of an answer that ends the plan here; none for the last step.
    pub accept_score: Option<Share>,
    /// What the step is expected to cost.
    pub expected_cost: Cost,
}
