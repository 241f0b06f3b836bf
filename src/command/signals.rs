//! Handling of SIGTERM, SIGINT and SIGHUP.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// How the process reacts to SIGHUP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HangupAction {
    /// The default action of the system: the process is terminated.
    Default,
    /// The signal is logged and otherwise ignored.
    Ignore,
}

/// Starts a thread that calls `shut_down` at each SIGTERM and SIGINT.
///
/// # Errors
///
/// Returns an error if the thread or its runtime cannot be created.
pub fn watch(rule: HangupAction, shut_down: impl Fn() + Send + 'static) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        runtime.block_on(async move {
            let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
            let Ok(mut interrupt) = signal(SignalKind::interrupt()) else { return };
            let mut hangup = match rule {
                HangupAction::Default => None,
                HangupAction::Ignore => signal(SignalKind::hangup()).ok(),
            };
            loop {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                    () = next(&mut hangup) => {
                        tracing::info!("ignoring SIGHUP; settings are only read at startup");
                        continue;
                    }
                }
                tracing::info!("received a termination signal, shutting down");
                shut_down();
            }
        });
    })?;
    Ok(())
}

/// Waits for the next delivery of a signal; never returns if the signal is not handled.
async fn next(watched: &mut Option<Signal>) {
    match watched {
        Some(watched) => drop(watched.recv().await),
        None => std::future::pending().await,
    }
}
