use super::*;

/// How the service behaves while the preset is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetEntry {
    /// Added to every team's quality target.
    #[serde(default)]
    pub quality_offset: f64,
    /// Multiplies every team's limits.
    #[serde(default = "one")]
    pub limit_factor: f64,
    /// Multiplies the slots that long work may take.
    #[serde(default = "one")]
    pub long_factor: f64,
    /// The requests that may wait in one entry VM.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Teams that are shed first, in order.
    #[serde(default)]
    pub shed_first: Vec<TeamId>,
    /// The share of requests that may be hedged.
    #[serde(default = "default_hedge_share")]
    pub hedge_share: Share,
    /// The share of requests that may be retried.
    #[serde(default = "default_retry_share")]
    pub retry_share: Share,
}

const fn one() -> f64 {
    1.0
}

const fn default_queue_limit() -> u32 {
    10_000
}

fn default_hedge_share() -> Share {
    Share::new(0.05).unwrap_or_default()
}

fn default_retry_share() -> Share {
    Share::new(0.1).unwrap_or_default()
}
