//! `guavapass status`: shows what an entry VM knows.

use super::{operator_client::OperatorClient, *};

/// Describes the command.
pub fn command() -> CommandLine {
    CommandLine::new("status")
        .about("Show the state of an entry VM and of what it can reach")
        .args(operator_client::operator_args())
        .arg(
            Arg::new("placement")
                .long("placement")
                .action(clap::ArgAction::SetTrue)
                .help("Show what is loaded on which server, and who may order that"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(clap::ArgAction::SetTrue)
                .help("Print the whole state as JSON"),
        )
}

/// Prints the state of an entry VM.
///
/// # Errors
///
/// Returns why there is no answer.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let client = OperatorClient::new(matches)?;
    if matches.get_flag("placement") {
        let pools = client.placement()?;
        if matches.get_flag("json") {
            println!("{}", serde_json::to_string_pretty(&pools).unwrap_or_default());
        } else {
            for pool in &pools {
                println!("{pool}");
            }
        }
        return Ok(ExitCode::SUCCESS);
    }
    let status = client.status()?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&status).unwrap_or_default());
    } else {
        print!("{status}");
    }
    Ok(ExitCode::SUCCESS)
}
