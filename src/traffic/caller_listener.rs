use super::*;
use std::{io, net::TcpListener, sync::OnceLock};
use tokio::io::Interest;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// A listener that notices when a caller closes its connection.
///
/// xitca-web reads a connection again only after it has answered, so a caller that goes away while
/// its request waits would stay unnoticed. Each accepted socket is therefore watched through a
/// second descriptor. A caller that closes only its sending side counts as gone.
pub struct CallerListener {
    /// The bound socket.
    pub listener: TcpListener,
    /// Where requests find their connection.
    pub connections: Arc<ConnectionTable>,
}

/// The part of a [`CallerListener`] that runs inside xitca-web.
pub struct WatchedListener {
    listener: tokio::net::TcpListener,
    connections: Arc<ConnectionTable>,
}

impl IntoListener for CallerListener {
    type Listener = WatchedListener;

    fn into_listener(self) -> io::Result<WatchedListener> {
        self.listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(self.listener)?;
        Ok(WatchedListener { listener, connections: self.connections })
    }
}

impl Listen for WatchedListener {
    async fn accept(&self) -> io::Result<Stream> {
        let (stream, address) = self.listener.accept().await?;
        let stream = stream.into_std()?;
        let watched = tokio::net::TcpStream::from_std(stream.try_clone()?)?;
        let connection = self.connections.insert(address);
        tokio::spawn(watch(watched, connection));
        Ok(Stream::Tcp(stream, address))
    }
}

/// Waits until the caller closes, or the connection has been idle for longer than xitca-web keeps
/// it.
async fn watch(stream: tokio::net::TcpStream, connection: Arc<CallerConnection>) {
    loop {
        let ready = tokio::time::timeout(IDLE_LIMIT, stream.ready(Interest::READABLE));
        let ready = tokio::select! {
            ready = ready => ready,
            () = connection.hang_up.notified() => {
                // xitca-web sees the end of input, sends what it still has and closes.
                let _ = socket2::SockRef::from(&stream).shutdown(std::net::Shutdown::Read);
                connection.end_watch();
                return;
            }
        };
        match ready {
            Ok(Ok(ready)) if !ready.is_read_closed() => {
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

const IDLE_LIMIT: Duration = Duration::from_secs(90);

/// The connections of callers, those included that were closed lately: a request may have been read
/// from one before.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    connections: Mutex<FxHashMap<SocketAddr, Arc<CallerConnection>>>,
}

impl ConnectionTable {
    fn insert(&self, address: SocketAddr) -> Arc<CallerConnection> {
        let connection = Arc::new(CallerConnection::default());
        if let Ok(mut connections) = self.connections.lock() {
            if connections.len() == connections.capacity() {
                connections.retain(|_, connection| !connection.is_forgotten());
            }
            connections.insert(address, Arc::clone(&connection));
        }
        connection
    }

    /// Lets each connection close once its last answer has been sent.
    pub fn hang_up(&self) {
        let Ok(connections) = self.connections.lock() else { return };
        let open = connections.values().filter(|connection| connection.is_watched());
        open.for_each(|connection| connection.hang_up.notify_one());
    }

    /// Closes the connections on which no request is under way.
    pub fn hang_up_idle(&self) {
        let Ok(connections) = self.connections.lock() else { return };
        let open = connections.values().filter(|connection| connection.is_watched());
        let idle = open.filter(|connection| !connection.is_busy());
        idle.for_each(|connection| connection.hang_up.notify_one());
    }

    /// Returns the connection of a caller.
    #[must_use]
    pub fn get(&self, address: &SocketAddr) -> Option<Arc<CallerConnection>> {
        self.connections.lock().ok()?.get(address).cloned()
    }
}

/// One connection of a caller.
#[derive(Debug, Default)]
pub struct CallerConnection {
    closed: AtomicBool,
    notify: tokio::sync::Notify,
    hang_up: tokio::sync::Notify,
    busy: AtomicU64,
    /// When either side closed it.
    watch_ended: OnceLock<Instant>,
}

impl CallerConnection {
    /// The time for which a request may still come from a connection that is closed: more than one
    /// that was read takes to reach its desk.
    const LINGER: Duration = Duration::from_secs(10);

    fn end_watch(&self) {
        let _ = self.watch_ended.set(Instant::now());
    }

    fn is_watched(&self) -> bool {
        self.watch_ended.get().is_none()
    }

    fn is_forgotten(&self) -> bool {
        self.watch_ended.get().is_some_and(|at| at.elapsed() >= Self::LINGER)
    }

    fn close(&self) {
        self.closed.store(true, Ordering::Release);
        self.notify.notify_waiters();
    }

    fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Relaxed) > 0
    }

    /// Notes that a request is under way.
    pub fn begin(&self) {
        self.busy.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that a request has ended.
    pub fn end(&self) {
        self.busy.fetch_sub(1, Ordering::Relaxed);
    }

    /// Waits until the caller has closed the connection.
    pub async fn closed(&self) {
        let notified = self.notify.notified();
        let mut notified = std::pin::pin!(notified);
        notified.as_mut().enable();
        if !self.closed.load(Ordering::Acquire) {
            notified.await;
        }
    }
}
