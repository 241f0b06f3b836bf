use super::*;

/// Executes the commands that call the platform, backend servers or peers.
pub(super) struct CommandExecutor {
    pub(super) runtime: tokio::runtime::Handle,
    pub(super) handle: ControlHandle,
    pub(super) log: Arc<dyn LogService>,
    pub(super) members: Arc<dyn MembershipService>,
    pub(super) loads: Arc<dyn LoadReports>,
    pub(super) ratings: Arc<dyn RatingService>,
    pub(super) orders: Arc<dyn EngineOrders>,
    pub(super) clock: Clock,
    pub(super) rating_texts: Arc<RatingTextCache>,
    pub(super) peers: Arc<PeerClient>,
}

impl CommandExecutor {
    /// Spawns the task of a command, which sends its result to the control thread as an event.
    pub(super) fn execute(&self, command: Command) {
        let handle = self.handle.clone();
        match command {
            Command::Append { append, stream, records } => {
                let log = Arc::clone(&self.log);
                self.runtime.spawn(async move {
                    let result = log.append(&stream, &records).await;
                    handle.send(Event::Appended { append, result });
                });
            }
            Command::ReadLog { stream, from, wait } => {
                let log = Arc::clone(&self.log);
                self.runtime.spawn(async move {
                    let result = log.read(&stream, from, wait).await;
                    handle.send(Event::LogRead { stream, result });
                });
            }
            Command::ReadMembers => {
                let members = Arc::clone(&self.members);
                self.runtime.spawn(async move {
                    handle.send(Event::MembersRead(members.members().await));
                });
            }
            Command::ReadLoadReport { server, address } => {
                let loads = Arc::clone(&self.loads);
                self.runtime.spawn(async move {
                    let result = loads.load(address).await;
                    handle.send(Event::LoadReportRead { server, result });
                });
            }
            Command::Order(order) => self.send_order(order),
            Command::Rate { request, attempt, version } => {
                self.request_rating(request, attempt, version);
            }
            Command::Send { to, address, message } => {
                let peers = Arc::clone(&self.peers);
                self.runtime.spawn(async move { peers.send(to, address, message).await });
            }
            Command::Start(_)
            | Command::Release { .. }
            | Command::Cancel { .. }
            | Command::Refuse { .. }
            | Command::ListModels { .. }
            | Command::IssueTicket { .. }
            | Command::Replay { .. }
            | Command::Forward { .. }
            | Command::AnswerOperator { .. }
            | Command::LogRoute(_)
            | Command::Stop => {
                tracing::error!(?command, "command cannot be executed as a background task");
            }
        }
    }

    /// Sends an order to an engine, unless the lease under which it was issued may have expired.
    fn send_order(&self, order: EngineOrder) {
        let orders = Arc::clone(&self.orders);
        let handle = self.handle.clone();
        let clock = self.clock.clone();
        self.runtime.spawn(async move {
            let result = if clock.now() < order.expires {
                orders.order(&order).await
            } else {
                Err(OrderError::Expired)
            };
            handle.send(Event::OrderAnswered { order: order.id, result });
        });
    }

    fn request_rating(&self, request: RequestNumber, attempt: AttemptId, version: VersionId) {
        let Some((question, answer)) = self.rating_texts.get(request, attempt) else { return };
        let ratings = Arc::clone(&self.ratings);
        let handle = self.handle.clone();
        self.runtime.spawn(async move {
            let result = ratings.rate(&version, &question, &answer).await;
            handle.send(Event::Rated { request, attempt, result });
        });
    }
}
