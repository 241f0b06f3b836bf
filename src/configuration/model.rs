use super::*;

/// A model: its versions and the roll-out under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// The versions by name.
    pub versions: BTreeMap<SmolStr, VersionEntry>,
    /// The version that serves the model by default.
    pub stable: SmolStr,
    /// The roll-out under way, if any.
    #[serde(default)]
    pub rollout: Option<RolloutPlan>,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionEntry {
    /// The pool whose servers run it.
    pub pool: PoolId,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: VersionState,
    /// Raised by an operator to bring back a version that its evidence withdrew.
    #[serde(default)]
    pub generation: u32,
    /// The cost of a million prompt tokens.
    pub cost_per_million_prompt_tokens: Cost,
    /// The cost of a million generated tokens.
    pub cost_per_million_output_tokens: Cost,
    /// The share of good answers expected before any rating.
    pub prior_quality: Share,
    /// How many ratings the prior counts for.
    #[serde(default = "default_prior_weight")]
    pub prior_weight: u32,
    /// The time to the first token on an idle server.
    pub first_token_ms: Millis,
    /// The generation rate of one stream.
    pub stream_rate: TokensPerSecond,
    /// The accelerator memory that the version takes on a server.
    #[serde(default)]
    pub memory_bytes: ByteSize,
}

impl VersionEntry {
    /// Returns the cost of so many tokens.
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

/// Whether a version takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// It takes new work.
    #[default]
    Live,
    /// It takes no new work.
    Withdrawn,
}

/// A roll-out from the stable version to a new one, in stages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutPlan {
    /// The new version.
    pub to: SmolStr,
    /// The stages in order.
    pub stages: Vec<RolloutStage>,
    /// The index of the stage in force.
    pub stage: usize,
    /// The most requests that the new version may take before its evidence suffices.
    pub exposure_cap: u64,
}

/// One stage of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStage {
    /// The share of new sessions that get the new version.
    pub share: Share,
    /// The ratings that the stage must collect before the next one.
    pub min_ratings: u64,
}
