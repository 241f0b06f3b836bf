use super::*;
use std::{
    io,
    net::TcpListener,
    sync::{OnceLock, Weak},
};
use tokio::io::Interest;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// A listener that detects when a caller closes its connection.
///
/// xitca-web reads from a connection again only after it has answered, so it does not detect a
/// caller that disconnects while its request waits. Each accepted socket is therefore duplicated,
/// and a task watches the second descriptor. A caller that closes only its sending side counts as
/// disconnected.
pub struct CallerListener {
    /// The bound socket.
    pub listener: TcpListener,
    /// The table in which accepted connections are registered.
    pub connections: Arc<ConnectionTable>,
}

/// A [`CallerListener`] that is registered with the Tokio runtime of xitca-web.
pub struct WatchedListener {
    listener: tokio::net::TcpListener,
    connections: Arc<ConnectionTable>,
}

impl IntoListener for CallerListener {
    type Listener = WatchedListener;

    fn into_listener(self) -> io::Result<WatchedListener> {
        self.listener.set_nonblocking(true)?;
        bound_unread(&self.listener);
        let listener = tokio::net::TcpListener::from_std(self.listener)?;
        Ok(WatchedListener { listener, connections: self.connections })
    }
}

/// Bounds what the system holds of an answer that a caller doesn't read, and for how long. Accepted
/// sockets inherit both bounds.
fn bound_unread(listener: &TcpListener) {
    /// The system grows send buffers to megabytes, beyond the memory that this process counts.
    const SEND_BUFFER_BYTES: usize = 64 * 1_024;
    /// The time for which a caller may acknowledge nothing that was sent. It exceeds the deadlines
    /// of requests.
    const UNREAD_LIMIT: Duration = Duration::from_secs(30);
    let socket = socket2::SockRef::from(listener);
    let set = socket
        .set_send_buffer_size(SEND_BUFFER_BYTES)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNREAD_LIMIT)));
    if let Err(error) = set {
        tracing::debug!(%error, "cannot bound what callers leave unread");
    }
}

impl Listen for WatchedListener {
    async fn accept(&self) -> io::Result<Stream> {
        let (stream, address) = self.listener.accept().await?;
        let stream = stream.into_std()?;
        let watched = tokio::net::TcpStream::from_std(stream.try_clone()?)?;
        let watched = Arc::new(watched);
        let connection = self.connections.insert(address, &watched);
        tokio::spawn(watch(watched, connection));
        Ok(Stream::Tcp(stream, address))
    }
}

/// Waits until the caller closes the connection, or it has been idle for longer than xitca-web
/// keeps idle connections open.
async fn watch(stream: Arc<tokio::net::TcpStream>, connection: Arc<CallerConnection>) {
    loop {
        let ready = tokio::time::timeout(IDLE_LIMIT, stream.ready(Interest::READABLE));
        let ready = tokio::select! {
            ready = ready => ready,
            () = connection.close_requested.notified() => {
                // xitca-web reads the end of input, sends the pending response and closes the
                // connection.
                let _ = socket2::SockRef::from(&*stream).shutdown(std::net::Shutdown::Read);
                connection.end_watch();
                return;
            }
            () = connection.discard_requested.notified() => {
                let _ = tokio::time::timeout(DISCARD_LIMIT, discard(&stream)).await;
                break;
            }
            () = connection.abort_requested.notified() => {
                // xitca-web drops only its own descriptor of the socket.
                let _ = socket2::SockRef::from(&*stream).shutdown(std::net::Shutdown::Both);
                break;
            }
        };
        match ready {
            Ok(Ok(ready)) if !ready.is_read_closed() => {
                connection.record_input();
                let _ = stream.try_io(Interest::READABLE, || {
                    Err::<(), _>(io::Error::from(io::ErrorKind::WouldBlock))
                });
            }
            Err(_) if connection.is_busy() => {}
            _ => break,
        }
    }
    connection.close();
    connection.end_watch();
}

/// Reads and discards what the caller still sends. A caller that writes all of its request before
/// it reads the answer would wait for this side, and lose the answer if the connection was reset.
async fn discard(stream: &tokio::net::TcpStream) {
    const BUFFER_BYTES: usize = 16 * 1_024;
    let mut buffer = vec![0; BUFFER_BYTES];
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// The time for a caller to send the rest of a request that has been answered.
const DISCARD_LIMIT: Duration = Duration::from_secs(2);

/// Longer than the keep-alive timeout of xitca-web (60 s).
const IDLE_LIMIT: Duration = Duration::from_secs(90);

/// The connections of callers by remote address. Closed connections stay for a short time, as a
/// request that was read before the close may still be looked up.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    connections: Mutex<FxHashMap<SocketAddr, Arc<CallerConnection>>>,
}

impl ConnectionTable {
    fn insert(
        &self,
        address: SocketAddr,
        socket: &Arc<tokio::net::TcpStream>,
    ) -> Arc<CallerConnection> {
        let socket = Arc::downgrade(socket);
        let connection = Arc::new(CallerConnection { socket, ..CallerConnection::default() });
        if let Ok(mut connections) = self.connections.lock() {
            if connections.len() == connections.capacity() {
                connections.retain(|_, connection| !connection.is_expired());
            }
            connections.insert(address, Arc::clone(&connection));
        }
        connection
    }

