use super::{caller_request::CallerOrigin, *};
use std::cell::RefCell;

/// The HTTP handler of the listener for callers.
#[derive(Clone)]
pub struct CallerHandler {
    shared: Arc<CallerShared>,
}

/// The state shared by all exchanges with callers.
pub(super) struct CallerShared {
    pub(super) settings: CallerSettings,
    pub(super) identity: VmIdentity,
    pub(super) handle: ControlHandle,
    pub(super) rating_texts: Arc<RatingTextCache>,
    pub(super) store: AnswerStore,
    pub(super) peer_keys: KeyRing,
    pub(super) exchanges: ExchangeCount,
    /// The memory for the bodies of all requests, and of all answers that are being collected.
    pub(super) bodies: ByteBudget,
    /// The callers whose answers are under way.
    pub(super) readers: Arc<ReaderTable>,
    ready: Arc<AtomicBool>,
    connections: Arc<ConnectionTable>,
    numbers: AtomicU64,
}

thread_local! {
    static CLIENT: RefCell<Option<upstream::UpstreamClient>> = const { RefCell::new(None) };
}

impl CallerShared {
    /// Returns the HTTP client of this thread, which pools connections to backend servers.
    pub(super) fn client() -> upstream::UpstreamClient {
        CLIENT.with_borrow_mut(|client| client.get_or_insert_with(upstream::client).clone())
    }

    /// Returns the id that identifies a request of this VM across all VMs.
    pub(super) fn request_id(&self, number: RequestNumber) -> RequestId {
        RequestId { vm: self.identity.vm.clone(), incarnation: self.identity.incarnation, number }
    }
}

/// The endpoint that the method and path of a request select.
enum Route {
    Health,
    Ready,
    Models,
    Chat,
    Ticket,
    Service(SmolStr),
}

impl CallerHandler {
    const BODY_MEMORY: ByteSize = ByteSize(64 * 1_024 * 1_024);

