use super::*;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::{Client, connect::HttpConnector};

/// Sends messages to other entry VMs.
///
/// Each message is one HTTP request with a short timeout. When a connection stops responding, the
/// timeout drops it with the request, and the next message opens a new one.
pub(super) struct PeerClient {
    seal: Arc<Mutex<PeerSeal>>,
    handle: ControlHandle,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// The outcome of sending a message.
enum SendOutcome {
    /// The peer has accepted the message.
    Delivered,
    /// The peer has rejected the message and answered with its own name, as the message was sealed
    /// for another one.
    Introduced(Bytes),
    /// It is unknown whether the peer has received the message.
    Unknown,
    /// The peer has certainly not received the message.
    NotSent,
}

impl PeerClient {
    const CONNECT_TIMEOUT_MS: u64 = 500;
    const SEND_TIMEOUT_MS: u64 = 1_000;
    const IDLE_TIMEOUT_MS: u64 = 10_000;
    const IDLE_CONNECTIONS: usize = 2;
    const ANSWER_LIMIT_BYTES: usize = 4_096;

    pub(super) fn new(seal: Arc<Mutex<PeerSeal>>, handle: ControlHandle) -> Self {
        let connector = http_connector(Millis(Self::CONNECT_TIMEOUT_MS));
        let client = Client::builder(hyper_util::rt::TokioExecutor::new())
            .pool_idle_timeout(Duration::from_millis(Self::IDLE_TIMEOUT_MS))
            .pool_max_idle_per_host(Self::IDLE_CONNECTIONS)
            .build(connector);
        Self { seal, handle, client }
    }

    /// Sends a message once. If the receiver answers with another name, an exchange is sealed for
    /// that name and sent again; any other message only if it is the same VM after a restart.
    pub(super) async fn send(&self, to: VmId, address: SocketAddr, message: PeerMessage) {
        let outcome = match self.call(&to, address, &message).await {
            SendOutcome::Introduced(answer) => {
                self.send_to_introduced(&to, address, &message, &answer).await
            }
            outcome => outcome,
        };
        match outcome {
            SendOutcome::Delivered => {}
            SendOutcome::Introduced(_) | SendOutcome::Unknown => {
                tracing::debug!(%to, kind = message.kind(), "peer message may be lost");
            }
            SendOutcome::NotSent => self.handle.send(Event::SendFailed { to }),
        }
    }

    async fn send_to_introduced(
        &self,
        to: &VmId,
        address: SocketAddr,
        message: &PeerMessage,
        answer: &[u8],
    ) -> SendOutcome {
        let opened = self.lock().open(answer);
        let Ok((from, PeerMessage::Introduce)) = opened else { return SendOutcome::Unknown };
        if from.vm == *to || matches!(message, PeerMessage::Exchange(_)) {
            return self.call(&from.vm, address, message).await;
        }
        tracing::info!(%to, %from, "another entry VM answers at the address of this peer");
        SendOutcome::NotSent
    }

    async fn call(&self, to: &VmId, address: SocketAddr, message: &PeerMessage) -> SendOutcome {
        let sealed = self.lock().seal(to, message);
        let body = match sealed {
            Ok(body) => body,
            Err(error) => {
                tracing::error!(%to, kind = message.kind(), %error, "cannot seal peer message");
                return SendOutcome::NotSent;
            }
        };
        let uri = format!("http://{address}{PEER_PATH}");
        let Ok(request) = http::Request::post(uri).body(Full::new(body)) else {
            return SendOutcome::NotSent;
        };
        let timeout = Duration::from_millis(Self::SEND_TIMEOUT_MS);
        tokio::time::timeout(timeout, self.exchange(request)).await.unwrap_or(SendOutcome::Unknown)
    }

    async fn exchange(&self, request: http::Request<Full<Bytes>>) -> SendOutcome {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return SendOutcome::NotSent,
            Err(_) => return SendOutcome::Unknown,
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), Self::ANSWER_LIMIT_BYTES).collect().await;
        match (status, body) {
            (http::StatusCode::CONFLICT, Ok(body)) => SendOutcome::Introduced(body.to_bytes()),
            (status, _) if status.is_success() => SendOutcome::Delivered,
            _ => SendOutcome::Unknown,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PeerSeal> {
        self.seal.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
