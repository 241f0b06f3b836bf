//! `guavapass check`: validates settings and configuration files without starting an entry VM.

use super::*;

/// Returns the definition of the subcommand.
pub fn command() -> CommandLine {
    CommandLine::new("check").about("Check settings and configuration files").arg(
        Arg::new("files")
            .value_name("FILE")
            .num_args(1..)
            .required(true)
            .help("Files of JSON with comments; one with a \"vm\" field is read as settings"),
    )
}

/// Validates each file in turn.
///
/// # Errors
///
/// Returns the first error found; the files after it are not checked.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    for file in matches.get_many::<String>("files").into_iter().flatten() {
        let path = Path::new(file);
        let any: serde_json::Value = read_document(path)?;
        if any.get("vm").is_some() {
            EntrySettings::read(path)?;
        } else {
            read_configuration(path)?;
        }
        println!("{file}: in order");
    }
    Ok(ExitCode::SUCCESS)
}

/// Reads and validates a configuration document.
///
/// # Errors
///
/// Returns an error if the file cannot be read or parsed, or if the document is invalid.
pub fn read_configuration(path: &Path) -> Result<ConfigurationDocument, CommandError> {
    let document: ConfigurationDocument = read_document(path)?;
    check_document(&document).map_err(|cause| CommandError::Configuration {
        file: path.display().to_string().into(),
        cause,
    })?;
    Ok(document)
}
