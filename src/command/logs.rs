//! Sets up the process's logs.

use super::*;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// The lines that wait for standard output; further ones are dropped, so that a reader that has
/// stopped never blocks a request.
const WAITING_LINES: usize = 8_192;

/// Starts logging to standard output as the settings say. Lines are written until the guard that
/// is returned is dropped.
pub fn start(settings: &LogSettings) -> WorkerGuard {
    let level = if settings.level.is_empty() { "info" } else { settings.level.as_str() };
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, guard): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer);
    let started = match settings.format {
        LogFormat::Text => logs.with_ansi(false).try_init(),
        LogFormat::Json => logs.json().flatten_event(true).try_init(),
    };
    if started.is_err() {
        tracing::debug!("logging has been started before");
    }
    guard
}
