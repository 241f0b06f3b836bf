//! `guavapass gateway`: runs an entry VM that serves an operator's routes.

use super::*;

/// The environment variable with the path of the settings file, used if no argument gives one.
const SETTINGS_VARIABLE: &str = "GUAVAPASS_SETTINGS";

/// Returns the definition of the subcommand.
pub fn command() -> CommandLine {
    CommandLine::new("gateway").about("Run an entry VM that serves an operator's routes").arg(
        Arg::new("settings")
            .value_name("FILE")
            .help("The settings, JSON with comments; $GUAVAPASS_SETTINGS if not given"),
    )
}

/// Runs an entry VM until a signal shuts it down. The exit code is 1 if the control thread failed.
///
/// # Errors
///
/// Returns an error if the settings are invalid or the VM cannot start.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let named = matches.get_one::<String>("settings").map(PathBuf::from);
    let path = named.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let settings = GatewaySettings::read(&path.unwrap_or_default())?;
    let _writer = logs::start(&settings.log);
    let address = settings.store.address;
    let vm = GatewayVm::start(&settings, move || Arc::new(HttpStore::new(address)))?;
    tracing::info!(
        vm = %settings.vm,
        data_centre = %settings.data_centre,
        callers = %vm.callers,
        status = %vm.status,
        store = %address,
        "serving routes"
    );
    let handle = vm.handle().clone();
    signals::watch(signals::HangupAction::Ignore, move || handle.send(GatewayEvent::Shutdown))?;
    if vm.wait() {
        return Ok(ExitCode::SUCCESS);
    }
    tracing::error!("the control thread has failed; see its message on standard error");
    Ok(ExitCode::FAILURE)
}
