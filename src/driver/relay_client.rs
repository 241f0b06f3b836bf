use super::*;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::{Client, connect::HttpConnector};

/// Asks other entry VMs for what they have read from the store.
pub(super) struct RelayClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl RelayClient {
    /// How much longer than the wait that it asked for a poll may take. Within a data centre an
    /// answer is there in a millisecond; a reader that has stopped has to be noticed soon.
    const ANSWER_MS: u64 = 250;
    const CONNECT_TIMEOUT_MS: u64 = 200;
    const IDLE_MS: u64 = 5_000;
    /// Larger than a configuration with many routes and some hundred servers.
    const ANSWER_LIMIT_BYTES: usize = 8 * 1_024 * 1_024;

    pub(super) fn new() -> Self {
        let connector = http_connector(Millis(Self::CONNECT_TIMEOUT_MS));
        let client = Client::builder(hyper_util::rt::TokioExecutor::new())
            .pool_idle_timeout(Duration::from_millis(Self::IDLE_MS))
            .pool_max_idle_per_host(1)
            .build(connector);
        Self { client }
    }

    /// Returns the answer; none if there is none in time, or none that can be read.
    pub(super) async fn ask(&self, address: SocketAddr, poll: &RelayPoll) -> Option<RelayAnswer> {
        let timeout = poll.wait.duration() + Duration::from_millis(Self::ANSWER_MS);
        let answer = tokio::time::timeout(timeout, self.exchange(address, poll)).await;
        let answer = answer.unwrap_or_else(|_| Err("no answer in time".into()));
        answer
            .inspect_err(|cause| tracing::debug!(%address, %cause, "an entry VM does not answer"))
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
        let body = Limited::new(response.into_body(), Self::ANSWER_LIMIT_BYTES).collect().await;
        let body = body.map_err(|error| text(&error))?.to_bytes();
        rmp_serde::from_slice(&body).map_err(|error| text(&error))
    }
}
