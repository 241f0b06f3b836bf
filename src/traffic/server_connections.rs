//! Connections to backend servers, with a pool of idle ones for each traffic thread.

use super::*;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use tokio::task::AbortHandle;

/// A connection to a backend server, closed on drop.
pub(super) struct ServerConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Whether the connection has carried a request before.
    pub(super) is_reused: bool,
    /// Limits the bytes that the server sends without making progress in an answer.
    pub(super) allowance: ProgressAllowance,
    task: AbortHandle,
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct IdleConnection {
    link: ServerConnection,
    ends: Instant,
}

thread_local! {
    static IDLE: RefCell<FxHashMap<ServerId, Vec<IdleConnection>>> = RefCell::default();
}

impl ServerConnection {
    /// The connect timeout: many round trips (3 ms each), yet short enough that a retry may still
    /// help a request with the shortest latency objective (100 ms).
    pub(super) const CONNECT_TIMEOUT_MS: u64 = 250;
    /// The time in which a server decides whether it accepts or resets a new connection.
    const SETTLE_MS: u64 = 2;
    /// The longest wait for that decision: a small part of the shortest latency objective (100 ms).
    const MAX_SETTLE_MS: u64 = 10;
    /// The time without traffic after which TCP keep-alive probes start: longer than most pauses of
    /// a stream.
    const PROBE_AFTER_MS: u64 = 700;
    /// The time between two keep-alive probes: twice the minimum retransmission timeout of TCP.
    const PROBE_INTERVAL_MS: u64 = 400;
    /// The number of unanswered probes after which a connection is closed.
    const PROBE_COUNT: u32 = 2;
    /// The time without an acknowledgement of sent data after which a connection is closed. It
    /// allows three transmissions, and a stream that then resumes at another server may still be on
    /// time.
    const USER_TIMEOUT_MS: u64 = 1_500;
    /// The assumed idle timeout of a server whose answers do not state one.
    const DEFAULT_IDLE_MS: u64 = 2_000;
    /// The time before the server's idle timeout at which an idle connection is closed on this
    /// side.
    const IDLE_MARGIN_MS: u64 = 1_000;
    /// The head of an answer, and what is read of its body at a time. Hundreds of connections may
    /// read at once.
    const READ_BUFFER_BYTES: usize = 32 * 1_024;
    /// The number of idle connections kept to one server. They count towards the server's
    /// connection limit for all entry VMs together: 295 entry VMs hold a little over half of a
    /// limit of 2,100.
    const IDLE_LIMIT: usize = 4;

    /// Takes an idle connection to a server from the pool of this thread; `None` if there is none.
    pub(super) fn take_idle(server: &ServerId) -> Option<Self> {
        let now = Instant::now();
        IDLE.with_borrow_mut(|idle| {
            let connections = idle.get_mut(server)?;
            connections
                .retain(|connection| connection.ends > now && !connection.link.sender.is_closed());
            Some(connections.pop()?.link)
        })
    }

    /// Opens a connection with TCP keep-alive and a progress limit.
    ///
    /// # Errors
    ///
    /// Returns [`NotRunCause::Crowded`] if the server resets the connection, and
    /// [`NotRunCause::Unreachable`] if it cannot be opened for another reason.
    pub(super) async fn open(address: SocketAddr) -> Result<Self, NotRunCause> {
        let timeout = Duration::from_millis(Self::CONNECT_TIMEOUT_MS);
        let connect = tokio::net::TcpStream::connect(address);
        let connected = tokio::time::timeout(timeout, connect).await;
        let connected = connected.map_err(|_| NotRunCause::Unreachable)?;
        let stream = connected.map_err(|error| match error.kind() {
            std::io::ErrorKind::ConnectionReset => NotRunCause::Crowded,
            _ => NotRunCause::Unreachable,
        })?;
        let _ = stream.set_nodelay(true);
        Self::enable_keep_alive(&stream);
        let allowance = ProgressAllowance::default();
        let stream = ProgressLimited { stream, allowance: allowance.clone() };
        let opened = Builder::new()
            .max_buf_size(Self::READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = opened.map_err(|_| NotRunCause::Unreachable)?;
        let task = tokio::spawn(connection).abort_handle();
        Ok(Self { sender, is_reused: false, allowance, task })
    }

    /// Opens a connection and waits until a server that is at its connection limit has closed it
    /// again. The close arrives up to a round trip after the connection is open on this side.
    /// Nothing is sent before that, as a request sent on such a connection may or may not have run.
    ///
    /// # Errors
    ///
    /// Returns [`NotRunCause::Crowded`] if the server closes the connection, and the errors of
    /// [`Self::open`].
    pub(super) async fn open_checked(address: SocketAddr) -> Result<Self, NotRunCause> {
        let begun = Instant::now();
        let link = Self::open(address).await?;
        let settle = begun.elapsed() + Duration::from_millis(Self::SETTLE_MS);
        tokio::time::sleep(settle.min(Duration::from_millis(Self::MAX_SETTLE_MS))).await;
        if link.sender.is_closed() { Err(NotRunCause::Crowded) } else { Ok(link) }
    }

    /// Enables TCP keep-alive and the user timeout, so that the system closes a connection whose
    /// other end stops responding.
    fn enable_keep_alive(stream: &tokio::net::TcpStream) {
        let keepalive = socket2::TcpKeepalive::new()
            .with_time(Duration::from_millis(Self::PROBE_AFTER_MS))
            .with_interval(Duration::from_millis(Self::PROBE_INTERVAL_MS))
            .with_retries(Self::PROBE_COUNT);
        let socket = socket2::SockRef::from(stream);
        let timeout = Duration::from_millis(Self::USER_TIMEOUT_MS);
        let set = socket
            .set_tcp_keepalive(&keepalive)
            .and_then(|()| socket.set_tcp_user_timeout(Some(timeout)));
        if let Err(error) = set {
            tracing::debug!(%error, "cannot enable TCP keep-alive");
        }
    }

    /// Returns a connection to the idle pool of this thread. It is closed instead if the server's
    /// idle timeout is too short or the pool is full.
    pub(super) fn return_idle(mut self, server: &ServerId, idle_limit: Option<Millis>) {
        let limit = idle_limit.unwrap_or(Millis(Self::DEFAULT_IDLE_MS));
        let limit = limit.since(Millis(Self::IDLE_MARGIN_MS));
        if limit == Millis(0) || self.sender.is_closed() {
            return;
        }
        self.is_reused = true;
        self.allowance.remove_limit();
        let ends = Instant::now() + limit.duration();
        IDLE.with_borrow_mut(|idle| {
            Self::remove_expired(idle, Instant::now());
            let connections = idle.entry(server.clone()).or_default();
            if connections.len() < Self::IDLE_LIMIT {
                connections.push(IdleConnection { link: self, ends });
            }
        });
    }

    /// Closes the idle connections that have expired or that the server has closed.
    fn remove_expired(idle: &mut FxHashMap<ServerId, Vec<IdleConnection>>, now: Instant) {
        idle.retain(|_, connections| {
            connections
                .retain(|connection| connection.ends > now && !connection.link.sender.is_closed());
            !connections.is_empty()
        });
    }
}
