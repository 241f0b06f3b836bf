use super::*;

/// Why a settings file was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read or does not deserialise.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// A value is outside its allowed range.
    #[error("{file}: the field \"{field}\" is {found}; it must be {expected}.")]
    Range {
        /// The path of the settings file.
        file: SmolStr,
        /// The path of the field within the file.
        field: &'static str,
        /// The value of the field.
        found: SmolStr,
        /// The allowed values.
        expected: &'static str,
    },
    /// A secret file cannot be read.
    #[error(
        "{file}: the field \"{field}\" names the secret file {secret}, which cannot be read \
         ({cause}); create it or correct the path."
    )]
    Secret {
        /// The path of the settings file.
        file: SmolStr,
        /// The path of the field within the file.
        field: &'static str,
        /// The path of the secret file.
        secret: SmolStr,
        /// The error of the operating system.
        cause: SmolStr,
    },
    /// A secret is shorter than [`Secret::MIN_BYTES`].
    #[error("{file}: the secret in {secret} is too short; write at least 16 bytes.")]
    ShortSecret {
        /// The path of the settings file.
        file: SmolStr,
        /// The path of the secret file.
        secret: SmolStr,
    },
}
