use super::*;
use http_body_util::Full;
use hyper_util::client::legacy::{Client, connect::HttpConnector};

/// Sends messages to other entry VMs.
pub(super) struct PeerClient {
    name: PeerName,
    secret: Secret,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl PeerClient {
    const SEND_TIMEOUT_MS: u64 = 2_000;

    pub(super) fn new(name: PeerName, secret: Secret) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(Self::SEND_TIMEOUT_MS)));
        let client = Client::builder(hyper_util::rt::TokioExecutor::new()).build(connector);
        Self { name, secret, client }
    }

    /// Sends a message; a lost one is not sent again.
    pub(super) async fn send(&self, address: SocketAddr, message: &PeerMessage) {
        let Ok(body) = rmp_serde::to_vec(&(&self.name, message)) else { return };
        let bearer = format!("Bearer {}", hex::encode(self.secret.bytes()));
        let request = http::Request::post(format!("http://{address}{PEER_PATH}"))
            .header(http::header::AUTHORIZATION, bearer)
            .body(Full::new(Bytes::from(body)));
        let Ok(request) = request else { return };
        let timeout = Duration::from_millis(Self::SEND_TIMEOUT_MS);
        let sent = tokio::time::timeout(timeout, self.client.request(request)).await;
        if !matches!(sent, Ok(Ok(_))) {
            tracing::debug!(%address, "message to a peer lost");
        }
    }
}
