//! `guavapass status`: shows the state of an entry VM, its peers and the backend servers.

use super::{operator_client::OperatorClient, *};

/// Returns the definition of the subcommand.
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

/// Prints the status of an entry VM, or the placement in each pool.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or the VM gives no answer.
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
