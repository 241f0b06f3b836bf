use super::*;

/// Why a configuration was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ConfigurationError {
    /// The document has a schema version that this program does not read.
    #[error("The field \"schema\" is {found}; write 1, the only schema this program reads.")]
    Schema {
        /// The schema version of the document.
        found: u32,
    },
    /// An entry refers to something that the document does not declare.
    #[error(
        "The field \"{field}\" names \"{name}\", which the document does not have; add it or correct the name."
    )]
    Unknown {
        /// The path of the field, such as `models.large.stable`.
        field: SmolStr,
        /// The name that was not found.
        name: SmolStr,
    },
    /// A value is outside its allowed range.
    #[error("The field \"{field}\" is {found}; it must be {expected}.")]
    Range {
        /// The path of the field.
        field: SmolStr,
        /// The value of the field.
        found: SmolStr,
        /// The allowed values, as the rest of the sentence "it must be".
        expected: SmolStr,
    },
    /// Two keys have the same hash, so the subscriber would be ambiguous.
    #[error(
        "The fields \"{first}\" and \"{second}\" have the same key hash; give each subscriber its own key."
    )]
    SharedKey {
        /// The path of the first key.
        first: SmolStr,
        /// The path of the second key.
        second: SmolStr,
    },
}

impl ConfigurationError {
    /// Returns the path of the field that is wrong.
    #[must_use]
    pub fn field(&self) -> SmolStr {
        match self {
            Self::Schema { .. } => "schema".into(),
            Self::Unknown { field, .. } | Self::Range { field, .. } => field.clone(),
            Self::SharedKey { second, .. } => second.clone(),
        }
    }
}
