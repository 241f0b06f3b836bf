//! The HTTP handler in gateway mode: callers of routes, polls of other entry VMs, readiness checks
//! of the load balancer and metrics.

use super::*;

/// The path at which entry VMs poll each other.
pub const RELAY_PATH: &str = "/guavapass/v1/relay";

/// The HTTP handler of all listeners in gateway mode.
#[derive(Clone)]
pub struct GatewayHandler {
    shared: Arc<GatewayShared>,
}

/// The state shared by all exchanges with callers of routes.
pub struct GatewayShared {
    /// Sends to the control thread.
    pub handle: GatewayHandle,
    /// The flags and limits that the control thread updates.
    pub state: Arc<GatewayFlags>,
    /// The size limit of an answer that is buffered completely.
    pub answer_limit: ByteSize,
    /// The memory for the bodies of all requests and answers.
    pub bodies: ByteBudget,
    /// The callers whose answers are under way.
    pub readers: Arc<ReaderTable>,
    /// The connections of callers, which detect disconnects.
    pub connections: Arc<ConnectionTable>,
    /// The metrics that are shown at [`GatewayHandler::METRICS_PATH`].
    pub metrics: MetricPage,
    numbers: AtomicU64,
}

/// The limits on the bodies that are held in memory.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// One answer.
    pub answer: ByteSize,
    /// All requests and answers together.
    pub all: ByteSize,
}

/// The state that the control thread shares with the traffic threads through atomics.
#[derive(Debug)]
pub struct GatewayFlags {
    /// Whether the VM accepts new requests.
    pub is_ready: AtomicBool,
    /// Whether the VM is shutting down. Responses then close their connections, so that callers
    /// connect to another VM.
    pub is_ending: AtomicBool,
    /// The counter of open exchanges: requests that are being read or answered.
    pub exchanges: ExchangeCount,
    /// The size limit of a request body, in bytes.
    pub body_limit: AtomicU64,
    /// The size limit of the headers of a request, in bytes.
    pub head_limit: AtomicU64,
}

impl Default for GatewayFlags {
    fn default() -> Self {
        /// The limits before the first configuration is read.
        const DEFAULT_LIMIT_BYTES: u64 = 1_024 * 1_024;
        Self {
            is_ready: AtomicBool::new(false),
            is_ending: AtomicBool::new(false),
            exchanges: ExchangeCount::default(),
            body_limit: AtomicU64::new(DEFAULT_LIMIT_BYTES),
            head_limit: AtomicU64::new(DEFAULT_LIMIT_BYTES),
        }
    }
}

/// A completely read request of a caller.
#[derive(Debug)]
pub struct RoutedCall {
    /// The id that the caller gave to the request.
    pub caller_id: SmolStr,
    /// The method, URI and headers.
    pub head: http::request::Parts,
    /// The complete body.
    pub body: HeldBytes,
}

impl GatewayHandler {
    /// The path of the metrics page on the status listener.
    pub const METRICS_PATH: &'static str = "/metrics";
    /// The size limit of a poll by another entry VM. The largest poll sends all held sessions, and
    /// what is known of servers and versions, to a VM that has just started.
    pub const POLL_LIMIT: ByteSize = ByteSize(256 * 1_024);
    /// The time limit for reading the body of a request.
    const BODY_TIMEOUT_MS: u64 = 10_000;

