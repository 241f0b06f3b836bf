use super::{caller_request::bearer, *};

/// The path of peers' messages.
pub const PEER_PATH: &str = "/guavapass/v1/peer";

/// Takes in messages of other entry VMs.
pub struct PeerDesk {
    secrets: Vec<Secret>,
    handle: ControlHandle,
}

impl PeerDesk {
    const BODY_LIMIT: ByteSize = ByteSize(16 << 20);

    /// Returns a desk that knows these secrets.
    #[must_use]
    pub const fn new(secrets: Vec<Secret>, handle: ControlHandle) -> Self {
        Self { secrets, handle }
    }

    /// Answers one request.
    pub async fn serve(&self, request: WebRequest) -> WebResponse {
        match (request.method(), request.uri().path()) {
            (&http::Method::GET, "/healthz") => reply::plain(200, "ok\n"),
            (&http::Method::POST, PEER_PATH) => self.take(request).await,
            _ => reply::plain(404, ""),
        }
    }

    async fn take(&self, request: WebRequest) -> WebResponse {
        let key = bearer(request.headers()).and_then(|key| hex::decode(key).ok());
        let key = key.unwrap_or_default();
        if !self.secrets.iter().any(|secret| secret.matches(&key)) {
            return reply::plain(401, "");
        }
        let (_, body) = request.into_parts().1.replace_body(());
        let Ok(body) = caller_desk::read_body(body, Self::BODY_LIMIT).await else {
            return reply::plain(400, "");
        };
        let Ok((from, message)) = rmp_serde::from_slice::<(PeerName, PeerMessage)>(&body) else {
            return reply::plain(400, "");
        };
        self.handle.send(Event::FromPeer { from, message });
        reply::plain(204, "")
    }
}
