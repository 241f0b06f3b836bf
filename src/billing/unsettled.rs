use super::*;

/// How to charge a bill whose request has an unknown outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnsettledRule {
    /// Charges the estimated cost.
    #[default]
    Estimate,
    /// Charges nothing.
    Nothing,
}
