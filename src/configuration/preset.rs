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
    /// The share of answers that are rated though nobody waits for the rating.
    #[serde(default = "default_rating_share")]
    pub rating_share: Share,
    /// Whether a cheap version's answer may be rated before the caller gets it, and replaced.
    #[serde(default = "yes")]
    pub cascades: bool,
    /// The longest wait of short work in a queue that has not been empty for a while.
    #[serde(default = "default_short_wait")]
    pub short_wait_ms: Millis,
}

const fn yes() -> bool {
    true
}

const fn default_short_wait() -> Millis {
    Millis(250)
}

fn default_rating_share() -> Share {
    Share::new(0.1).unwrap_or_default()
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
