//! `guavapass check`: checks settings and configurations without starting anything.

use super::*;

/// Describes the command.
pub fn command() -> CommandLine {
    CommandLine::new("check").about("Check settings and configuration files").arg(
        Arg::new("files")
            .value_name("FILE")
            .num_args(1..)
            .required(true)
            .help("Files of JSON with comments; one with a \"vm\" field is read as settings"),
    )
}

/// Checks each file and stops at the first fault.
///
/// # Errors
///
/// Returns the first fault.
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

/// Reads and checks a configuration document.
///
/// # Errors
///
/// Returns the first fault.
pub fn read_configuration(path: &Path) -> Result<ConfigurationDocument, CommandError> {
    let document: ConfigurationDocument = read_document(path)?;
    check_document(&document).map_err(|cause| CommandError::Configuration {
        file: path.display().to_string().into(),
        cause,
    })?;
    Ok(document)
}
