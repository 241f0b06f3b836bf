use super::*;

/// The versions or the service on which a request may run, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePlan {
    /// The steps in order; the next one runs if the answer of the previous one is rated too low.
    pub steps: Vec<PlanStep>,
    /// The reason why this plan was chosen, for the decision log.
    pub reason: SmolStr,
    /// The candidates that are not part of the plan, with the reason for each.
    pub passed_over: Vec<RejectedCandidate>,
}

/// One step of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanStep {
    /// The version or service that runs the request.
    pub target: WorkTarget,
    /// The pool whose servers run the target.
    pub pool: PoolId,
    /// The minimum score at which the answer of this step is accepted; `None` for the last step,
    /// whose answer is always accepted.
    pub accept_score: Option<Share>,
    /// The expected cost of running this step.
    pub expected_cost: Cost,
}
