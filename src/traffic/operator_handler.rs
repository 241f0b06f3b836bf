use super::{caller_request::bearer, *};

/// The path for calls of operators.
pub const OPERATOR_PATH: &str = "/guavapass/v1/operator";

/// The HTTP handler of the listener for operators.
pub struct OperatorHandler {
    secrets: Vec<Secret>,
    handle: ControlHandle,
    ready: Arc<AtomicBool>,
    /// The memory for the bodies of all calls.
    bodies: ByteBudget,
}

impl OperatorHandler {
    const BODY_LIMIT: ByteSize = ByteSize(16 << 20);
    /// Room for two of the largest bodies.
    const BODY_MEMORY: ByteSize = ByteSize(64 << 20);

    /// Creates a handler that accepts any of these secrets as the bearer token.
    #[must_use]
    pub fn new(secrets: Vec<Secret>, handle: ControlHandle, ready: Arc<AtomicBool>) -> Self {
        Self { secrets, handle, ready, bodies: ByteBudget::new(Self::BODY_MEMORY) }
    }

    /// Answers one request; only calls to [`OPERATOR_PATH`] need a secret.
    pub async fn serve(&self, request: WebRequest) -> WebResponse {
        match (request.method(), request.uri().path()) {
            (&http::Method::GET, "/healthz") => reply::plain(200, "ok\n"),
            (&http::Method::GET, "/readyz") if self.ready.load(Ordering::Relaxed) => {
                reply::plain(200, "ready\n")
            }
            (&http::Method::GET, "/readyz") => reply::plain(503, "not ready\n"),
            (&http::Method::POST, OPERATOR_PATH) => self.call(request).await,
            _ => Self::error(404, "There is nothing at this path."),
        }
    }

    fn error(status: u16, message: &str) -> WebResponse {
        reply::json(status, &serde_json::json!({ "error": { "message": message } }))
    }

    async fn call(&self, request: WebRequest) -> WebResponse {
        let key = bearer(request.headers()).unwrap_or_default().as_bytes();
        if !self.secrets.iter().any(|secret| secret.matches(key)) {
            return Self::error(401, "The operators' secret is missing or wrong.");
        }
        let (_, body) = request.into_parts().1.replace_body(());
        let body = match caller_handler::read_body(body, Self::BODY_LIMIT, &self.bodies).await {
            Ok(body) => body,
            Err(error) => return Self::error(400, &error.to_string()),
        };
        match serde_json::from_slice(&body.bytes) {
            Ok(request) => reply::json(200, &self.handle.ask(request).await),
            Err(error) => Self::error(400, &format!("The call cannot be read: {error}.")),
        }
    }
}
