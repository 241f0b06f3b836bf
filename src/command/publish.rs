//! `guavapass publish` and `guavapass preset`: change the configuration.

use super::{operator_client::OperatorClient, *};

/// Returns the definition of the subcommand `publish`.
pub fn command() -> CommandLine {
    CommandLine::new("publish")
        .about("Publish a configuration and wait until it is accepted or rejected")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .help("The configuration, JSON with comments"),
        )
        .args(change_args())
}

/// Returns the definition of the subcommand `preset`.
pub fn preset_command() -> CommandLine {
    CommandLine::new("preset")
        .about("Put another preset in force and wait until it is accepted or rejected")
        .arg(Arg::new("name").value_name("NAME").required(true).help("The preset"))
        .args(change_args())
}

fn change_args() -> Vec<Arg> {
    let mut args = operator_client::operator_args().to_vec();
    args.extend([
        Arg::new("base")
            .long("base")
            .value_name("REVISION")
            .value_parser(clap::value_parser!(u64))
            .help("The revision that the change was made against; the one in force by default"),
        Arg::new("timeout-ms")
            .long("timeout-ms")
            .value_name("MS")
            .value_parser(clap::value_parser!(u64))
            .default_value("30000")
            .help("How long to wait, also through an outage of the log"),
        Arg::new("wait-everywhere")
            .long("wait-everywhere")
            .action(clap::ArgAction::SetTrue)
            .help("Wait until every live entry VM has the change in force"),
    ]);
    args
}

/// Validates and publishes a configuration document.
///
/// # Errors
///
/// Returns an error if the document is invalid, or if it is rejected, of unknown outcome or not yet
/// in force everywhere.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let file = matches.get_one::<String>("file").map(PathBuf::from).unwrap_or_default();
    let document = read_configuration(&file)?;
    publish_change(matches, ConfigurationChange::Document(Box::new(document)))
}

/// Publishes a change to another preset.
///
/// # Errors
///
/// Returns an error if the name is invalid, or if the change is rejected, of unknown outcome or not
/// yet in force everywhere.
pub fn run_preset(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let name = matches.get_one::<String>("name").map(String::as_str).unwrap_or_default();
    let preset = name.parse().map_err(|error: IdError| CommandError::Name(error))?;
    publish_change(matches, ConfigurationChange::Preset(preset))
}

fn publish_change(
    matches: &ArgMatches,
    change: ConfigurationChange,
) -> Result<ExitCode, CommandError> {
    let client = OperatorClient::new(matches)?;
    let wait = Millis(matches.get_one::<u64>("timeout-ms").copied().unwrap_or_default());
    let clock = Clock::start();
    let request = OperatorRequest::Publish {
        publication: uuid::Uuid::now_v7().to_string().into(),
        base: matches.get_one::<u64>("base").copied().map(Revision),
        change,
        wait,
    };
    let revision = match client.ask(&request, wait)? {
        OperatorAnswer::Published(PublicationOutcome::Accepted(revision)) => revision,
        OperatorAnswer::Published(PublicationOutcome::Rejected(reason)) => {
            return Err(CommandError::Publication(reason.trim_end_matches('.').into()));
        }
        OperatorAnswer::Published(PublicationOutcome::Unknown(reason)) => {
            return Err(CommandError::UnknownOutcome(reason));
        }
        _ => return Err(CommandError::Publication("the answer is of another kind".into())),
    };
    println!("Revision {revision} is accepted.");
    if matches.get_flag("wait-everywhere") {
        wait_everywhere(&client, &clock, revision, wait)?;
        println!("Revision {revision} is in force at every live entry VM.");
    }
    Ok(ExitCode::SUCCESS)
}

fn wait_everywhere(
    client: &OperatorClient,
    clock: &Clock,
    revision: Revision,
    wait: Millis,
) -> Result<(), CommandError> {
    const POLL_MS: u64 = 200;
    loop {
        let status = client.status()?;
        let lagging = status.lagging(revision);
        if lagging.is_empty() {
            return Ok(());
        }
        if clock.now() >= wait {
            let vms = lagging.join(", ").into();
            return Err(CommandError::Lagging { revision, vms });
        }
        std::thread::sleep(Duration::from_millis(POLL_MS));
    }
}
