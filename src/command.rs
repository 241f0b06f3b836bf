//! The command line.

use super::*;

/// Parses the arguments and runs the command they name.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = clap::Command::new("guavapass")
        .about("A model-aware router for versions and cascades")
        .version(env!("CARGO_PKG_VERSION"))
        .try_get_matches_from(arguments);
    match matches {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = error.print();
            ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(2))
        }
    }
}
