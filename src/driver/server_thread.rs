use std::{io, thread::JoinHandle};
use xitca_server::{ServerFuture, ServerHandle};

/// The thread that runs an HTTP server, and the handle that stops the server.
pub(super) struct ServerThread {
    pub(super) handle: ServerHandle,
    pub(super) thread: JoinHandle<()>,
}

impl ServerThread {
    /// Runs a server on a new thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the server or the thread cannot be started.
    pub(super) fn start(name: &str, mut server: ServerFuture) -> io::Result<Self> {
        let handle = server.handle()?;
        let thread = std::thread::Builder::new().name(name.into()).spawn(move || {
            if let Err(error) = server.wait() {
                tracing::error!(%error, "HTTP server ended with an error");
            }
        })?;
        Ok(Self { handle, thread })
    }
}
