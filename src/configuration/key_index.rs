use super::*;

/// Finds the team and subscriber of a bearer key by its hash.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    keys: FxHashMap<SmolStr, (TeamId, SubscriberId)>,
}

impl KeyIndex {
    /// Returns the index of a document.
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

    /// Returns the team and subscriber of a key's hash.
    #[must_use]
    pub fn get(&self, hash: &str) -> Option<&(TeamId, SubscriberId)> {
        self.keys.get(hash)
    }
}
