//! Deserialises JSON with comments into typed documents.
//!
//! `jsonc-parser` parses the text because it keeps the position of each value, and
//! `serde_path_to_error` reports the path of the field that does not deserialise. Together they
//! give errors with file, line and field.

use super::*;

mod document_error;
mod position;

pub use document_error::DocumentError;

/// Deserialises a document from text; `file` is used in error messages only.
///
/// # Errors
///
/// Returns an error that names the file, the line and the field.
pub fn parse_document<T: serde::de::DeserializeOwned>(
    file: &str,
    text: &str,
) -> Result<T, DocumentError> {
    let options = strict_options();
    let value: serde_json::Value =
        jsonc_parser::parse_to_serde_value(text, &options).map_err(|error| {
            DocumentError::Syntax {
                file: file.into(),
                line: error.line_display(),
                cause: error.kind().to_string().into(),
            }
        })?;
    serde_path_to_error::deserialize(value).map_err(|error| {
        let field = error.path().to_string();
        DocumentError::Field {
            file: file.into(),
            line: position::line_of(text, &options, error.path()),
            field: field.into(),
            cause: error.into_inner().to_string().into(),
        }
    })
}

/// Reads and deserialises a document from a file.
///
/// # Errors
///
/// Returns an error that names the file and, if the file can be read, the line and the field.
pub fn read_document<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, DocumentError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| DocumentError::Unreadable {
        file: file.as_str().into(),
        cause: error.to_string().into(),
    })?;
    parse_document(&file, &text)
}

/// Returns the line, starting at 1, of the field with a path such as `teams.plaza.keys.0`, or of the
/// nearest field around it.
#[must_use]
pub fn line_of_field(text: &str, field: &str) -> usize {
    position::line_of_field(text, &strict_options(), field)
}

fn strict_options() -> jsonc_parser::ParseOptions {
    jsonc_parser::ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}
