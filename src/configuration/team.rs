use super::*;

/// A team, with its subscribers' keys, its permissions and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    /// The keys of its subscribers, as hashes.
    pub keys: Vec<AccessKey>,
    /// The models and versions that it may use, written `model` or `model@version`.
    #[serde(default)]
    pub allowed: Vec<SmolStr>,
    /// The services that it may use.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// The share of good answers that routing aims for.
    pub quality_target: Share,
    /// Its weight in the fair queue, above 0; 1 if absent.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// The deadline of requests that set none themselves.
    pub deadline_ms: Millis,
    /// Its limits, summed over all entry VMs.
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

/// The hash of a bearer key and the subscriber that it authenticates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccessKey {
    /// The subscriber that the key authenticates.
    pub subscriber: SubscriberId,
    /// The SHA-256 of the key, in lower-case hexadecimal.
    pub sha256: SmolStr,
}

/// Returns the hash of a bearer key as stored in [`AccessKey::sha256`].
#[must_use]
pub fn hash_key(key: &str) -> SmolStr {
    use sha2::Digest;
    SmolStr::new(hex::encode(sha2::Sha256::digest(key.as_bytes())))
}

/// The limits of a team, summed over all entry VMs; an absent limit is not enforced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamLimits {
    /// The maximum rate of requests, per second.
    #[serde(default)]
    pub rate: Option<RequestsPerSecond>,
    /// The maximum number of concurrent requests.
    #[serde(default)]
    pub concurrent: Option<u32>,
    /// The maximum rate of tokens per second, prompt and output together.
    #[serde(default)]
    pub tokens: Option<TokensPerSecond>,
}
