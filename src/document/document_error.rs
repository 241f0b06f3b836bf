use super::*;

/// Why a document cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The file cannot be opened or is not valid UTF-8.
    #[error("The file {file} cannot be read ({cause}); check its path and permissions.")]
    Unreadable {
        /// The path of the file.
        file: SmolStr,
        /// The cause.
        cause: SmolStr,
    },
    /// The text is not JSON with comments.
    #[error("{file}, line {line}: {cause}; correct the JSON.")]
    Syntax {
        /// The path of the file.
        file: SmolStr,
        /// The line number, starting at 1.
        line: usize,
        /// The cause.
        cause: SmolStr,
    },
    /// A field is unknown or missing, or its value has the wrong type.
    #[error("{file}, line {line}: the field \"{field}\" is wrong: {cause}; correct it.")]
    Field {
        /// The path of the file.
        file: SmolStr,
        /// The line number, starting at 1.
        line: usize,
        /// The path of the field within the document.
        field: SmolStr,
        /// The cause.
        cause: SmolStr,
    },
}
