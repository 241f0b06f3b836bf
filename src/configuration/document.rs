use super::*;

/// The whole configuration that operators publish.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationDocument {
    /// The version of the schema; must be [`Self::SCHEMA`].
    pub schema: u32,
    /// The pools of backend servers by id.
    pub pools: BTreeMap<PoolId, PoolEntry>,
    /// The models by id, each with its versions.
    pub models: BTreeMap<ModelId, ModelEntry>,
    /// The services that aren't models, by id; none if absent.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, ServiceEntry>,
    /// The teams by id, with their keys, permissions and limits.
    pub teams: BTreeMap<TeamId, TeamEntry>,
    /// The presets by name.
    pub presets: BTreeMap<PresetId, PresetEntry>,
    /// The name of the preset in force; must be a key of `presets`.
    pub preset: PresetId,
    /// What a team pays for a request whose outcome was never recorded.
    #[serde(default)]
    pub unsettled_bills: UnsettledRule,
}

impl ConfigurationDocument {
    /// The newest schema version that this program reads.
    pub const SCHEMA: u32 = 1;

    /// Returns the entry of a version, or none if the document does not declare it.
    #[must_use]
    pub fn version(&self, id: &VersionId) -> Option<&VersionEntry> {
        self.models.get(&id.model)?.versions.get(&id.version)
    }

    /// Returns the preset in force.
    ///
    /// # Panics
    ///
    /// Panics if `preset` does not exist, which [`check_document`] rules out.
    #[must_use]
    pub fn preset_in_force(&self) -> &PresetEntry {
        &self.presets[&self.preset]
    }

    /// Returns all versions with their entries, sorted by model and version.
    pub fn versions(&self) -> impl Iterator<Item = (VersionId, &VersionEntry)> {
        self.models.iter().flat_map(|(model, entry)| {
            entry.versions.iter().map(|(version, entry)| {
                (VersionId { model: model.clone(), version: version.clone() }, entry)
            })
        })
    }
}