    /// Creates the handler; request numbers start at 1.
    #[must_use]
    pub fn new(
        handle: GatewayHandle,
        state: Arc<GatewayFlags>,
        limits: &BodyLimits,
        connections: Arc<ConnectionTable>,
        metrics: MetricPage,
    ) -> Self {
        let bodies = ByteBudget::new(limits.all);
        let shared = GatewayShared {
            handle,
            state,
            answer_limit: limits.answer,
            readers: Arc::new(ReaderTable::new(ReaderBounds::default(), bodies.clone())),
            bodies,
            connections,
            metrics,
            numbers: AtomicU64::new(1),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns the counter of open exchanges with callers.
    #[must_use]
    pub fn exchanges(&self) -> ExchangeCount {
        self.shared.state.exchanges.clone()
    }

    /// Returns the callers whose answers are under way.
    #[must_use]
    pub fn readers(&self) -> Arc<ReaderTable> {
        Arc::clone(&self.shared.readers)
    }

    /// Answers one request. Connections missing from the table came through an
    /// [`InternalListener`].
    pub async fn serve(&self, request: WebRequest) -> WebResponse {
        let connection = self.shared.connections.get(request.body().socket_addr());
        let mut response = match connection {
            Some(connection) => self.serve_caller(request, connection.open_request()).await,
            None if request.uri().path() == RELAY_PATH => self.serve_poll(request).await,
            None => self.serve_status(&request),
        };
        if self.shared.state.is_ending.load(Ordering::Relaxed) {
            response.headers_mut().insert(http::header::CONNECTION, reply::CLOSE);
        }
        response
    }

    /// Answers a request for readiness or metrics.
    fn serve_status(&self, request: &WebRequest) -> WebResponse {
        match request.uri().path() {
            READY_PATH if self.shared.state.is_ready.load(Ordering::Relaxed) => {
                reply::plain(200, "ready\n")
            }
            READY_PATH => reply::plain(503, "not ready\n"),
            Self::METRICS_PATH => reply::plain(200, self.shared.metrics.text()),
            _ => reply::plain(404, "There is nothing at this path.\n"),
        }
    }

    /// Answers a poll of another entry VM.
    async fn serve_poll(&self, request: WebRequest) -> WebResponse {
        let (_, body) = request.into_parts();
        let (_, body) = body.replace_body(());
        let Ok(body) = read_body(body, Self::POLL_LIMIT, &self.shared.bodies).await else {
            return reply::plain(400, "The body cannot be read.\n");
        };
        let Ok(poll) = rmp_serde::from_slice(&body.bytes) else {
            return reply::plain(400, "The body is not a poll.\n");
        };
        let Some(answer) = self.shared.handle.poll(poll).await else {
            return reply::plain(503, "This entry VM is ending.\n");
        };
        match rmp_serde::to_vec(&answer) {
            Ok(body) => reply::plain(200, body),
            Err(error) => {
                tracing::error!(%error, "cannot encode the answer to a poll");
                reply::plain(500, "")
            }
        }
    }

    async fn serve_caller(&self, request: WebRequest, connection: OpenRequest) -> WebResponse {
        let open = self.shared.state.exchanges.open_exchange();
        let number = RequestNumber(self.shared.numbers.fetch_add(1, Ordering::Relaxed));
        let (head, body) = request.into_parts();
        let (_, body) = body.replace_body(());
        let read = self.read(number, head, body, &connection).await;
        let (call, arrival) = match read {
            Ok(read) => read,
            Err(refusal) => {
                tracing::info!(
                    request = number.0,
                    code = refusal.code.as_str(),
                    reason = %refusal.message,
                    "request refused before routing"
                );
                let mut response = refusal_response(&refusal, number);
                connection.discard_rest();
                response.headers_mut().insert(http::header::CONNECTION, reply::CLOSE);
                return response;
            }
        };
        let (mailbox, directives) = tokio::sync::mpsc::unbounded_channel();
        if let Err(refusal) = self.shared.handle.arrive(arrival, mailbox) {
            return refusal_response(&refusal, number);
        }
        let shared = Arc::clone(&self.shared);
        let exchange = GatewayExchange::new(shared, Arc::new(call), number, directives, connection);
        CountedBody::wrap(exchange.respond().await, open)
    }

    async fn read(
        &self,
        number: RequestNumber,
        head: http::request::Parts,
        body: RequestBody,
        connection: &CallerConnection,
    ) -> Result<(RoutedCall, RoutedArrival), Refusal> {
        let state = &self.shared.state;
        let head_bytes: usize =
            head.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        let head_limit = state.head_limit.load(Ordering::Relaxed);
        if head_bytes as u64 > head_limit {
            let message =
                format!("The head is larger than {head_limit} bytes; send a smaller one.");
            return Err(Refusal::not_run(RefusalCode::HeadTooLarge, message));
        }
        let limit = ByteSize(state.body_limit.load(Ordering::Relaxed));
        let too_large = RequestError::TooLarge { limit }.refusal();
        if declared_length(&head.headers).is_some_and(|length| length > limit.0) {
            return Err(too_large);
        }
        let timeout = Duration::from_millis(Self::BODY_TIMEOUT_MS);
        let body = tokio::time::timeout(timeout, read_body(body, limit, &self.shared.bodies))
            .await
            .map_err(|_| RequestError::TooSlow { limit: Millis(Self::BODY_TIMEOUT_MS) }.refusal())?
            .map_err(|error| error.refusal())?;
        check_complete(&head.headers, &body.bytes, Some(connection))
            .map_err(|error| error.refusal())?;
        let arrival = read_arrival(number, &head, &body.bytes)
            .map_err(|error| Refusal::not_run(RefusalCode::BadRequest, error.to_string()))?;
        Ok((RoutedCall { caller_id: arrival.caller_id.clone(), head, body }, arrival))
    }
}
