use super::*;

/// The key of a session that a caller started with an id of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SessionKey(pub u64);

impl SessionKey {
    /// The longest session id, in characters.
    pub const MAX_ID_CHARS: usize = 128;

    /// Returns the key of a team's session id for a model. Ids of different teams and models do not
    /// collide.
    #[must_use]
    pub fn of(team: &TeamId, model: &str, id: &str) -> Self {
        let text = format!("{team}\0{model}\0{id}");
        Self(xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
    }
}

impl Display for SessionKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
