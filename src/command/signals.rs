//! The signals that tell a process to end.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What SIGHUP does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HangupRule {
    /// What the system does by default: it ends the process.
    Default,
    /// Nothing; it is logged.
    Ignore,
}

/// Starts a thread that calls `end` at each SIGTERM and SIGINT.
///
/// # Errors
///
/// Returns why the thread cannot be had.
pub fn watch(rule: HangupRule, end: impl Fn() + Send + 'static) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        runtime.block_on(async move {
            let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
            let Ok(mut interrupt) = signal(SignalKind::interrupt()) else { return };
            let mut hangup = match rule {
                HangupRule::Default => None,
                HangupRule::Ignore => signal(SignalKind::hangup()).ok(),
            };
            loop {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                    () = next(&mut hangup) => {
                        tracing::info!("settings are read at the next start");
                        continue;
                    }
                }
                tracing::info!("told to end");
                end();
            }
        });
    })?;
    Ok(())
}

/// Waits for a signal that is watched; for ever if it is not.
async fn next(watched: &mut Option<Signal>) {
    match watched {
        Some(watched) => drop(watched.recv().await),
        None => std::future::pending().await,
    }
}
