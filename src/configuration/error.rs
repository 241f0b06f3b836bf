use super::*;

/// Why a configuration is not acceptable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ConfigurationError {
    /// The document is of an unknown schema.
    #[error("The field \"schema\" is {found}; write 1, the only schema this program reads.")]
    Schema {
        /// The number that was read.
        found: u32,
    },
    /// An entry names something that the document does not have.
    #[error(
        "The field \"{field}\" names \"{name}\", which the document does not have; add it or correct the name."
    )]
    Unknown {
        /// The path of the field.
        field: SmolStr,
        /// The name that was not found.
        name: SmolStr,
    },
    /// A number lies outside its range.
    #[error("The field \"{field}\" is {found}; it must be {expected}.")]
    Range {
        /// The path of the field.
        field: SmolStr,
        /// The number that was read.
        found: SmolStr,
        /// What it must be.
        expected: SmolStr,
    },
    /// Two entries have the same key hash.
    #[error(
        "The fields \"{first}\" and \"{second}\" have the same key hash; give each subscriber its own key."
    )]
    SharedKey {
        /// The first path.
        first: SmolStr,
        /// The second path.
        second: SmolStr,
    },
}
