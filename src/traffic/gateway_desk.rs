//! Serves the callers of routes, and the balancer's questions.

use super::*;

/// The path at which entry VMs ask each other.
pub const RELAY_PATH: &str = "/guavapass/v1/relay";

/// Serves the callers of routes.
#[derive(Clone)]
pub struct GatewayDesk {
    shared: Arc<GatewayShared>,
}

/// What all exchanges with callers of routes share.
pub struct GatewayShared {
    /// The control thread.
    pub handle: GatewayHandle,
    /// What the control thread lets the traffic threads know.
    pub state: Arc<GatewayFlags>,
    /// The largest answer that is held whole.
    pub answer_limit: ByteSize,
    /// The callers' connections.
    pub connections: Arc<ConnectionTable>,
    /// The open exchanges.
    pub exchanges: ExchangeCount,
    /// The counters and histograms.
    pub metrics: MetricPage,
    numbers: AtomicU64,
}

/// What the control thread lets the traffic threads know without a message.
#[derive(Debug)]
pub struct GatewayFlags {
    /// Whether the VM takes new work.
    pub is_ready: AtomicBool,
    /// Whether the VM is ending, so that callers should open their next connection elsewhere.
    pub is_ending: AtomicBool,
    /// The largest body of a request, in bytes.
    pub body_limit: AtomicU64,
    /// The largest head of a request, in bytes.
    pub head_limit: AtomicU64,
}

impl Default for GatewayFlags {
    fn default() -> Self {
        /// What is taken before a configuration names a limit.
        const FIRST_LIMIT_BYTES: u64 = 1_024 * 1_024;
        Self {
            is_ready: AtomicBool::new(false),
            is_ending: AtomicBool::new(false),
            body_limit: AtomicU64::new(FIRST_LIMIT_BYTES),
            head_limit: AtomicU64::new(FIRST_LIMIT_BYTES),
        }
    }
}

/// A caller's request, read whole.
#[derive(Debug)]
pub struct RoutedCall {
    /// The caller's id of it.
    pub caller_id: SmolStr,
    /// The head.
    pub head: http::request::Parts,
    /// The body.
    pub body: Bytes,
}

impl GatewayDesk {
    /// The path of the counters and histograms.
    pub const METRICS_PATH: &'static str = "/metrics";
    /// The largest question of another entry VM: one that tells a VM that has just started all held
    /// sessions, and what is known of servers and versions.
    pub const POLL_LIMIT: ByteSize = ByteSize(256 * 1_024);
    /// The longest time that a body takes to arrive.
    const BODY_TIMEOUT_MS: u64 = 10_000;

    /// Returns a desk.
    #[must_use]
    pub fn new(
        handle: GatewayHandle,
        state: Arc<GatewayFlags>,
        answer_limit: ByteSize,
        connections: Arc<ConnectionTable>,
        metrics: MetricPage,
    ) -> Self {
        let shared = GatewayShared {
            handle,
            state,
            answer_limit,
            connections,
            exchanges: ExchangeCount::default(),
            metrics,
            numbers: AtomicU64::new(1),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns the count of open exchanges with callers.
    #[must_use]
    pub fn exchanges(&self) -> ExchangeCount {
        self.shared.exchanges.clone()
    }

    /// Answers one request.
    pub async fn serve(&self, request: WebRequest) -> WebResponse {
        let connection = self.shared.connections.get(request.body().socket_addr());
        let mut response = match connection {
            Some(connection) => self.take(request, connection).await,
            None if request.uri().path() == RELAY_PATH => self.relay(request).await,
            None => self.status(&request),
        };
        if self.shared.state.is_ending.load(Ordering::Relaxed) {
            let close = http::HeaderValue::from_static("close");
            response.headers_mut().insert(http::header::CONNECTION, close);
        }
        response
    }

    /// Answers a request on the address that is not for callers.
    fn status(&self, request: &WebRequest) -> WebResponse {
        match request.uri().path() {
            READY_PATH if self.shared.state.is_ready.load(Ordering::Relaxed) => {
                reply::plain(200, "ready\n")
            }
            READY_PATH => reply::plain(503, "not ready\n"),
            Self::METRICS_PATH => reply::plain(200, self.shared.metrics.text()),
            _ => reply::plain(404, "There is nothing at this path.\n"),
        }
    }

    /// Answers another entry VM.
    async fn relay(&self, request: WebRequest) -> WebResponse {
        let (_, body) = request.into_parts();
        let (_, body) = body.replace_body(());
        let Ok(body) = read_body(body, Self::POLL_LIMIT).await else {
            return reply::plain(400, "The body cannot be read.\n");
        };
        let Ok(poll) = rmp_serde::from_slice(&body) else {
            return reply::plain(400, "The body is not a poll.\n");
        };
        let Some(answer) = self.shared.handle.poll(poll).await else {
            return reply::plain(503, "This entry VM is ending.\n");
        };
        match rmp_serde::to_vec(&answer) {
            Ok(body) => reply::plain(200, body),
            Err(error) => {
                tracing::error!(%error, "an answer to an entry VM cannot be encoded");
                reply::plain(500, "")
            }
        }
    }

    async fn take(&self, request: WebRequest, connection: Arc<CallerConnection>) -> WebResponse {
        let open = self.shared.exchanges.enter();
        let number = RequestNumber(self.shared.numbers.fetch_add(1, Ordering::Relaxed));
        let (head, body) = request.into_parts();
        let (_, body) = body.replace_body(());
        let read = self.read(number, head, body).await;
        let (call, arrival) = match read {
            Ok(read) => read,
            Err(refusal) => {
                tracing::info!(
                    request = number.0,
                    code = refusal.code.as_str(),
                    reason = %refusal.message,
                    "refused unread"
                );
                return refusal_response(&refusal, number);
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
        let declared = head.headers.get(http::header::CONTENT_LENGTH);
        let declared = declared.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let too_large = RequestError::TooLarge { limit }.refusal();
        if declared.is_some_and(|length| length > limit.0) {
            return Err(too_large);
        }
        let timeout = Duration::from_millis(Self::BODY_TIMEOUT_MS);
        let body = tokio::time::timeout(timeout, read_body(body, limit))
            .await
            .map_err(|_| RequestError::TooSlow { limit: Millis(Self::BODY_TIMEOUT_MS) }.refusal())?
            .map_err(|error| error.refusal())?;
        let arrival = read_arrival(number, &head, &body)
            .map_err(|error| Refusal::not_run(RefusalCode::BadRequest, error.to_string()))?;
        Ok((RoutedCall { caller_id: arrival.caller_id.clone(), head, body }, arrival))
    }
}
