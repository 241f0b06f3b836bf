//! The connections of one traffic thread to backend servers.

use super::*;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use tokio::task::AbortHandle;

/// A connection to a backend server; closes when it is dropped.
pub(super) struct ServerLink {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub(super) is_kept: bool,
    /// Bounds what the server sends that is no part of an answer.
    pub(super) allowance: ProgressAllowance,
    task: AbortHandle,
}

impl Drop for ServerLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct IdleLink {
    link: ServerLink,
    ends: Instant,
}

thread_local! {
    static IDLE: RefCell<FxHashMap<ServerId, Vec<IdleLink>>> = RefCell::default();
}

impl ServerLink {
    /// The time in which a server in reach accepts a connection: many times the way there and back
    /// (3 ms), short against the shortest objective (100 ms) that a second try may still meet.
    pub(super) const CONNECT_TIMEOUT_MS: u64 = 250;
    /// The time in which a server decides whether it takes a connection.
    const SETTLE_MS: u64 = 2;
    /// The longest wait for that decision: a small part of the shortest objective (100 ms).
    const LONGEST_SETTLE_MS: u64 = 10;
    /// The time after which a connection without traffic is probed: longer than most pauses of a
    /// stream.
    const PROBE_AFTER_MS: u64 = 700;
    /// The time between two probes: twice the shortest time after which TCP sends again.
    const PROBE_PAUSE_MS: u64 = 400;
    /// The probes without an answer after which a connection is given up.
    const PROBE_COUNT: u32 = 2;
    /// The time after which a connection is given up on which what was sent is not acknowledged.
    /// TCP sends three times in it; a stream that then goes on elsewhere may still be on time.
    const UNACKNOWLEDGED_MS: u64 = 1_500;
    /// The time that a server keeps an idle connection if it does not say.
    const DEFAULT_IDLE_MS: u64 = 2_000;
    /// How long before the server an idle connection is given up here.
    const IDLE_MARGIN_MS: u64 = 1_000;
    /// The idle connections kept to one server. They count against what the server takes from all
    /// entry VMs together: 295 of them keep a little over half of 2,100.
    const IDLE_LIMIT: usize = 4;

    /// Returns an idle connection to a server.
    pub(super) fn take(server: &ServerId) -> Option<Self> {
        let now = Instant::now();
        IDLE.with_borrow_mut(|idle| {
            let links = idle.get_mut(server)?;
            links.retain(|kept| kept.ends > now && !kept.link.sender.is_closed());
            Some(links.pop()?.link)
        })
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
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
        Self::probe_when_silent(&stream);
        let allowance = ProgressAllowance::default();
        let stream = ProgressLimited { stream, allowance: allowance.clone() };
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|_| NotRunCause::Unreachable)?;
        let task = tokio::spawn(connection).abort_handle();
        Ok(Self { sender, is_kept: false, allowance, task })
    }

    /// Opens a connection and waits until a server that takes no more of them has closed it again:
    /// it does so when it sees the connection, which is a way there and back after this end has
    /// opened it. What has been sent by then may have run, so nothing is sent.
    ///
    /// # Errors
    ///
    /// Returns why there is no connection.
    pub(super) async fn open_settled(address: SocketAddr) -> Result<Self, NotRunCause> {
        let begun = Instant::now();
        let link = Self::open(address).await?;
        let settle = begun.elapsed() + Duration::from_millis(Self::SETTLE_MS);
        tokio::time::sleep(settle.min(Duration::from_millis(Self::LONGEST_SETTLE_MS))).await;
        if link.sender.is_closed() { Err(NotRunCause::Crowded) } else { Ok(link) }
    }

    /// Lets the system close a connection whose other end has fallen silent.
    fn probe_when_silent(stream: &tokio::net::TcpStream) {
        let keepalive = socket2::TcpKeepalive::new()
            .with_time(Duration::from_millis(Self::PROBE_AFTER_MS))
            .with_interval(Duration::from_millis(Self::PROBE_PAUSE_MS))
            .with_retries(Self::PROBE_COUNT);
        let socket = socket2::SockRef::from(stream);
        let timeout = Duration::from_millis(Self::UNACKNOWLEDGED_MS);
        let set = socket
            .set_tcp_keepalive(&keepalive)
            .and_then(|()| socket.set_tcp_user_timeout(Some(timeout)));
        if let Err(error) = set {
            tracing::debug!(%error, "a connection is not probed");
        }
    }

    /// Keeps a connection for the next request to its server.
    pub(super) fn put_back(mut self, server: &ServerId, idle_limit: Option<Millis>) {
        let limit = idle_limit.unwrap_or(Millis(Self::DEFAULT_IDLE_MS));
        let limit = limit.since(Millis(Self::IDLE_MARGIN_MS));
        if limit == Millis(0) || self.sender.is_closed() {
            return;
        }
        self.is_kept = true;
        self.allowance.lift();
        let ends = Instant::now() + limit.duration();
        IDLE.with_borrow_mut(|idle| {
            Self::sweep(idle, Instant::now());
            let links = idle.entry(server.clone()).or_default();
            if links.len() < Self::IDLE_LIMIT {
                links.push(IdleLink { link: self, ends });
            }
        });
    }

    /// Closes the idle connections that are no longer of use.
    fn sweep(idle: &mut FxHashMap<ServerId, Vec<IdleLink>>, now: Instant) {
        idle.retain(|_, links| {
            links.retain(|kept| kept.ends > now && !kept.link.sender.is_closed());
            !links.is_empty()
        });
    }
}
