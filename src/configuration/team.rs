use super::*;

/// A team, its subscribers and what they may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    /// The hashes of its subscribers' keys.
    pub keys: Vec<AccessKey>,
    /// The models and versions that it may use, written `model` or `model@version`.
    #[serde(default)]
    pub allowed: Vec<SmolStr>,
    /// The services that it may use.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// The share of good answers that it is due.
    pub quality_target: Share,
    /// Its weight in the fair queue.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// How long its callers wait by default.
    pub deadline_ms: Millis,
    /// What it may use at most, over all entry VMs.
    #[serde(default)]
    pub limits: TeamLimits,
}

impl TeamEntry {
    /// Returns whether the team may use a version.
    #[must_use]
    pub fn allows(&self, version: &VersionId) -> bool {
        self.allowed.iter().any(|allowed| match allowed.split_once('@') {
            None => allowed.as_str() == version.model.as_str(),
            Some((model, name)) => {
                model == version.model.as_str() && name == version.version.as_str()
            }
        })
    }
}

const fn default_weight() -> f64 {
    1.0
}

/// The hash of a bearer key, and the subscriber that it names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccessKey {
    /// The subscriber.
    pub subscriber: SubscriberId,
    /// The SHA-256 of the key, in lower-case hexadecimal.
    pub sha256: SmolStr,
}

/// Returns the hash of a bearer key as the configuration holds it.
#[must_use]
pub fn hash_key(key: &str) -> SmolStr {
    use sha2::Digest;
    SmolStr::new(hex::encode(sha2::Sha256::digest(key.as_bytes())))
}

/// What a team may use at most, over all entry VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamLimits {
    /// Requests a second.
    #[serde(default)]
    pub rate: Option<RequestsPerSecond>,
    /// Requests at the same time.
    #[serde(default)]
    pub concurrent: Option<u32>,
    /// Tokens a second, prompt and output together.
    #[serde(default)]
    pub tokens: Option<TokensPerSecond>,
}
