//! Sets up the logging of the process.

use super::*;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// The number of log lines buffered for standard output. Further lines are dropped, so that a stalled
/// reader never blocks a request.
const BUFFERED_LINES: usize = 8_192;

/// Starts logging to standard output with the level and format of the settings; an empty or invalid
/// level means `info`. Dropping the returned guard flushes the buffered lines and ends the output.
pub fn start(settings: &LogSettings) -> WorkerGuard {
    let level = if settings.level.is_empty() { "info" } else { settings.level.as_str() };
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, guard): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer);
    let started = match settings.format {
        LogFormat::Text => logs.with_ansi(false).try_init(),
        LogFormat::Json => logs.json().flatten_event(true).try_init(),
    };
    if started.is_err() {
        tracing::debug!("logging is already initialised; keeping the existing subscriber");
    }
    guard
}