    /// Creates the handler; request numbers start at 1.
    #[must_use]
    pub fn new(
        settings: CallerSettings,
        identity: VmIdentity,
        handle: &ControlHandle,
        rating_texts: Arc<RatingTextCache>,
        ready: &Arc<AtomicBool>,
        connections: &Arc<ConnectionTable>,
        peer_keys: &KeyRing,
    ) -> Self {
        let bodies = ByteBudget::new(Self::BODY_MEMORY);
        let shared = CallerShared {
            settings,
            identity,
            handle: handle.clone(),
            rating_texts,
            store: AnswerStore::default(),
            peer_keys: peer_keys.clone(),
            exchanges: ExchangeCount::default(),
            readers: Arc::new(ReaderTable::new(ReaderBounds::default(), bodies.clone())),
            bodies,
            ready: Arc::clone(ready),
            connections: Arc::clone(connections),
            numbers: AtomicU64::new(1),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns the counter of open exchanges with callers.
    #[must_use]
    pub fn exchanges(&self) -> ExchangeCount {
        self.shared.exchanges.clone()
    }

    /// Returns the secrets shared by the entry VMs, which authenticate forwarded requests.
    pub(super) fn peer_keys(&self) -> &KeyRing {
        &self.shared.peer_keys
    }

    /// Returns the memory for the bodies of requests and answers.
    pub(super) fn bodies(&self) -> &ByteBudget {
        &self.shared.bodies
    }

    /// Returns the callers whose answers are under way.
    #[must_use]
    pub fn readers(&self) -> Arc<ReaderTable> {
        Arc::clone(&self.shared.readers)
    }

    /// Answers a request forwarded by another entry VM; only service calls are forwarded.
    pub(super) async fn serve_forwarded(&self, request: WebRequest) -> WebResponse {
        let service = match Self::route(&request) {
            Ok(Route::Service(service)) => Ok(Route::Service(service)),
            _ => Err(RequestError::NotFound),
        };
        match service {
            Ok(route) => self.serve_route(request, route, ArrivalSource::Peer).await,
            Err(error) => self.refuse(&error.refusal()),
        }
    }

    /// Answers one request of a caller.
    pub async fn serve(&self, request: WebRequest) -> WebResponse {
        match Self::route(&request) {
            Ok(Route::Health) => reply::plain(200, "ok\n"),
            Ok(Route::Ready) if self.shared.ready.load(Ordering::Relaxed) => {
                reply::plain(200, "ready\n")
            }
            Ok(Route::Ready) => reply::plain(503, "not ready\n"),
            Ok(route) => self.serve_route(request, route, ArrivalSource::Caller).await,
            Err(error) => self.refuse(&error.refusal()),
        }
    }

    fn route(request: &WebRequest) -> Result<Route, RequestError> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&http::Method::GET, "/healthz") => Ok(Route::Health),
            (&http::Method::GET, "/readyz") => Ok(Route::Ready),
            (&http::Method::GET, "/v1/models") => Ok(Route::Models),
            (&http::Method::POST, "/v1/chat/completions") => Ok(Route::Chat),
            (&http::Method::POST, "/guavapass/v1/tickets") => Ok(Route::Ticket),
            _ => {
                let rest = path.strip_prefix("/services/").ok_or(RequestError::NotFound)?;
                let service = rest.split('/').next().unwrap_or_default();
                Ok(Route::Service(service.into()))
            }
        }
    }

    fn next_number(&self) -> RequestNumber {
        RequestNumber(self.shared.numbers.fetch_add(1, Ordering::Relaxed))
    }

    fn refuse(&self, refusal: &Refusal) -> WebResponse {
        reply::refusal(refusal, &self.shared.request_id(self.next_number()))
    }

    async fn serve_route(
        &self,
        request: WebRequest,
        route: Route,
        source: ArrivalSource,
    ) -> WebResponse {
        let open = self.shared.exchanges.open_exchange();
        let (head, body) = request.into_parts();
        let connection = self.shared.connections.get(body.socket_addr());
        let connection = connection.map(CallerConnection::open_request);
        let (_, body) = body.replace_body(());
        let number = self.next_number();
        let earlier = earlier_run(&head.headers, &route);
        let read = self.read(&head, body, &route, source, connection.as_deref()).await;
        let arrival = read.and_then(|request| {
            let arrival =
                request.arrival(number, &head.headers, Self::target(&route, &request)?)?;
            Ok((request, arrival))
        });
        let (request, arrival) = match arrival {
            Ok(arrival) => arrival,
            Err(error) => {
                let refusal = error.refusal().with_run(earlier);
                let mut response = reply::refusal(&refusal, &self.shared.request_id(number));
                if let Some(connection) = connection {
                    connection.discard_rest();
                }
                response.headers_mut().insert(http::header::CONNECTION, reply::CLOSE);
                return response;
            }
        };
        let (mailbox, directives) = tokio::sync::mpsc::unbounded_channel();
        if let Err(refusal) = self.shared.handle.arrive(arrival, mailbox) {
            return reply::refusal(&refusal.with_run(earlier), &self.shared.request_id(number));
        }
        let shared = Arc::clone(&self.shared);
        let exchange =
            CallerExchange::new(shared, Arc::new(request), number, directives, connection);
        CountedBody::wrap(exchange.respond().await, open)
    }

    async fn read(
        &self,
        head: &http::request::Parts,
        body: RequestBody,
        route: &Route,
        source: ArrivalSource,
        connection: Option<&CallerConnection>,
    ) -> Result<CallerRequest, RequestError> {
        let settings = &self.shared.settings;
        let limit = settings.body_limit_bytes;
        if declared_length(&head.headers).is_some_and(|length| length > limit.0) {
            return Err(RequestError::TooLarge { limit });
        }
        let timeout = settings.body_timeout_ms;
        let body =
            tokio::time::timeout(timeout.duration(), read_body(body, limit, &self.shared.bodies))
                .await
                .map_err(|_| RequestError::TooSlow { limit: timeout })??;
        check_complete(&head.headers, &body.bytes, connection)?;
        let chat = match route {
            Route::Chat => Some(parse_chat(&body.bytes)?),
            _ => None,
        };
        let streams = chat.as_ref().and_then(|chat| chat.get("stream")?.as_bool());
        let mode = if streams == Some(true) { AnswerMode::Stream } else { AnswerMode::Whole };
        let path = head.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
        Ok(CallerRequest {
            method: head.method.clone(),
            path: upstream_path(path, route),
            headers: upstream_headers(&head.headers),
            body,
            chat,
            mode,
            origin: CallerOrigin {
                path: path.into(),
                authorization: head.headers.get(http::header::AUTHORIZATION).cloned(),
            },
            source,
        })
    }

    fn target(route: &Route, request: &CallerRequest) -> Result<ArrivalTarget, RequestError> {
        match route {
            Route::Service(service) => Ok(ArrivalTarget::Service(service.clone())),
            Route::Chat => {
                let model = request.chat.as_ref().and_then(|chat| chat.get("model")?.as_str());
                let expected = "a model, model@version or \"auto\"";
                let model = model.ok_or(RequestError::Field { field: "model", expected })?;
                Ok(ArrivalTarget::Model(model.into()))
            }
            Route::Ticket => Ok(ArrivalTarget::Ticket),
            Route::Health | Route::Ready | Route::Models => Ok(ArrivalTarget::ModelList),
        }
    }
}

