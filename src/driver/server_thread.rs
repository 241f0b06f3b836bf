use std::{io, thread::JoinHandle};
use xitca_server::{ServerFuture, ServerHandle};

/// A listener's thread, and what stops it.
pub(super) struct ServerThread {
    pub(super) handle: ServerHandle,
    pub(super) thread: JoinHandle<()>,
}

impl ServerThread {
    /// Waits for a server on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns why the server or the thread cannot be had.
    pub(super) fn start(name: &str, mut server: ServerFuture) -> io::Result<Self> {
        let handle = server.handle()?;
        let thread = std::thread::Builder::new().name(name.into()).spawn(move || {
            if let Err(error) = server.wait() {
                tracing::error!(%error, "listener ended");
            }
        })?;
        Ok(Self { handle, thread })
    }
}
