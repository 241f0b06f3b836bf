use super::*;

/// What crashes of servers may be attributed to: one request, or a part that the prompts of several
/// requests share. Identified by a hash, which is the same at all VMs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CrashSubject(u64);

impl CrashSubject {
    /// Returns the subject of a request.
    #[must_use]
    pub const fn request(fingerprint: RequestFingerprint) -> Self {
        Self(fingerprint.0)
    }

    /// Returns the subject of a prompt part at one model of a pool. An answer of another model says
    /// nothing about this one. All versions of the software share a subject: a version that crashes
    /// on parts which others answer is at fault itself, and its roll-out withdraws it.
    #[must_use]
    pub fn part(id: u64, pool: &PoolId, model: Option<&ModelId>) -> Self {
        let mut hasher = Xxh3::new();
        for name in ["prompt part", pool.as_str(), model.map_or("", ModelId::as_str)] {
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
        }
        hasher.update(&id.to_le_bytes());
        Self(hasher.digest())
    }
}

impl Display for CrashSubject {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for CrashSubject {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        text.parse().map(Self::request)
    }
}
