//! The parameters of a fake engine.

use super::*;

/// The capacity, speed and initial state of an engine.
#[derive(Clone, Debug)]
pub struct EngineSetup {
    /// The number of requests that run at the same time.
    pub slots: usize,
    /// The number of requests that may wait for a slot; further ones are refused.
    pub queue_limit: usize,
    /// The time to the first token for an empty or fully cached prompt.
    pub first_token: Duration,
    /// The time for each prompt token that is not in the prefix cache.
    pub prompt_token: Duration,
    /// The time between two output tokens.
    pub next_token: Duration,
    /// The maximum number of output tokens of an answer.
    pub output_tokens: u64,
    /// The capacity of the prefix cache, in blocks of 64 bytes.
    pub cache_blocks: usize,
    /// The age of the load that the engine reports.
    pub load_lag: Duration,
    /// How the engine treats orders with a fencing number lower than the highest seen.
    pub fence_rule: FenceRule,
    /// The versions loaded at the start, written `model@version`; if empty, the engine serves any.
    pub versions: Vec<SmolStr>,
    /// The weight store that versions are downloaded from; without one, loading takes no time.
    pub weight_store: Option<SocketAddr>,
}

impl Default for EngineSetup {
    fn default() -> Self {
        Self {
            slots: 8,
            queue_limit: 16,
            first_token: Duration::ZERO,
            prompt_token: Duration::ZERO,
            next_token: Duration::ZERO,
            output_tokens: 8,
            cache_blocks: 4096,
            load_lag: Duration::ZERO,
            fence_rule: FenceRule::Refuses,
            versions: Vec::new(),
            weight_store: None,
        }
    }
}
