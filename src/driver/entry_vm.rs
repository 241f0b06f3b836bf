use super::*;
use std::{io, net::TcpListener, thread::JoinHandle};
use xitca_web::HttpServer;

/// A running entry VM: its control thread, its listeners and its runtime.
pub struct EntryVm {
    /// The bound address of the listener for callers.
    pub callers: SocketAddr,
    /// The bound address of the listener for operators.
    pub operators: SocketAddr,
    /// The bound address of the listener for peers.
    pub peers: SocketAddr,
    handle: ControlHandle,
    control: Option<JoinHandle<()>>,
    servers: Vec<ServerThread>,
    connections: Arc<ConnectionTable>,
    exchanges: ExchangeCount,
    _runtime: tokio::runtime::Runtime,
}

/// Why an entry VM cannot start.
#[derive(Debug, thiserror::Error)]
pub enum VmError {
    /// A listener cannot be bound.
    #[error("The address {address} cannot be listened on ({cause}); free it or choose another.")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// A thread, runtime or socket cannot be created.
    #[error("The process cannot start its threads: {0}.")]
    Start(#[from] io::Error),
}

impl EntryVm {
    const EXCHANGE_POLL: Duration = Duration::from_millis(10);
    const OPERATOR_THREADS: usize = 1;
    const EXECUTOR_THREADS: usize = 2;

    /// Starts an entry VM. `operator_secrets` authenticate calls of operators, `peer_secrets`
    /// authenticate messages and forwarded requests of other entry VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be bound or a thread cannot be started.
    pub fn start(
        settings: &EntrySettings,
        operator_secrets: Vec<Secret>,
        peer_secrets: Vec<Secret>,
    ) -> Result<Self, VmError> {
        let callers = listen(settings.callers.listen)?;
        let operators = listen(settings.operators.listen)?;
        let peers = listen(settings.peers.listen)?;
        let clock = Clock::start();
        let identity = VmIdentity {
            vm: settings.vm.clone(),
            incarnation: Incarnation(clock.unix().0),
            data_centre: settings.data_centre.clone(),
        };
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(Self::EXECUTOR_THREADS)
            .thread_name("errands")
            .enable_all()
            .build()?;
        let (handle, inbox) = ControlHandle::new();
        let keys = KeyRing::from(peer_secrets);
        let name = PeerName { vm: identity.vm.clone(), incarnation: identity.incarnation };
        let seal = Arc::new(Mutex::new(PeerSeal::new(name, keys.clone())));
        let rating_texts = Arc::new(RatingTextCache::default());
        let ready = Arc::new(AtomicBool::new(false));
        let executor = {
            let _guard = runtime.enter();
            command_executor(settings, &seal, &runtime, &handle, &rating_texts, &clock)
        };
        let addresses = (address(&callers)?, address(&operators)?, address(&peers)?);
        let mut control = Control::new(identity.clone(), Box::<QualityPolicy>::default());
        control.set_cluster(ClusterSettings {
            address: Some(addresses.2).filter(|address| !address.ip().is_unspecified()),
            seeds: settings.seeds.clone(),
            session_keys: keys.clone(),
        });
        control.set_balancer_lag(settings.shutdown.balancer_lag_ms);
        let connections = Arc::new(ConnectionTable::default());
        let caller_handler = CallerHandler::new(
            settings.callers.clone(),
            identity,
            &handle,
            rating_texts,
            &ready,
            &connections,
            &keys,
        );
        let thread = ControlThread {
            control,
            clock,
            inbox,
            executor,
            readers: caller_handler.readers(),
            metrics: MetricClient::new(settings.metrics.as_ref())?,
            ready: Arc::clone(&ready),
            mailboxes: FxHashMap::default(),
            ended: VecDeque::new(),
            operators: BTreeMap::new(),
            calls: 0,
        };
        let control =
            std::thread::Builder::new().name("control".into()).spawn(move || thread.run())?;
        let exchanges = caller_handler.exchanges();
        let operator_handler =
            OperatorHandler::new(operator_secrets, handle.clone(), Arc::clone(&ready));
        let peer_handler = PeerHandler::new(seal, handle.clone(), caller_handler.clone());
        let threads = settings.callers.threads;
        let listener = CallerListener { listener: callers, connections: Arc::clone(&connections) };
        let servers = vec![
            serve_callers(listener, threads, caller_handler)?,
            serve_operators(operators, Self::OPERATOR_THREADS, operator_handler)?,
            serve_peers(peers, Self::OPERATOR_THREADS, peer_handler)?,
        ];
        Ok(Self {
            callers: addresses.0,
            operators: addresses.1,
            peers: addresses.2,
            handle,
            control: Some(control),
            servers,
            connections,
            exchanges,
            _runtime: runtime,
        })
    }

