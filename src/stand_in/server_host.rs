//! The thread, listener and connections of each fake server.

use super::*;

/// The request handler of a fake server.
pub(super) trait HttpHandler: Send + Sync + 'static {
    /// Answers one request, whose body has been read. `connection_faults` injects faults into its connection.
    fn answer(
        self: Arc<Self>,
        request: Request<Bytes>,
        connection_faults: Arc<ConnectionFaults>,
    ) -> BoxFuture<'static, Answer>;

    /// Resets the state that a crash loses; by default nothing.
    fn reset(&self) {}
}

/// The state of a server's listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostState {
    /// The server accepts connections.
    Up,
    /// The port is bound but connections are refused.
    Down,
    /// The server's thread ends.
    Closed,
}

/// A change of the listener's state. `done` is signalled once the change has taken effect.
pub(super) struct HostCommand {
    pub(super) state: HostState,
    pub(super) done: Option<std::sync::mpsc::Sender<()>>,
}

type OpenConnections = Arc<Mutex<Vec<Weak<ConnectionFaults>>>>;

/// A server on a loopback port, with injected crashes and connection faults.
pub struct ServerHost {
    address: SocketAddr,
    commands: mpsc::UnboundedSender<HostCommand>,
    server_silent: Arc<AtomicBool>,
    open_connections: OpenConnections,
    thread: Option<JoinHandle<()>>,
    _reservation: socket2::Socket,
}

impl ServerHost {
    /// Starts a server with a request handler, on a thread of its own.
    ///
    /// # Panics
    ///
    /// Panics if loopback has no free port or the thread can't start.
    pub(super) fn start(name: &str, handler: Arc<dyn HttpHandler>) -> Self {
        let reservation = bound_socket(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = reservation.local_addr().ok().and_then(|address| address.as_socket());
        let address = address.expect("a bound socket has an address");
        let (commands, inbox) = mpsc::unbounded_channel();
        let open_connections = OpenConnections::default();
        let server_silent = Arc::new(AtomicBool::new(false));
        let listener = HostListener {
            address,
            handler,
            server_silent: Arc::clone(&server_silent),
            open_connections: Arc::clone(&open_connections),
        };
        let thread = std::thread::Builder::new()
            .name(format!("stand-in-{name}"))
            .spawn(move || listener.run(inbox))
            .expect("a thread starts");
        let host = Self {
            address,
            commands,
            server_silent,
            open_connections,
            thread: Some(thread),
            _reservation: reservation,
        };
        host.command(HostState::Up);
        host
    }

    /// Returns the loopback address of the server, which stays the same after a restart.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections, refuses new ones and resets the in-memory state.
    pub fn crash(&self) {
        self.command(HostState::Down);
    }

    /// Accepts connections again after a crash.
    pub fn restart(&self) {
        self.command(HostState::Up);
    }

    /// Makes all open connections stop reading and writing for good; new connections work.
    pub fn silence_connections(&self) {
        for connection_faults in lock(&self.open_connections).iter().filter_map(Weak::upgrade) {
            connection_faults.silence();
        }
    }

    /// Sets whether all connections, open and new, are accepted but never answered. Connections that
    /// were open when this is switched off stay silent.
    pub fn set_silent(&self, silent: bool) {
        self.server_silent.store(silent, Ordering::SeqCst);
        if !silent {
            self.silence_connections();
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        lock(&self.open_connections)
            .iter()
            .filter(|connection_faults| connection_faults.strong_count() > 0)
            .count()
    }

    pub(super) fn commands(&self) -> mpsc::UnboundedSender<HostCommand> {
        self.commands.clone()
    }

    fn command(&self, state: HostState) {
        let (done, finished) = std::sync::mpsc::channel();
        let _ = self.commands.send(HostCommand { state, done: Some(done) });
        let _ = finished.recv();
    }
}

impl Drop for ServerHost {
    fn drop(&mut self) {
        self.command(HostState::Closed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The part of a server that runs on its thread.
struct HostListener {
    address: SocketAddr,
    handler: Arc<dyn HttpHandler>,
    server_silent: Arc<AtomicBool>,
    open_connections: OpenConnections,
}

impl HostListener {
    fn run(self, inbox: mpsc::UnboundedReceiver<HostCommand>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime starts").block_on(self.serve(inbox));
    }

    async fn serve(self, mut inbox: mpsc::UnboundedReceiver<HostCommand>) {
        let mut next = inbox.recv().await;
        while let Some(command) = next {
            match command.state {
                HostState::Closed => return,
                HostState::Down => {
                    self.handler.reset();
                    notify(command.done);
                    next = inbox.recv().await;
                }
                HostState::Up => next = self.listen(&mut inbox, command.done).await,
            }
        }
    }

    async fn listen(
        &self,
        inbox: &mut mpsc::UnboundedReceiver<HostCommand>,
        done: Option<std::sync::mpsc::Sender<()>>,
    ) -> Option<HostCommand> {
        let listener = listening_socket(self.address);
        notify(done);
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                command = inbox.recv() => {
                    drop(listener);
                    connections.shutdown().await;
                    return command;
                }
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        connections.spawn(self.connection(stream));
                    }
                }
                Some(_) = connections.join_next() => {}
            }
        }
    }

    fn connection(&self, stream: TcpStream) -> impl Future<Output = ()> + use<> {
        let _ = stream.set_nodelay(true);
        let connection_faults = Arc::new(ConnectionFaults::new(Arc::clone(&self.server_silent)));
        let mut open_connections = lock(&self.open_connections);
        open_connections.retain(|connection_faults| connection_faults.strong_count() > 0);
        open_connections.push(Arc::downgrade(&connection_faults));
        drop(open_connections);
        let handler = Arc::clone(&self.handler);
        let stream = TokioIo::new(FaultyStream::new(stream, Arc::clone(&connection_faults)));
        let service = hyper::service::service_fn(move |request| {
            answer_request(Arc::clone(&handler), request, Arc::clone(&connection_faults))
        });
        async move {
            let _ =
                hyper::server::conn::http1::Builder::new().serve_connection(stream, service).await;
        }
    }
}

async fn answer_request(
    handler: Arc<dyn HttpHandler>,
    request: Request<hyper::body::Incoming>,
    connection_faults: Arc<ConnectionFaults>,
) -> Answer {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| ConnectionCut)?.to_bytes();
    handler.answer(Request::from_parts(head, body), connection_faults).await
}

fn notify(done: Option<std::sync::mpsc::Sender<()>>) {
    if let Some(done) = done {
        let _ = done.send(());
    }
}

/// Binds a socket with `SO_REUSEADDR`. Keeping it open reserves the port while the server is down, so
/// that no other process can take it.
fn bound_socket(address: SocketAddr) -> socket2::Socket {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket opens");
    socket.set_reuse_address(true).expect("the option exists");
    socket.bind(&address.into()).expect("the loopback port is free");
    socket
}

fn listening_socket(address: SocketAddr) -> TcpListener {
    let socket = bound_socket(address);
    socket.listen(LISTEN_BACKLOG).expect("a bound socket listens");
    socket.set_nonblocking(true).expect("the option exists");
    TcpListener::from_std(socket.into()).expect("the runtime takes the listener")
}

const LISTEN_BACKLOG: i32 = 1024;
