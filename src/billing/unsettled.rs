use super::*;

/// How a bill whose end nobody knows is billed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnsettledRule {
    /// At its estimate.
    #[default]
    Estimate,
    /// Not at all.
    Nothing,
}
