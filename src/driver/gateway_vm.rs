use super::*;
use std::{io, net::TcpListener, thread::JoinHandle};
use xitca_web::HttpServer;

/// A running entry VM in gateway mode: its control thread and its listeners.
pub struct GatewayVm {
    handle: GatewayHandle,
    control: Option<JoinHandle<()>>,
    server: Option<ServerThread>,
    connections: Arc<ConnectionTable>,
    exchanges: ExchangeCount,
    /// The bound address of the listener for callers.
    pub callers: SocketAddr,
    /// The bound address for readiness checks of the load balancer and for metrics.
    pub status: SocketAddr,
}

impl GatewayVm {
    const EXCHANGE_POLL: Duration = Duration::from_millis(10);
    /// The longest wait for answers that are still being written after the core has ended.
    const EXCHANGE_WAIT: Duration = Duration::from_millis(300);
    const TRAFFIC_THREADS: usize = 1;
    /// What a caller's connection may buffer of a request: its head, and what is read of a body at
    /// a time.
    const CALLER_BUFFER_BYTES: usize = 64 * 1_024;

    /// Starts an entry VM that reads its configuration and servers from a store. `store` is called
    /// on the control thread, inside its runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be bound or a thread cannot be started.
    pub fn start(
        settings: &GatewaySettings,
        store: impl FnOnce() -> Arc<dyn RecordStore> + Send + 'static,
    ) -> Result<Self, VmError> {
        let callers = listen(settings.callers.listen)?;
        let status = listen(settings.status.listen)?;
        let peers = settings.peers.as_ref().map(|peers| listen(peers.listen)).transpose()?;
        let peer_address = peers.as_ref().map(TcpListener::local_addr).transpose()?;
        let addresses = (callers.local_addr()?, status.local_addr()?);
        let clock = Clock::start_at(Gateway::KNOWN_PAST);
        let identity = VmIdentity {
            vm: settings.vm.clone(),
            incarnation: Incarnation(clock.unix().0),
            data_centre: settings.data_centre.clone(),
        };
        let mut gateway = Gateway::new(identity.clone(), settings.bounds);
        if let (Some(address), Some(relay)) = (peer_address, &settings.peers) {
            let VmIdentity { vm, incarnation, data_centre } = identity;
            let processor = settings.processor_percent();
            let card = PeerCard { vm, incarnation, data_centre, address, processor };
            gateway.set_relay(card, relay.seeds.clone());
        }
        let (handle, inbox) = GatewayHandle::new();
        let flags = Arc::new(GatewayFlags::default());
        let page = MetricPage::default();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let connections = Arc::new(ConnectionTable::default());
        let metrics = page.client();
        let handler = GatewayHandler::new(
            handle.clone(),
            Arc::clone(&flags),
            &settings.body_limits(),
            Arc::clone(&connections),
            page,
        );
        let (exchanges, readers) = (handler.exchanges(), handler.readers());
        let control = {
            let connections = Arc::clone(&connections);
            let handle = handle.clone();
            std::thread::Builder::new().name("control".into()).spawn(move || {
                runtime.block_on(async move {
                    let store = store();
                    let mailboxes = FxHashMap::default();
                    let last_sweep = Millis(0);
                    let thread = GatewayThread {
                        gateway,
                        clock,
                        inbox,
                        handle,
                        store,
                        flags,
                        connections,
                        readers,
                        metrics,
                        mailboxes,
                        last_sweep,
                        relay: Arc::new(RelayClient::new()),
                        polls: FxHashMap::default(),
                        calls: 0,
                    };
                    thread.run().await;
                });
            })?
        };
        let listener = CallerListener { listener: callers, connections: Arc::clone(&connections) };
        let server = serve(listener, [Some(status), peers], handler)?;
        Ok(Self {
            handle,
            control: Some(control),
            server: Some(server),
            connections,
            exchanges,
            callers: addresses.0,
            status: addresses.1,
        })
    }

    /// Returns the handle that sends to the control thread.
    #[must_use]
    pub const fn handle(&self) -> &GatewayHandle {
        &self.handle
    }

    /// Waits until the control thread has ended and the last answers have been written, for a
    /// bounded time. Returns false if the control thread panicked.
    #[must_use]
    pub fn wait(mut self) -> bool {
        let has_ended = self.control.take().is_none_or(|control| control.join().is_ok());
        let ends = Instant::now() + Self::EXCHANGE_WAIT;
        while self.exchanges.get() > 0 && Instant::now() < ends {
            std::thread::sleep(Self::EXCHANGE_POLL);
        }
        self.connections.close_after_response();
        std::thread::sleep(Self::EXCHANGE_POLL);
        if let Some(server) = self.server.take() {
            server.handle.stop(false);
        }
        has_ended
    }
}

impl Drop for GatewayVm {
    /// Stops immediately, without finishing open requests, as a crash would.
    fn drop(&mut self) {
        self.handle.halt();
        if let Some(server) = self.server.take() {
            server.handle.stop(false);
        }
        if let Some(control) = self.control.take() {
            let _ = control.join();
        }
    }
}

fn serve(
    callers: CallerListener,
    others: [Option<TcpListener>; 2],
    handler: GatewayHandler,
) -> io::Result<ServerThread> {
    let handler = Arc::new(handler);
    let service = xitca_web::service::fn_service(move |request: WebRequest| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.serve(request).await) }
    });
    let mut server = HttpServer::serve(service)
        .worker_threads(GatewayVm::TRAFFIC_THREADS)
        .disable_signal()
        .keep_alive_timeout(Duration::from_secs(KEEP_ALIVE_SECONDS))
        .max_read_buf_size::<{ GatewayVm::CALLER_BUFFER_BYTES }>()
        .max_write_buf_size::<{ CALLER_WRITE_BYTES }>()
        .listen(callers)?;
    for listener in others.into_iter().flatten() {
        server = server.listen(InternalListener(listener))?;
    }
    ServerThread::start("serve_routes", server.run())
}
