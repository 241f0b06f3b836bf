use super::*;

/// Why a document cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The file cannot be opened.
    #[error("The file {file} cannot be read ({cause}); check its path and permissions.")]
    Unreadable {
        /// The file.
        file: SmolStr,
        /// The cause.
        cause: SmolStr,
    },
    /// The text is not JSON with comments.
    #[error("{file}, line {line}: {cause}; correct the JSON.")]
    Syntax {
        /// The file.
        file: SmolStr,
        /// The line, from 1.
        line: usize,
        /// The cause.
        cause: SmolStr,
    },
    /// A field is unknown, missing or of the wrong form.
    #[error("{file}, line {line}: the field \"{field}\" is wrong: {cause}; correct it.")]
    Field {
        /// The file.
        file: SmolStr,
        /// The line, from 1.
        line: usize,
        /// The path of the field.
        field: SmolStr,
        /// The cause.
        cause: SmolStr,
    },
}
