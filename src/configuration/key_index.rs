use super::*;

/// An index from the hash of a bearer key to its team and subscriber.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    keys: FxHashMap<SmolStr, (TeamId, SubscriberId)>,
}

impl KeyIndex {
    /// Builds the index of all keys in a document.
    #[must_use]
    pub fn of(document: &ConfigurationDocument) -> Self {
        let mut keys = FxHashMap::default();
        for (team, entry) in &document.teams {
            for key in &entry.keys {
                keys.insert(key.sha256.clone(), (team.clone(), key.subscriber.clone()));
            }
        }
        Self { keys }
    }

    /// Returns the team and subscriber of a key, given its hash from [`hash_key`].
    #[must_use]
    pub fn get(&self, hash: &str) -> Option<&(TeamId, SubscriberId)> {
        self.keys.get(hash)
    }
}
