use super::*;

/// How much a remark about a configuration matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdviceLevel {
    /// It differs from the version in force.
    Difference,
    /// It is accepted, but cannot have the intended effect.
    Warning,
    /// It is not accepted.
    Error,
}

/// A remark about a field of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Advice {
    /// How much it matters.
    pub level: AdviceLevel,
    /// The path of the field, such as `teams.plaza.keys.0`.
    pub field: SmolStr,
    /// What is wrong, as a sentence.
    pub text: SmolStr,
    /// What to do about it, as a sentence; empty for differences.
    pub mend: SmolStr,
}

impl Advice {
    /// Returns a warning.
    #[must_use]
    pub fn warning(field: impl Display, text: impl Display, mend: &str) -> Self {
        Self {
            level: AdviceLevel::Warning,
            field: field.to_string().into(),
            text: text.to_string().into(),
            mend: mend.into(),
        }
    }
}
