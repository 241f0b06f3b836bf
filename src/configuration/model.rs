use super::*;

/// A model: its versions and its current rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// The versions by name.
    pub versions: BTreeMap<SmolStr, VersionEntry>,
    /// The name of the version that serves the model outside a rollout.
    pub stable: SmolStr,
    /// The current rollout, if any.
    #[serde(default)]
    pub rollout: Option<RolloutPlan>,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionEntry {
    /// The pool whose servers run it.
    pub pool: PoolId,
    /// Whether it takes new requests.
    #[serde(default)]
    pub state: VersionState,
    /// Raised by an operator to reactivate a version that was withdrawn because of its ratings.
    #[serde(default)]
    pub generation: u32,
    /// The cost of a million prompt tokens.
    pub cost_per_million_prompt_tokens: Cost,
    /// The cost of a million generated tokens.
    pub cost_per_million_output_tokens: Cost,
    /// The share of good answers assumed before any rating (mean of the prior).
    pub prior_quality: Share,
    /// The weight of the prior, as a number of ratings.
    #[serde(default = "default_prior_weight")]
    pub prior_weight: u32,
    /// The time to the first token on an idle server.
    pub first_token_ms: Millis,
    /// The generation rate of one stream, in tokens per second.
    pub stream_rate: TokensPerSecond,
    /// The accelerator memory that the version occupies on a server, in bytes; 0 if absent.
    #[serde(default)]
    pub memory_bytes: ByteSize,
}

impl VersionEntry {
    /// Returns the cost of a request with these numbers of prompt and output tokens.
    #[must_use]
    pub fn cost_of(&self, prompt: Tokens, output: Tokens) -> Cost {
        let prompt = prompt.0 as f64 * self.cost_per_million_prompt_tokens.0;
        let output = output.0 as f64 * self.cost_per_million_output_tokens.0;
        Cost((prompt + output) / 1e6)
    }
}

const fn default_prior_weight() -> u32 {
    20
}

/// Whether a version takes new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// The version takes new requests.
    #[default]
    Live,
    /// The version takes no new requests.
    Withdrawn,
}

/// A staged rollout from the stable version to a new one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutPlan {
    /// The name of the new version.
    pub to: SmolStr,
    /// The stages in order.
    pub stages: Vec<RolloutStage>,
    /// The index of the stage in force.
    pub stage: usize,
    /// The maximum number of requests that the new version may get before it has enough ratings.
    pub exposure_cap: u64,
}

/// One stage of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStage {
    /// The share of new sessions that are assigned to the new version.
    pub share: Share,
    /// The number of ratings to collect in this stage before the next one.
    pub min_ratings: u64,
}