    /// Closes each connection after its current response has been sent.
    pub fn close_after_response(&self) {
        let Ok(connections) = self.connections.lock() else { return };
        let open = connections.values().filter(|connection| connection.is_watched());
        open.for_each(|connection| connection.close_requested.notify_one());
    }

    /// Closes the connections without an open request, and without a part of the next one.
    pub fn close_idle(&self) {
        let Ok(connections) = self.connections.lock() else { return };
        let open = connections.values().filter(|connection| connection.is_watched());
        let idle = open.filter(|connection| connection.is_idle());
        idle.for_each(|connection| connection.close_requested.notify_one());
    }

    /// Returns whether a request is being read or answered on any connection.
    #[must_use]
    pub fn is_any_active(&self) -> bool {
        let Ok(connections) = self.connections.lock() else { return false };
        connections.values().any(|connection| connection.is_watched() && !connection.is_idle())
    }

    /// Returns the connection of a caller by its remote address.
    #[must_use]
    pub fn get(&self, address: &SocketAddr) -> Option<Arc<CallerConnection>> {
        self.connections.lock().ok()?.get(address).cloned()
    }
}

/// A request that is being read or answered, and the connection that it came on.
#[derive(Debug)]
pub struct OpenRequest {
    connection: Arc<CallerConnection>,
}

impl OpenRequest {
    /// Returns the connection of the request.
    #[must_use]
    pub fn connection(&self) -> Arc<CallerConnection> {
        Arc::clone(&self.connection)
    }
}

impl std::ops::Deref for OpenRequest {
    type Target = CallerConnection;

    fn deref(&self) -> &CallerConnection {
        &self.connection
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.connection.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The state of one connection of a caller.
#[derive(Debug, Default)]
pub struct CallerConnection {
    closed: AtomicBool,
    notify: tokio::sync::Notify,
    close_requested: tokio::sync::Notify,
    abort_requested: tokio::sync::Notify,
    discard_requested: tokio::sync::Notify,
    busy: AtomicU64,
    last_input: Mutex<Option<Instant>>,
    /// The watched duplicate of the socket, as long as it is open.
    socket: Weak<tokio::net::TcpStream>,
    /// The time at which either side closed the connection; unset while it is open.
    watch_ended: OnceLock<Instant>,
}

impl CallerConnection {
    /// The time for which a closed connection stays in the table. It exceeds the time between
    /// reading a request and looking up its connection.
    const RETENTION: Duration = Duration::from_secs(10);
    /// The time without input after which a part of a head, if there is one, is given up in a
    /// shutdown.
    const HEAD_PAUSE: Duration = Duration::from_secs(1);

    fn end_watch(&self) {
        let _ = self.watch_ended.set(Instant::now());
    }

    fn is_watched(&self) -> bool {
        self.watch_ended.get().is_none()
    }

    fn is_expired(&self) -> bool {
        self.watch_ended.get().is_some_and(|at| at.elapsed() >= Self::RETENTION)
    }

    fn close(&self) {
        self.closed.store(true, Ordering::Release);
        self.notify.notify_waiters();
    }

    fn record_input(&self) {
        if let Ok(mut last_input) = self.last_input.lock() {
            *last_input = Some(Instant::now());
        }
    }

    /// Returns whether no request is being read or answered. Bytes that have just arrived may be a
    /// part of a head.
    fn is_idle(&self) -> bool {
        let last_input = self.last_input.lock().ok().and_then(|last_input| *last_input);
        let is_reading = last_input.is_some_and(|at| at.elapsed() < Self::HEAD_PAUSE);
        !self.is_busy() && !is_reading
    }

    fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Relaxed) > 0
    }

    /// Closes the connection at once, within a response that ends early.
    pub fn abort(&self) {
        self.abort_requested.notify_one();
    }

    /// Returns whether the input has ended: the caller has closed or reset the connection, or this
    /// side reads no more, and all bytes have been read.
    #[must_use]
    pub fn has_input_ended(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else { return true };
        let mut byte = [std::mem::MaybeUninit::uninit()];
        match socket2::SockRef::from(&*socket).peek(&mut byte) {
            Ok(read) => read == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Ends the connection of a request that is answered although its body has not been read to
    /// the end. xitca-web reads nothing more from it.
    pub fn discard_rest(&self) {
        self.discard_requested.notify_one();
    }

    /// Records the start of a request on this connection, before its body is read. The request ends
    /// when the guard is dropped.
    #[must_use]
    pub fn open_request(self: Arc<Self>) -> OpenRequest {
        self.busy.fetch_add(1, Ordering::Relaxed);
        OpenRequest { connection: self }
    }

    /// Waits until the caller has closed the connection; returns immediately if it already has.
    pub async fn closed(&self) {
        let notified = self.notify.notified();
        let mut notified = std::pin::pin!(notified);
        notified.as_mut().enable();
        if !self.closed.load(Ordering::Acquire) {
            notified.await;
        }
    }
}
