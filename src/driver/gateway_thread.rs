use super::{gateway_handle::GatewayInbox, *};

/// The thread that feeds events to the [`Gateway`] core and executes the commands it returns,
/// including the calls to the store.
pub(super) struct GatewayThread {
    pub(super) gateway: Gateway,
    pub(super) clock: Clock,
    pub(super) inbox: GatewayInbox,
    pub(super) handle: GatewayHandle,
    pub(super) store: Arc<dyn RecordStore>,
    pub(super) flags: Arc<GatewayFlags>,
    pub(super) connections: Arc<ConnectionTable>,
    pub(super) readers: Arc<ReaderTable>,
    pub(super) metrics: MetricClient,
    pub(super) mailboxes: FxHashMap<RequestNumber, GatewayMailbox>,
    pub(super) last_sweep: Millis,
    pub(super) relay: Arc<RelayClient>,
    pub(super) polls: FxHashMap<CallId, tokio::sync::oneshot::Sender<RelayAnswer>>,
    pub(super) calls: u64,
}

impl GatewayThread {
    /// The longest time between two updates of the readiness flag and removals of closed mailboxes.
    const SWEEP_MS: u64 = 500;

    /// Runs until the core returns [`GatewayCommand::Stop`] or all senders are dropped.
    pub(super) async fn run(mut self) {
        let mut next = self.handle(GatewayEvent::Tick);
        while next.is_continue() {
            let now = self.clock.now();
            let wake = self.gateway.next_wake(now).min(self.last_sweep + Millis(Self::SWEEP_MS));
            let input = tokio::select! {
                biased;
                input = self.inbox.events.recv() => input,
                input = self.inbox.arrivals.recv() => input,
                () = tokio::time::sleep(wake.since(now).duration()) => {
                    Some(GatewayInput::Event(GatewayEvent::Tick))
                }
            };
            next = match input {
                Some(GatewayInput::Event(event)) => self.handle(event),
                Some(GatewayInput::Request(arrival, mailbox)) => {
                    self.metrics.count("requests");
                    self.mailboxes.insert(arrival.request, mailbox);
                    self.handle(GatewayEvent::Arrived(arrival))
                }
                Some(GatewayInput::Poll(poll, sender)) => {
                    self.calls += 1;
                    let call = CallId(self.calls);
                    self.polls.insert(call, sender);
                    self.handle(GatewayEvent::Polled { call, poll })
                }
                Some(GatewayInput::Halt) | None => ControlFlow::Break(()),
            };
        }
    }

    fn handle(&mut self, event: GatewayEvent) -> ControlFlow<()> {
        let now = self.clock.now();
        let commands = self.gateway.handle(now, event);
        for command in commands {
            self.execute(command)?;
        }
        self.publish_state(now);
        ControlFlow::Continue(())
    }

