//! `guavapass serve`: runs an entry VM that routes requests to models and services.

use super::*;

/// Returns the definition of the subcommand.
pub fn command() -> CommandLine {
    CommandLine::new("serve").about("Run an entry VM").arg(
        Arg::new("settings")
            .value_name("FILE")
            .required(true)
            .help("The settings of the entry VM, JSON with comments"),
    )
}

/// Runs an entry VM until a signal shuts it down.
///
/// # Errors
///
/// Returns an error if the settings or secrets are invalid or the VM cannot start.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let path = matches.get_one::<String>("settings").map(PathBuf::from).unwrap_or_default();
    let settings = EntrySettings::read(&path)?;
    let file = SmolStr::new(path.display().to_string());
    let (operators, peers) = settings.secrets(&file)?;
    let _writer = logs::start(&settings.log);
    let vm = EntryVm::start(&settings, operators, peers)?;
    tracing::info!(
        vm = %settings.vm,
        callers = %vm.callers,
        operators = %vm.operators,
        peers = %vm.peers,
        "serving"
    );
    let handle = vm.handle().clone();
    signals::watch(signals::HangupAction::Default, move || handle.send(Event::Shutdown))?;
    vm.wait();
    Ok(ExitCode::SUCCESS)
}
