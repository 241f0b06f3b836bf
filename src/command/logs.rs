//! Sets up the process's logs.

use super::*;
use tracing_subscriber::EnvFilter;

/// Starts logging to standard error as the settings say.
pub fn start(settings: &LogSettings) {
    let level = if settings.level.is_empty() { "info" } else { settings.level.as_str() };
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let started = match settings.format {
        LogFormat::Text => logs.with_ansi(false).try_init(),
        LogFormat::Json => logs.json().flatten_event(true).try_init(),
    };
    if started.is_err() {
        tracing::debug!("logging has been started before");
    }
}
