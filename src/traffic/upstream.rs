//! An attempt to answer a request at one backend server.

use super::{sse_scanner::UsageBody, *};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioIo,
};

/// The HTTP client of one traffic thread, which pools connections to backend servers.
pub(super) type UpstreamClient = Client<HttpConnector, Full<Bytes>>;

const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// The head of an answer, and what is read of its body at a time.
const READ_BUFFER_BYTES: usize = 32 * 1_024;
/// The number of output tokens between two progress reports.
const PROGRESS_TOKENS: u64 = 32;

/// Creates the client of a traffic thread. It does not retry requests, as the control core decides
/// about retries.
pub(super) fn client() -> UpstreamClient {
    let connector = http_connector(Millis(CONNECT_TIMEOUT_MS));
    Client::builder(hyper_util::rt::TokioExecutor::new())
        .retry_canceled_requests(false)
        .http1_max_buf_size(READ_BUFFER_BYTES)
        .build(connector)
}

/// One attempt, executed as a separate task.
pub(super) struct UpstreamAttempt {
    pub(super) start: AttemptStart,
    pub(super) request: Arc<CallerRequest>,
    pub(super) client: UpstreamClient,
    pub(super) shared: Arc<CallerShared>,
    pub(super) answer_limit: ByteSize,
    pub(super) events: QueueSender<AttemptEvent>,
}

/// The reason why an attempt failed, and the output tokens received until then.
struct Failure {
    fault: AttemptFault,
    output_tokens: Tokens,
}

impl From<AttemptFault> for Failure {
    fn from(fault: AttemptFault) -> Self {
        Self { fault, output_tokens: Tokens(0) }
    }
}

impl UpstreamAttempt {
    /// Executes the attempt and reports its outcome. An attempt that must not be repeated continues
    /// after its caller has disconnected, so that the caller gets the answer when it retries.
    pub(super) async fn run(self) {
        let events = self.events.clone();
        let outcome = tokio::select! {
            outcome = self.exchange() => outcome,
            () = events.closed(), if self.start.repeat == RepeatRule::Repeatable => {
                Err(AttemptFault::Cancelled.into())
            }
        };
        let outcome = outcome.unwrap_or_else(|failure: Failure| AttemptOutcome::Failed {
            fault: failure.fault,
            output_tokens: failure.output_tokens,
        });
        self.report(AttemptReport::Ended(outcome));
    }

    fn report(&self, report: AttemptReport) {
        let (request, attempt) = (self.start.request, self.start.attempt);
        self.shared.handle.send(Event::Attempt { request, attempt, report });
    }

    async fn exchange(&self) -> Result<AttemptOutcome, Failure> {
        let response = self.in_time(self.send()).await??;
        self.report(AttemptReport::Head);
        let (head, body) = response.into_parts();
        if matches!(self.start.target, WorkTarget::Version(_)) {
            Self::check_status(head.status)?;
        }
        let is_stream = head
            .headers
            .get(http::header::CONTENT_TYPE)
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        match self.request.mode {
            AnswerMode::Stream if is_stream => self.pass_stream(head, body).await,
            AnswerMode::Stream if head.status.is_success() && self.request.chat.is_some() => {
                Err(AttemptFault::Malformed.into())
            }
            _ => self.pass_whole(head, body).await,
        }
    }

    /// Maps the error statuses of a model engine to faults.
    fn check_status(status: http::StatusCode) -> Result<(), AttemptFault> {
        match status.as_u16() {
            404 | 429 | 503 => Err(AttemptFault::Declined),
            500..=599 => Err(AttemptFault::ServerError),
            _ => Ok(()),
        }
    }

    /// Applies the progress timeout to one step of the exchange with the server.
    async fn in_time<T>(&self, step: impl Future<Output = T>) -> Result<T, AttemptFault> {
        let timeout = self.start.progress_timeout.duration();
        tokio::time::timeout(timeout, step).await.map_err(|_| AttemptFault::Silent)
    }

    async fn send(&self) -> Result<http::Response<Incoming>, AttemptFault> {
        let request = self.upstream_request().ok_or(AttemptFault::Malformed)?;
        match self.start.repeat {
            RepeatRule::Repeatable => {
                self.report(AttemptReport::Writing);
                self.client.request(request).await.map_err(|error| {
                    if error.is_connect() {
                        AttemptFault::Unreachable
                    } else {
                        AttemptFault::Closed
                    }
                })
            }
            RepeatRule::AtMostOnce => self.send_once(request).await,
        }
    }

