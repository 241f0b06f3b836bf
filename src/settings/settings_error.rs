use super::*;

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read as settings.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// A number lies outside its range.
    #[error("{file}: the field \"{field}\" is {found}; it must be {expected}.")]
    Range {
        /// The file.
        file: SmolStr,
        /// The path of the field.
        field: &'static str,
        /// What was read.
        found: SmolStr,
        /// What it must be.
        expected: &'static str,
    },
    /// A secret cannot be read.
    #[error(
        "{file}: the field \"{field}\" names the secret file {secret}, which cannot be read \
         ({cause}); create it or correct the path."
    )]
    Secret {
        /// The file.
        file: SmolStr,
        /// The path of the field.
        field: &'static str,
        /// The secret's file.
        secret: SmolStr,
        /// The cause.
        cause: SmolStr,
    },
    /// A secret is too short.
    #[error("{file}: the secret in {secret} is too short; write at least 16 bytes.")]
    ShortSecret {
        /// The file.
        file: SmolStr,
        /// The secret's file.
        secret: SmolStr,
    },
}