    /// Copies the state that the traffic threads read into the shared flags, and removes closed
    /// mailboxes once per sweep interval.
    fn publish_state(&mut self, now: Millis) {
        let is_ready = self.gateway.is_ready(now);
        if self.flags.is_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
            tracing::info!(is_ready, "readiness changed");
        }
        self.flags.is_ending.store(self.gateway.is_ending(), Ordering::Relaxed);
        if let Some(document) = self.gateway.document() {
            self.flags.body_limit.store(document.body_limit.0, Ordering::Relaxed);
            self.flags.head_limit.store(document.head_limit.0, Ordering::Relaxed);
        }
        if now.since(self.last_sweep).0 >= Self::SWEEP_MS {
            self.last_sweep = now;
            self.mailboxes.retain(|_, mailbox| !mailbox.is_closed());
            self.metrics.gauge("open_requests", self.mailboxes.len() as u64);
            for cause in self.readers.sweep() {
                self.metrics.count_by("unread_answers_lost", cause.as_str());
            }
            self.metrics.gauge("limited_servers", self.gateway.limited_servers() as u64);
            let gateway = &self.gateway;
            self.metrics.gauge("cold_servers", gateway.cold_servers() as u64);
            self.metrics.gauge("evacuated_centres", gateway.evacuated_centres() as u64);
            self.metrics.gauge("evacuation_age_ms", gateway.evacuation_age(now).0);
            self.metrics.gauge("evacuating_requests", gateway.evacuating_requests().into());
            self.metrics.gauge("withheld_sends", gateway.withheld_sends());
            self.metrics.gauge("room_waits", gateway.room_counts().waits);
            self.metrics.gauge("room_refusals", gateway.room_counts().refusals);
            let subjects = self.gateway.quarantined_subjects();
            self.metrics.gauge("quarantined_subjects", subjects as u64);
        }
    }

    fn execute(&mut self, command: GatewayCommand) -> ControlFlow<()> {
        match command {
            GatewayCommand::Start(order) => {
                self.metrics.count("runs");
                if order.is_limited {
                    self.metrics.count("limited_runs");
                }
                self.send_directive(order.request, GatewayDirective::Start(order));
            }
            GatewayCommand::Deliver { request, attempt } => {
                self.metrics.count("delivered");
                self.send_directive(request, GatewayDirective::Deliver(attempt));
            }
            GatewayCommand::Cancel { request, attempt } => {
                self.send_directive(request, GatewayDirective::Cancel(attempt));
            }
            GatewayCommand::Continue { request, attempt } => {
                self.send_directive(request, GatewayDirective::Continue(attempt));
            }
            GatewayCommand::Refuse { request, refusal } => {
                self.metrics.count_by("refusals", refusal.code.as_str());
                self.send_directive(request, GatewayDirective::Refuse(refusal));
            }
            GatewayCommand::AbortResponse { request } => {
                self.metrics.count("broken_off");
                self.send_directive(request, GatewayDirective::AbortResponse);
            }
            GatewayCommand::Read(read) => self.read_store(read),
            GatewayCommand::Append { record, at } => self.append_record(record, at),
            GatewayCommand::AskPeer { peer, address, poll } => self.poll_peer(peer, address, *poll),
            GatewayCommand::AnswerPeer { call, answer } => {
                if let Some(sender) = self.polls.remove(&call) {
                    let _ = sender.send(*answer);
                }
            }
            GatewayCommand::Probe { server, address } => self.probe(server, address),
            GatewayCommand::CloseIdleConnections => self.connections.close_idle(),
            GatewayCommand::Stop => return self.stop(),
        }
        ControlFlow::Continue(())
    }

    /// Ends the thread, unless there is time for requests that are being read: the core does not know
    /// of them yet, and orders the stop again.
    fn stop(&self) -> ControlFlow<()> {
        let is_active = self.flags.exchanges.get() > 0 || self.connections.is_any_active();
        if is_active && !self.gateway.must_stop(self.clock.now()) {
            return ControlFlow::Continue(());
        }
        tracing::info!(is_active, "shutdown complete");
        ControlFlow::Break(())
    }

    fn send_directive(&mut self, request: RequestNumber, directive: GatewayDirective) {
        if let Some(mailbox) = self.mailboxes.get(&request) {
            let _ = mailbox.send(directive);
        }
    }

    fn read_store(&self, read: FeedRead) {
        let (store, handle) = (Arc::clone(&self.store), self.handle.clone());
        let (stream, wait) = match &read {
            FeedRead::Newest { stream, .. } => (*stream, None),
            FeedRead::From { stream, wait, .. } => (*stream, Some(wait.0)),
        };
        tracing::debug!(%stream, wait_ms = wait, "store read");
        self.metrics.count("store_reads");
        self.metrics.count_by("store_reads_of", &stream.to_string());
        tokio::spawn(async move {
            let (stream, answer) = match read {
                FeedRead::Newest { stream, after } => {
                    (stream, FeedAnswer::Newest(store.newest(stream, after).await))
                }
                FeedRead::From { stream, from, wait } => {
                    (stream, FeedAnswer::From(store.read(stream, from, wait).await))
                }
            };
            handle.send(GatewayEvent::Read { stream, answer });
        });
    }

    fn poll_peer(&self, peer: Option<VmId>, address: SocketAddr, poll: RelayPoll) {
        let (relay, handle) = (Arc::clone(&self.relay), self.handle.clone());
        if poll.purpose == PollPurpose::Permits {
            self.metrics.count("permit_queries");
        }
        tokio::spawn(async move {
            let answer = relay.poll(address, &poll).await.map(Box::new);
            handle.send(GatewayEvent::PeerAnswered { peer, purpose: poll.purpose, answer });
        });
    }

    fn probe(&self, server: ServerId, address: SocketAddr) {
        let handle = self.handle.clone();
        self.metrics.count("probes");
        tokio::spawn(async move {
            let result = probe_server(address).await;
            handle.send(GatewayEvent::Probed { server, result });
        });
    }

    fn append_record(&self, record: StoreRecord, at: Option<Offset>) {
        let (store, handle) = (Arc::clone(&self.store), self.handle.clone());
        self.metrics.count("store_appends");
        tokio::spawn(async move {
            let result = store.append(&record, at).await;
            handle.send(GatewayEvent::Appended { record, result });
        });
    }
}
