use super::{control_handle::ControlInbox, *};
use crossbeam_channel::RecvTimeoutError;

/// The thread that feeds events to the [`Control`] core and executes the commands it returns.
pub(super) struct ControlThread {
    pub(super) control: Control,
    pub(super) clock: Clock,
    pub(super) inbox: ControlInbox,
    pub(super) executor: CommandExecutor,
    pub(super) readers: Arc<ReaderTable>,
    pub(super) metrics: MetricClient,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) mailboxes: FxHashMap<RequestNumber, RequestMailbox>,
    pub(super) ended: VecDeque<RequestNumber>,
    pub(super) operators: BTreeMap<CallId, tokio::sync::oneshot::Sender<OperatorAnswer>>,
    pub(super) calls: u64,
}

impl ControlThread {
    const TICK_MS: u64 = 10;
    const SWEEP_MS: u64 = 1_000;
    /// The number of messages handled from one channel before the other one is checked.
    const BATCH: usize = 64;
    /// The number of mailboxes checked for removal in one tick.
    const CLEANUP_BATCH: usize = 256;

    /// Runs until the core returns [`Command::Stop`] or all senders are dropped.
    pub(super) fn run(mut self) {
        let mut next_tick = Millis(0);
        let mut next_sweep = Millis(0);
        loop {
            let now = self.clock.now();
            if now >= next_tick {
                next_tick = now + Millis(Self::TICK_MS);
                self.remove_ended_mailboxes();
                if self.handle(Event::Tick).is_break() {
                    return;
                }
            }
            if now >= next_sweep {
                next_sweep = now + Millis(Self::SWEEP_MS);
                let unix = self.clock.unix();
                if self.handle(Event::WallClock { unix }).is_break() {
                    return;
                }
                self.sweep();
            }
            if self.receive(next_tick).is_break() {
                return;
            }
        }
    }

    fn receive(&mut self, next_tick: Millis) -> ControlFlow<()> {
        for _ in 0..Self::BATCH {
            let Ok(input) = self.inbox.events.try_recv() else { break };
            self.handle_input(input)?;
        }
        for _ in 0..Self::BATCH {
            let Ok(input) = self.inbox.arrivals.try_recv() else { break };
            self.handle_input(input)?;
        }
        if !self.inbox.events.is_empty() || !self.inbox.arrivals.is_empty() {
            return ControlFlow::Continue(());
        }
        let wait = next_tick.since(self.clock.now()).duration();
        let received = crossbeam_channel::select! {
            recv(self.inbox.events) -> input => input.map_err(|_| RecvTimeoutError::Disconnected),
            recv(self.inbox.arrivals) -> input => input.map_err(|_| RecvTimeoutError::Disconnected),
            default(wait) => Err(RecvTimeoutError::Timeout),
        };
        match received {
            Ok(input) => self.handle_input(input),
            Err(RecvTimeoutError::Timeout) => ControlFlow::Continue(()),
            Err(RecvTimeoutError::Disconnected) => ControlFlow::Break(()),
        }
    }

    fn handle_input(&mut self, input: ControlInput) -> ControlFlow<()> {
        match input {
            ControlInput::Halt => ControlFlow::Break(()),
            ControlInput::Event(event) => {
                if let Event::Attempt { request, report: AttemptReport::Ended(_), .. } = &event {
                    self.ended.push_back(*request);
                }
                self.handle(event)
            }
            ControlInput::Request(arrival, mailbox) => {
                self.mailboxes.insert(arrival.request, mailbox);
                self.handle(Event::Arrived(arrival))
            }
            ControlInput::Operator(request, sender) => {
                self.calls += 1;
                let call = CallId(self.calls);
                self.operators.insert(call, sender);
                self.handle(Event::OperatorCall { call, request })
            }
        }
    }

    fn handle(&mut self, event: Event) -> ControlFlow<()> {
        let commands = self.control.handle(self.clock.now(), event);
        for command in commands {
            self.execute(command)?;
        }
        self.ready.store(self.control.is_ready(), Ordering::Relaxed);
        ControlFlow::Continue(())
    }

