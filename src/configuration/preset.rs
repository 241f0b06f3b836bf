use super::*;

/// Operating parameters that apply while the preset is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetEntry {
    /// Added to every team's quality target, from -1 to 1; 0 if absent.
    #[serde(default)]
    pub quality_offset: f64,
    /// Factor on every team's limits; 1 if absent.
    #[serde(default = "default_factor")]
    pub limit_factor: f64,
    /// Factor on the slots that long requests may occupy; 1 if absent.
    #[serde(default = "default_factor")]
    pub long_factor: f64,
    /// The maximum number of requests queued in one entry VM.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// The teams whose requests are shed first under overload, in this order.
    #[serde(default)]
    pub shed_first: Vec<TeamId>,
    /// The share of requests that may be hedged.
    #[serde(default = "default_hedge_share")]
    pub hedge_share: Share,
    /// The share of requests that may be retried.
    #[serde(default = "default_retry_share")]
    pub retry_share: Share,
    /// The share of answers that are sampled for rating in the background.
    #[serde(default = "default_rating_share")]
    pub rating_share: Share,
    /// Whether a cheap version's answer may be rated before delivery and, if the rating is low,
    /// replaced by the answer of a better version.
    #[serde(default = "default_cascades")]
    pub cascades: bool,
    /// The longest queue wait of short requests while the queue has stayed non-empty for a while.
    #[serde(default = "default_short_wait")]
    pub short_wait_ms: Millis,
}

const fn default_cascades() -> bool {
    true
}

const fn default_short_wait() -> Millis {
    Millis(250)
}

fn default_rating_share() -> Share {
    Share::new(0.1).unwrap_or_default()
}

const fn default_factor() -> f64 {
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
