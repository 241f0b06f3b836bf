use super::*;

/// A plain service that guavapass routes to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// The pool whose servers run it.
    pub pool: PoolId,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// Whether the service itself honours the idempotency key.
    #[serde(default)]
    pub deduplicates: bool,
    /// The cost of a call.
    pub cost_per_call: Cost,
    /// The time that a call usually takes.
    pub expected_ms: Millis,
}