    fn execute(&mut self, command: Command) -> ControlFlow<()> {
        match command {
            Command::Start(start) => {
                self.metrics.count("attempts");
                self.send_directive(start.request, Directive::Start(Box::new(start)));
            }
            Command::Release { request, attempt } => {
                self.send_directive(request, Directive::Release(attempt));
            }
            Command::Cancel { request, attempt } => {
                self.send_directive(request, Directive::Cancel(attempt));
            }
            Command::Refuse { request, refusal } => {
                self.metrics.count_by("refusals", refusal.code.as_str());
                self.send_directive(request, Directive::Refuse(refusal));
            }
            Command::ListModels { request, models } => {
                self.send_directive(request, Directive::ListModels(models));
            }
            Command::IssueTicket { request, ticket } => {
                self.metrics.count("tickets");
                self.send_directive(request, Directive::Ticket(ticket));
            }
            Command::Replay { request, first, otherwise } => {
                self.metrics.count("replays");
                self.send_directive(request, Directive::Replay { first, otherwise });
            }
            Command::Forward { request, address, otherwise } => {
                self.metrics.count("forwards");
                self.send_directive(request, Directive::Forward { address, otherwise });
            }
            Command::AnswerOperator { call, answer } => {
                if let Some(sender) = self.operators.remove(&call) {
                    let _ = sender.send(answer);
                }
            }
            Command::LogRoute(decision) => Self::log_route(&decision),
            Command::Stop => return ControlFlow::Break(()),
            command => self.executor.execute(command),
        }
        ControlFlow::Continue(())
    }

    fn send_directive(&mut self, request: RequestNumber, directive: Directive) {
        if let Some(mailbox) = self.mailboxes.get(&request) {
            let _ = mailbox.send(directive);
        }
    }

    fn log_route(decision: &RouteDecision) {
        let passed_over = serde_json::to_string(&decision.passed_over).unwrap_or_default();
        tracing::info!(
            request = %decision.request,
            attempt = %decision.attempt,
            team = %decision.team,
            target = %decision.target,
            server = %decision.server,
            reason = %decision.reason,
            waited_ms = decision.waited.0,
            %passed_over,
            "route"
        );
    }

    /// Removes the closed mailboxes of requests whose attempt has ended, a bounded number per call,
    /// so that the cleanup delays no request.
    fn remove_ended_mailboxes(&mut self) {
        for _ in 0..self.ended.len().min(Self::CLEANUP_BATCH) {
            let Some(request) = self.ended.pop_front() else { return };
            match self.mailboxes.get(&request) {
                Some(mailbox) if mailbox.is_closed() => drop(self.mailboxes.remove(&request)),
                Some(_) => self.ended.push_back(request),
                None => {}
            }
        }
    }

    /// Removes all closed mailboxes, including those of requests without an attempt, and reports
    /// gauges.
    fn sweep(&mut self) {
        self.mailboxes.retain(|_, mailbox| !mailbox.is_closed());
        for cause in self.readers.sweep() {
            self.metrics.count_by("unread_answers_lost", cause.as_str());
        }
        self.control.set_wall_clock(self.clock.now(), self.clock.unix());
        let status = self.control.status(self.clock.now());
        self.metrics.gauge("requests", status.requests as u64);
        self.metrics.gauge("queued", status.queued as u64);
        self.metrics.gauge("revision", status.revision.0);
        let reached = status.peers.iter().filter(|peer| peer.in_reach).count();
        self.metrics.gauge("peers_in_reach", reached as u64);
        self.metrics.gauge("peers_out_of_reach", (status.peers.len() - reached) as u64);
        if let Some(age) = status.log_age {
            self.metrics.gauge("log_age_ms", age.0);
        }
        if let Some(age) = status.members_age {
            self.metrics.gauge("members_age_ms", age.0);
        }
    }
}
