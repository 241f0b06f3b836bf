use super::*;

/// A service that is not a model, such as a booking system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// The pool whose servers run it.
    pub pool: PoolId,
    /// Whether a call may be executed more than once, so that it can be retried.
    pub repeatable: bool,
    /// Whether the service itself deduplicates calls by idempotency key; false if absent.
    #[serde(default)]
    pub deduplicates: bool,
    /// The cost that a team is charged per call.
    pub cost_per_call: Cost,
    /// The usual duration of a call.
    pub expected_ms: Millis,
}
