//! How a stand-in engine is built.

use super::*;

/// The size and speed of an engine.
#[derive(Clone, Debug)]
pub struct EngineSetup {
    /// The requests that run at the same time.
    pub slots: usize,
    /// The requests that may wait.
    pub queue_limit: usize,
    /// The time to the first token without any prompt.
    pub first_token: Duration,
    /// The time for each prompt token that is not in the prefix cache.
    pub prompt_token: Duration,
    /// The time between tokens.
    pub next_token: Duration,
    /// The most tokens that it generates for an answer.
    pub output_tokens: u64,
    /// The blocks of 64 bytes in its prefix cache.
    pub cache_blocks: usize,
    /// How late its load reports are.
    pub load_lag: Duration,
    /// What it does with orders that carry an old fencing number.
    pub fence_rule: FenceRule,
    /// The versions that it has at the start, written `model@version`; none for any.
    pub versions: Vec<SmolStr>,
    /// Where it loads versions from; without one, loading takes no time.
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