/// Returns the run state to report for a request that is refused before it reaches the control
/// core. With an idempotency key it is unknown, as an earlier request with the same key may have
/// run.
fn earlier_run(headers: &http::HeaderMap, route: &Route) -> RunState {
    match route {
        Route::Service(_) if headers.contains_key("idempotency-key") => RunState::Unknown,
        _ => RunState::NotRun,
    }
}

fn parse_chat(body: &[u8]) -> Result<serde_json::Value, RequestError> {
    let chat: serde_json::Value = serde_json::from_slice(body)
        .map_err(|error| RequestError::Json { cause: error.to_string().into() })?;
    if !chat.get("messages").is_some_and(serde_json::Value::is_array) {
        return Err(RequestError::Field { field: "messages", expected: "a list of messages" });
    }
    Ok(chat)
}

/// Returns the path for the backend server. For a service call, the prefix `/services/NAME` is
/// removed.
fn upstream_path(path: &str, route: &Route) -> SmolStr {
    let Route::Service(service) = route else { return path.into() };
    let rest = path.strip_prefix("/services/").and_then(|rest| rest.strip_prefix(service.as_str()));
    match rest {
        Some(rest) if rest.starts_with('/') => rest.into(),
        Some(rest) => format!("/{rest}").into(),
        None => path.into(),
    }
}

/// Returns the headers for the backend server, without the caller's key and the hop-by-hop headers.
fn upstream_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut headers = headers.clone();
    reply::strip_hop_headers(&mut headers);
    headers.remove(http::header::AUTHORIZATION);
    headers.remove(http::header::HOST);
    headers.remove(http::header::EXPECT);
    headers
}

/// Reads a whole body; returns [`RequestError::TooLarge`] as soon as it exceeds the limit, and
/// [`RequestError::OutOfMemory`] as soon as it exceeds its part of the budget. It may be a part of
/// the body, see [`check_complete`].
pub(super) async fn read_body(
    body: RequestBody,
    limit: ByteSize,
    budget: &ByteBudget,
) -> Result<HeldBytes, RequestError> {
    let mut body = std::pin::pin!(body);
    let mut buffer = HeldBuffer::new(budget);
    loop {
        let frame = std::future::poll_fn(|context| body.as_mut().poll_frame(context)).await;
        let Some(frame) = frame else { return Ok(buffer.freeze()) };
        let Ok(frame) = frame else { return Err(RequestError::Broken) };
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len() as u64 + data.len() as u64 > limit.0 {
            return Err(RequestError::TooLarge { limit });
        }
        buffer.push(&data).map_err(|cause| RequestError::OutOfMemory { cause })?;
    }
}

/// Checks that a body which was read to its end is complete. xitca-web reports the end of the input
/// as the end of the body: a shorter body than declared is a part, and so is a body in chunks if the
/// input has ended with it.
///
/// # Errors
///
/// Returns [`RequestError::Broken`] if it is only a part.
pub(super) fn check_complete(
    headers: &http::HeaderMap,
    body: &Bytes,
    connection: Option<&CallerConnection>,
) -> Result<(), RequestError> {
    let is_whole = match declared_length(headers) {
        Some(length) => body.len() as u64 == length,
        None if headers.contains_key(http::header::TRANSFER_ENCODING) => {
            !connection.is_some_and(CallerConnection::has_input_ended)
        }
        None => true,
    };
    if is_whole { Ok(()) } else { Err(RequestError::Broken) }
}

/// Returns the length of a body as its `Content-Length` states it.
pub(super) fn declared_length(headers: &http::HeaderMap) -> Option<u64> {
    headers.get(http::header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