    /// Returns the handle that sends to the control thread.
    #[must_use]
    pub const fn handle(&self) -> &ControlHandle {
        &self.handle
    }

    /// Starts a graceful shutdown, which finishes the open requests.
    pub fn shut_down(&self) {
        self.handle.send(Event::Shutdown);
    }

    /// Waits until the control thread has ended and all answers have been sent to callers, then
    /// stops the listeners.
    pub fn wait(mut self) {
        if let Some(control) = self.control.take() {
            let _ = control.join();
        }
        while self.exchanges.get() > 0 {
            std::thread::sleep(Self::EXCHANGE_POLL);
        }
        self.connections.close_after_response();
        let others = self.servers.split_off(1);
        for callers in self.servers.drain(..) {
            callers.handle.stop(true);
            let _ = callers.thread.join();
        }
        self.servers = others;
    }
}

impl Drop for EntryVm {
    /// Stops immediately, without finishing open requests, as a crash would.
    fn drop(&mut self) {
        self.handle.halt();
        for server in &self.servers {
            server.handle.stop(false);
        }
        if let Some(control) = self.control.take() {
            let _ = control.join();
        }
    }
}

fn address(listener: &TcpListener) -> io::Result<SocketAddr> {
    listener.local_addr()
}

/// Binds a listener; accepted sockets inherit `TCP_NODELAY` from it.
pub(super) fn listen(address: SocketAddr) -> Result<TcpListener, VmError> {
    const BACKLOG: i32 = 4_096;
    let open = || -> io::Result<TcpListener> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_tcp_nodelay(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Ok(socket.into())
    };
    open().map_err(|cause| VmError::Listen { address, cause })
}

fn command_executor(
    settings: &EntrySettings,
    seal: &Arc<Mutex<PeerSeal>>,
    runtime: &tokio::runtime::Runtime,
    handle: &ControlHandle,
    rating_texts: &Arc<RatingTextCache>,
    clock: &Clock,
) -> CommandExecutor {
    let platform = Arc::new(HttpPlatform::new(settings.platform.address));
    CommandExecutor {
        runtime: runtime.handle().clone(),
        handle: handle.clone(),
        log: Arc::new(HttpStore::new(settings.platform.address)),
        members: platform.clone(),
        loads: platform.clone(),
        ratings: platform,
        orders: Arc::new(HttpOrders::new()),
        clock: clock.clone(),
        rating_texts: Arc::clone(rating_texts),
        peers: Arc::new(PeerClient::new(Arc::clone(seal), handle.clone())),
    }
}

macro_rules! serve_with {
    ($name:ident, $listener:ty, $handler:ty) => {
        fn $name(
            listener: $listener,
            threads: usize,
            handler: $handler,
        ) -> io::Result<ServerThread> {
            let handler = Arc::new(handler);
            let service = xitca_web::service::fn_service(move |request: WebRequest| {
                let handler = Arc::clone(&handler);
                async move { Ok::<_, Infallible>(handler.serve(request).await) }
            });
            let server = HttpServer::serve(service)
                .worker_threads(threads)
                .disable_signal()
                .keep_alive_timeout(Duration::from_secs(KEEP_ALIVE_SECONDS))
                .max_write_buf_size::<CALLER_WRITE_BYTES>()
                .listen(listener)?
                .run();
            ServerThread::start(stringify!($name), server)
        }
    };
}

pub(super) const KEEP_ALIVE_SECONDS: u64 = 60;
/// What a connection may buffer of an answer that its caller doesn't read. It isn't a part of the
/// budget of bodies.
pub(super) const CALLER_WRITE_BYTES: usize = 16 * 1_024;

serve_with!(serve_callers, CallerListener, CallerHandler);
serve_with!(serve_operators, TcpListener, OperatorHandler);
serve_with!(serve_peers, TcpListener, PeerHandler);
