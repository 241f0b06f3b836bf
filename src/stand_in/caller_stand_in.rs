//! A fake caller.

use super::*;
use hyper_util::client::legacy::connect::HttpConnector;

/// An HTTP client that records and times the answers to its calls and never retries. It must be
/// used inside a tokio runtime.
#[derive(Clone)]
pub struct CallerStandIn {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl CallerStandIn {
    /// Returns a caller of the server at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Self { address, client }
    }

    /// Sends a call and reads the answer until it ends or the connection fails.
    pub async fn send(&self, call: &CallRequest) -> CallOutcome {
        let start = Instant::now();
        let mut outcome = CallOutcome {
            status: None,
            headers: http::HeaderMap::new(),
            body: Bytes::new(),
            broken: None,
            first_byte: Duration::ZERO,
            whole: Duration::ZERO,
        };
        match self.client.request(self.request(call)).await {
            Ok(response) => read_answer(start, response, &mut outcome).await,
            Err(error) => outcome.broken = Some(error.to_string().into()),
        }
        outcome.whole = start.elapsed();
        outcome
    }

    fn request(&self, call: &CallRequest) -> Request<Full<Bytes>> {
        let uri = format!("http://{}{}", self.address, call.path);
        let mut builder = Request::builder().method(call.method.clone()).uri(uri);
        for (name, value) in &call.headers {
            builder = builder.header(name.as_str(), value);
        }
        let body = if call.body.is_null() { String::new() } else { call.body.to_string() };
        let request = builder.header(CONTENT_TYPE, "application/json").body(body.into());
        request.expect("a test's call is well formed")
    }
}

async fn read_answer(
    start: Instant,
    response: Response<hyper::body::Incoming>,
    outcome: &mut CallOutcome,
) {
    let (head, mut body) = response.into_parts();
    outcome.status = Some(head.status.as_u16());
    outcome.headers = head.headers;
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame.map(Frame::into_data) {
            Ok(Ok(data)) => {
                if bytes.is_empty() {
                    outcome.first_byte = start.elapsed();
                }
                bytes.extend_from_slice(&data);
            }
            Ok(Err(_trailers)) => {}
            Err(error) => {
                outcome.broken = Some(error.to_string().into());
                break;
            }
        }
    }
    outcome.body = bytes.into();
}
