//! `guavapass check`: checks settings and configuration files before they are used or sent.

use super::*;

mod checked_file;
mod differences;

pub use {checked_file::CheckedFile, differences::differences};

/// Returns the definition of the subcommand.
pub fn command() -> CommandLine {
    CommandLine::new("check")
        .about("Check settings and configuration files")
        .after_help("Exit codes: 0 in order, 1 warnings or differences that need a look, 2 errors.")
        .arg(Arg::new("files").value_name("FILE").num_args(1..).required(true).help(
            "Files of JSON with comments; one with a \"vm\" field is read as settings, one with \
             \"routes\" as a configuration of routes",
        ))
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("FILE")
                .help("Show what differs from this configuration, the one in force"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(clap::ArgAction::SetTrue)
                .help("Print the remarks as a JSON list"),
        )
}

/// Checks each file in turn, and returns the highest exit code.
///
/// # Errors
///
/// Returns the first error of a file that cannot be read; the files after it are not checked.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let in_force = matches.get_one::<String>("against");
    let in_force: Option<serde_json::Value> =
        in_force.map(|file| read_document(Path::new(file))).transpose()?;
    let mut code = 0;
    let mut remarks = Vec::new();
    let is_json = matches.get_flag("json");
    for file in matches.get_many::<String>("files").into_iter().flatten() {
        let path = Path::new(file);
        let any: serde_json::Value = read_document(path)?;
        if any.get("vm").is_some() {
            EntrySettings::read(path)?;
            if !is_json {
                println!("{file}: in order");
            }
            continue;
        }
        let mut checked = CheckedFile::new(file, std::fs::read_to_string(path)?)?;
        if let Some(in_force) = &in_force {
            checked = checked.against(in_force);
        }
        code = code.max(checked.exit_code());
        if is_json {
            remarks.extend(checked.to_json().as_array().cloned().unwrap_or_default());
        } else if checked.exit_code() < 2 {
            print!("{}", checked.to_text());
        } else {
            eprint!("{}", checked.to_text());
        }
    }
    if is_json {
        println!("{}", serde_json::Value::from(remarks));
    }
    Ok(ExitCode::from(code))
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
