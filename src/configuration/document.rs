use super::*;

/// The whole configuration that operators publish.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationDocument {
    /// The number of the schema; 1 is the only one so far.
    pub schema: u32,
    /// The pools of backend servers.
    pub pools: BTreeMap<PoolId, PoolEntry>,
    /// The models and their versions.
    pub models: BTreeMap<ModelId, ModelEntry>,
    /// The plain services.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, ServiceEntry>,
    /// The teams and what they may use.
    pub teams: BTreeMap<TeamId, TeamEntry>,
    /// The presets by name.
    pub presets: BTreeMap<PresetId, PresetEntry>,
    /// The preset in force.
    pub preset: PresetId,
    /// How a bill whose end nobody knows is billed.
    #[serde(default)]
    pub unsettled_bills: UnsettledRule,
}

impl ConfigurationDocument {
    /// The newest schema that this program reads.
    pub const SCHEMA: u32 = 1;

    /// Returns the entry of a version.
    #[must_use]
    pub fn version(&self, id: &VersionId) -> Option<&VersionEntry> {
        self.models.get(&id.model)?.versions.get(&id.version)
    }

    /// Returns the preset in force.
    ///
    /// # Panics
    ///
    /// Panics if the document was not checked.
    #[must_use]
    pub fn preset_in_force(&self) -> &PresetEntry {
        &self.presets[&self.preset]
    }

    /// Returns all versions with their entries, sorted.
    pub fn versions(&self) -> impl Iterator<Item = (VersionId, &VersionEntry)> {
        self.models.iter().flat_map(|(model, entry)| {
            entry.versions.iter().map(|(version, entry)| {
                (VersionId { model: model.clone(), version: version.clone() }, entry)
            })
        })
    }
}
