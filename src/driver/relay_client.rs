use super::*;
use http_body_util::Full;
use hyper_util::client::legacy::{Client, connect::HttpConnector};

/// Polls other entry VMs for the records that they have read from the store.
pub(super) struct RelayClient {
    client: Client<HttpConnector, Full<Bytes>>,
    /// The memory for answers that are being received.
    bodies: ByteBudget,
}

impl RelayClient {
    /// The time that a poll may take beyond the wait that it requested. Within a data centre an
    /// answer takes about a millisecond, and a reader that has stopped must be detected soon.
    const ANSWER_MS: u64 = 250;
    const CONNECT_TIMEOUT_MS: u64 = 200;
    const IDLE_MS: u64 = 5_000;
    /// Leaves room for a configuration with many routes and several hundred servers.
    const ANSWER_LIMIT: ByteSize = ByteSize(8 * 1_024 * 1_024);
    /// All answers that are being received together. One alone may have up to 7 MB of it.
    const ANSWER_MEMORY: ByteSize = ByteSize(16 * 1_024 * 1_024);
    /// The head of an answer, and what is read of its body at a time.
    const READ_BUFFER_BYTES: usize = 64 * 1_024;

    pub(super) fn new() -> Self {
        let connector = http_connector(Millis(Self::CONNECT_TIMEOUT_MS));
        let client = Client::builder(hyper_util::rt::TokioExecutor::new())
            .pool_idle_timeout(Duration::from_millis(Self::IDLE_MS))
            .pool_max_idle_per_host(1)
            .http1_max_buf_size(Self::READ_BUFFER_BYTES)
            .build(connector);
        Self { client, bodies: ByteBudget::new(Self::ANSWER_MEMORY) }
    }

    /// Returns the answer; `None` if it does not arrive in time or cannot be decoded.
    pub(super) async fn poll(&self, address: SocketAddr, poll: &RelayPoll) -> Option<RelayAnswer> {
        let timeout = poll.wait.duration() + Duration::from_millis(Self::ANSWER_MS);
        let answer = tokio::time::timeout(timeout, self.exchange(address, poll)).await;
        let answer = answer.unwrap_or_else(|_| Err("no answer in time".into()));
        answer
            .inspect_err(|cause| tracing::debug!(%address, %cause, "poll of entry VM failed"))
            .ok()
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        poll: &RelayPoll,
    ) -> Result<RelayAnswer, SmolStr> {
        let text = |error: &dyn Display| SmolStr::new(error.to_string());
        let body = rmp_serde::to_vec(poll).map_err(|error| text(&error))?;
        let request = http::Request::post(format!("http://{address}{RELAY_PATH}"))
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| text(&error))?;
        let response = self.client.request(request).await.map_err(|error| text(&error))?;
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()).into());
        }
        let body =
            HeldBuffer::collect(response.into_body(), Self::ANSWER_LIMIT, &self.bodies).await;
        let body = body.map_err(|error| text(&error))?;
        rmp_serde::from_slice(&body.bytes).map_err(|error| {
            tracing::warn!(%address, %error, "cannot decode the answer of an entry VM");
            text(&error)
        })
    }
}
