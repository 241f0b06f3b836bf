use super::*;

/// The path for messages of other entry VMs.
pub const PEER_PATH: &str = "/guavapass/v1/peer";

/// The HTTP handler of the listener for peers: messages and forwarded requests of other entry VMs.
pub struct PeerHandler {
    seal: Arc<Mutex<PeerSeal>>,
    handle: ControlHandle,
    callers: CallerHandler,
}

impl PeerHandler {
    const BODY_LIMIT: ByteSize = ByteSize(PeerSeal::MAX_BYTES as u64);

    /// Creates a handler that authenticates messages with the seal and passes forwarded requests to
    /// `callers`.
    #[must_use]
    pub const fn new(
        seal: Arc<Mutex<PeerSeal>>,
        handle: ControlHandle,
        callers: CallerHandler,
    ) -> Self {
        Self { seal, handle, callers }
    }

    /// Answers one request of another entry VM.
    pub async fn serve(&self, request: WebRequest) -> WebResponse {
        match (request.method(), request.uri().path()) {
            (&http::Method::GET, "/healthz") => reply::plain(200, "ok\n"),
            (&http::Method::POST, PEER_PATH) => self.receive_message(request).await,
            (_, path) if path.starts_with(FORWARD_PATH) => self.serve_forwarded(request).await,
            _ => reply::plain(404, ""),
        }
    }

    /// Answers a caller's request that another entry VM has forwarded.
    async fn serve_forwarded(&self, request: WebRequest) -> WebResponse {
        match forward::incoming(self.callers.peer_keys(), request) {
            Some(request) => self.callers.serve_forwarded(request).await,
            None => reply::plain(401, ""),
        }
    }

    async fn receive_message(&self, request: WebRequest) -> WebResponse {
        let (_, body) = request.into_parts().1.replace_body(());
        let Ok(body) =
            caller_handler::read_body(body, Self::BODY_LIMIT, self.callers.bodies()).await
        else {
            return reply::plain(400, "");
        };
        match self.open(&body.bytes) {
            Ok((from, message)) => {
                self.handle.send(Event::FromPeer { from, message });
                reply::plain(204, "")
            }
            Err((error, introduction)) => {
                if introduction.is_none() {
                    tracing::warn!(%error, "rejected peer message");
                }
                match introduction {
                    Some(introduction) => reply::plain(409, introduction),
                    None => reply::plain(error.status(), ""),
                }
            }
        }
    }

    fn open(&self, body: &[u8]) -> Result<(PeerName, PeerMessage), (SealError, Option<Bytes>)> {
        let mut seal = self.seal.lock().unwrap_or_else(PoisonError::into_inner);
        seal.open(body).map_err(|error| {
            let introduction = seal.introduce(&error);
            (error, introduction)
        })
    }
}
