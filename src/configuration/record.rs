use super::*;

/// A record of the `configuration` stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationRecord {
    /// The number of the record's schema.
    pub schema: u32,
    /// A unique name of the publication; a repeated append has the same one.
    pub publication: SmolStr,
    /// The revision that the change was made against.
    pub base: Revision,
    /// What changes.
    pub change: ConfigurationChange,
}

/// What a record changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigurationChange {
    /// The whole document is replaced.
    Document(Box<ConfigurationDocument>),
    /// Another preset comes into force.
    Preset(PresetId),
}