    /// Sends on a new connection. Thus no byte is written before [`AttemptReport::Writing`] is
    /// reported, and a failure to connect certainly means that the request has not run.
    async fn send_once(
        &self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, AttemptFault> {
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connect = tokio::net::TcpStream::connect(self.start.address);
        let Ok(Ok(stream)) = tokio::time::timeout(timeout, connect).await else {
            return Err(AttemptFault::Unreachable);
        };
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake::<_, Full<Bytes>>(TokioIo::new(stream))
            .await
            .map_err(|_| AttemptFault::Unreachable)?;
        tokio::spawn(connection);
        self.report(AttemptReport::Writing);
        sender.send_request(request).await.map_err(|_| AttemptFault::Closed)
    }

    fn upstream_request(&self) -> Option<http::Request<Full<Bytes>>> {
        let uri = match self.start.repeat {
            RepeatRule::Repeatable => format!("http://{}{}", self.start.address, self.request.path),
            RepeatRule::AtMostOnce => self.request.path.to_string(),
        };
        let body = self.request.upstream_body(&self.start);
        let mut request = http::Request::builder()
            .method(self.request.method.clone())
            .uri(uri)
            .body(Full::new(body))
            .ok()?;
        *request.headers_mut() = self.request.headers.clone();
        let host = http::HeaderValue::from_str(&self.start.address.to_string()).ok()?;
        request.headers_mut().insert(http::header::HOST, host);
        Some(request)
    }

    async fn pass_whole(
        &self,
        head: http::response::Parts,
        mut body: Incoming,
    ) -> Result<AttemptOutcome, Failure> {
        let mut buffer = HeldBuffer::new(&self.shared.bodies);
        while let Some(frame) = self.in_time(body.frame()).await? {
            let frame = frame.map_err(|_| AttemptFault::Truncated)?;
            let Ok(data) = frame.into_data() else { continue };
            if buffer.len() + data.len() > self.answer_limit.0 as usize {
                return Err(AttemptFault::TooLong.into());
            }
            buffer.push(&data).map_err(|_| AttemptFault::OutOfMemory)?;
        }
        let whole = buffer.freeze();
        let usage = self.check_whole(&head, &whole.bytes)?;
        let status = head.status.as_u16();
        let once = self.start.repeat == RepeatRule::AtMostOnce;
        if once {
            let (status, headers) = (head.status, head.headers.clone());
            let answer = StoredAnswer { status, headers, body: whole.bytes.clone() };
            self.shared.store.put(self.start.request, answer);
        }
        let passed = self.pass(AttemptEvent::Whole { head: Box::new(head), body: whole }).await;
        if !once {
            passed?;
        }
        Ok(AttemptOutcome::Whole { status, usage })
    }

    fn check_whole(
        &self,
        head: &http::response::Parts,
        body: &[u8],
    ) -> Result<TokenUsage, AttemptFault> {
        if self.request.chat.is_none() || !head.status.is_success() {
            return Ok(TokenUsage::default());
        }
        let answer: WholeAnswer =
            serde_json::from_slice(body).map_err(|_| AttemptFault::Malformed)?;
        let choice = answer.choices.first().ok_or(AttemptFault::Malformed)?;
        let text = choice.message.content.as_deref().unwrap_or_default();
        self.shared.rating_texts.put(
            self.start.request,
            self.start.attempt,
            self.request.question(),
            text,
        );
        Ok(answer.usage.map_or(TokenUsage::default(), |usage| TokenUsage {
            prompt: Tokens(usage.prompt_tokens),
            output: Tokens(usage.completion_tokens),
        }))
    }

    async fn pass_stream(
        &self,
        head: http::response::Parts,
        mut body: Incoming,
    ) -> Result<AttemptOutcome, Failure> {
        let status = head.status.as_u16();
        let mut scanner = SseScanner::default();
        let mut reported = Tokens(0);
        self.pass(AttemptEvent::Head(Box::new(head))).await?;
        while let Some(frame) = self.stream_step(&scanner, body.frame()).await? {
            let Ok(frame) = frame else {
                return Err(Self::failed(&scanner, AttemptFault::Truncated));
            };
            let Ok(data) = frame.into_data() else { continue };
            scanner.feed(&data);
            if scanner.is_malformed() {
                return Err(Self::failed(&scanner, AttemptFault::Malformed));
            }
            let output_tokens = scanner.usage().output;
            if output_tokens.0 >= reported.0 + PROGRESS_TOKENS || reported.0 == 0 {
                reported = output_tokens;
                self.report(AttemptReport::Progress { output_tokens });
            }
            self.pass(AttemptEvent::Chunk(data))
                .await
                .map_err(|fault| Self::failed(&scanner, fault))?;
        }
        if !scanner.is_done() {
            return Err(Self::failed(&scanner, AttemptFault::Truncated));
        }
        let (request, attempt) = (self.start.request, self.start.attempt);
        self.shared.rating_texts.put(request, attempt, self.request.question(), scanner.text());
        self.pass(AttemptEvent::End).await?;
        Ok(AttemptOutcome::Whole { status, usage: scanner.usage() })
    }

    async fn stream_step<T>(
        &self,
        scanner: &SseScanner,
        step: impl Future<Output = T>,
    ) -> Result<T, Failure> {
        self.in_time(step).await.map_err(|fault| Self::failed(scanner, fault))
    }

    fn failed(scanner: &SseScanner, fault: AttemptFault) -> Failure {
        Failure { fault, output_tokens: scanner.usage().output }
    }

    /// Sends an event to the exchange; waits for a bounded time while its caller is slow. The core
    /// learns that the caller is lost before the attempt ends, so that it doesn't start another.
    async fn pass(&self, event: AttemptEvent) -> Result<(), AttemptFault> {
        let passed = self.events.pass(event).await;
        if passed == Err(PassFault::Lost) {
            self.shared.handle.send(Event::CallerGone { request: self.start.request });
        }
        Ok(passed?)
    }
}

#[derive(Debug, Deserialize)]
struct WholeAnswer {
    choices: Vec<WholeChoice>,
    #[serde(default)]
    usage: Option<UsageBody>,
}

#[derive(Debug, Deserialize)]
struct WholeChoice {
    message: WholeMessage,
}

#[derive(Debug, Deserialize)]
struct WholeMessage {
    #[serde(default)]
    content: Option<String>,
}
