use super::*;

/// A completely read request of a caller.
#[derive(Debug)]
pub(super) struct CallerRequest {
    /// The HTTP method.
    pub(super) method: http::Method,
    /// The path and query for the backend server.
    pub(super) path: SmolStr,
    /// The headers for the backend server.
    pub(super) headers: http::HeaderMap,
    /// The body as the caller sent it.
    pub(super) body: HeldBytes,
    /// The parsed body of a chat request; `None` for other requests.
    pub(super) chat: Option<serde_json::Value>,
    /// Whether the caller requested a streamed answer.
    pub(super) mode: AnswerMode,
    /// The parts that are needed to forward the request to another entry VM.
    pub(super) origin: CallerOrigin,
    /// Whether the request came from its caller or from a peer that forwarded it.
    pub(super) source: ArrivalSource,
}

/// The parts of the original request that are not sent to a backend server.
#[derive(Clone, Debug)]
pub(super) struct CallerOrigin {
    /// The path and query as the caller sent them.
    pub(super) path: SmolStr,
    /// The `Authorization` header.
    pub(super) authorization: Option<http::HeaderValue>,
}

/// The reason why a caller's request is rejected before it reaches the control thread.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    /// The body is not JSON.
    #[error("The body is not valid JSON ({cause}); correct it.")]
    Json {
        /// The error of the JSON parser.
        cause: SmolStr,
    },
    /// A field of the body is missing or of the wrong type.
    #[error("The field \"{field}\" must be {expected}.")]
    Field {
        /// The field.
        field: &'static str,
        /// What it must be.
        expected: &'static str,
    },
    /// A header cannot be parsed.
    #[error("The header {header} must be {expected}.")]
    Header {
        /// The header.
        header: &'static str,
        /// What it must be.
        expected: &'static str,
    },
    /// The body exceeds the size limit.
    #[error("The body is larger than {limit}; send a smaller one.")]
    TooLarge {
        /// The limit.
        limit: ByteSize,
    },
    /// The body did not arrive within the time limit.
    #[error("The body did not arrive within {limit}; send it faster.")]
    TooSlow {
        /// The limit.
        limit: Millis,
    },
    /// The bodies of other requests and answers leave no memory for the body.
    #[error("{cause}")]
    OutOfMemory {
        /// The limit that it exceeds.
        cause: BudgetExceeded,
    },
    /// The connection failed, or its input ended, while the body was read.
    #[error("The body ended early; send the request again.")]
    Broken,
    /// No endpoint has this method and path.
    #[error("There is nothing at this path; see the documentation.")]
    NotFound,
}

impl RequestError {
    /// `Retry-After` of a request whose body did not fit into memory: most bodies are gone by then.
    const MEMORY_RETRY: Millis = Millis(1_000);

    /// Returns the refusal to send to the caller.
    pub(super) fn refusal(&self) -> Refusal {
        let code = match self {
            Self::Json { .. } | Self::Field { .. } | Self::Header { .. } | Self::Broken => {
                RefusalCode::BadRequest
            }
            Self::TooLarge { .. } => RefusalCode::TooLarge,
            Self::TooSlow { .. } => RefusalCode::Timeout,
            Self::OutOfMemory { .. } => {
                let refusal = Refusal::not_run(RefusalCode::Unavailable, self.to_string());
                return refusal.with_retry_after(Self::MEMORY_RETRY);
            }
            Self::NotFound => RefusalCode::NotFound,
        };
        Refusal::not_run(code, self.to_string())
    }
}

impl CallerRequest {
    /// The number of bytes of prompt text counted as one token.
    const BYTES_PER_TOKEN: u64 = 4;
    const PREFIX_BYTES: usize = 1_024;

    /// Returns the body for the backend server. In a chat request, the model is replaced by the
    /// selected version, and the priority is set.
    pub(super) fn upstream_body(&self, start: &AttemptStart) -> Bytes {
        let (Some(chat), WorkTarget::Version(version)) = (&self.chat, &start.target) else {
            return self.body.bytes.clone();
        };
        let mut chat = chat.clone();
        if let Some(fields) = chat.as_object_mut() {
            fields.insert("model".into(), version.to_string().into());
            fields.insert("priority".into(), start.priority.into());
        }
        serde_json::to_vec(&chat).unwrap_or_default().into()
    }

    /// Returns the description of the request for the control core.
    pub(super) fn arrival(
        &self,
        request: RequestNumber,
        caller_headers: &http::HeaderMap,
        target: ArrivalTarget,
    ) -> Result<Arrival, RequestError> {
        let deadline = match text_header(caller_headers, "guavapass-deadline-ms")? {
            None => None,
            Some(text) => Some(text.parse().map_err(|_| RequestError::Header {
                header: "Guavapass-Deadline-Ms",
                expected: "a whole number of milliseconds",
            })?),
        };
        let session = text_header(caller_headers, "guavapass-session")?;
        if session.is_some_and(|session| session.len() > 512) {
            let expected = "a session's token, or an id of at most 128 characters";
            return Err(RequestError::Header { header: "Guavapass-Session", expected });
        }
        let max_tokens = self.chat.as_ref().map_or(Ok(0), max_tokens)?;
        Ok(Arrival {
            request,
            key: bearer(caller_headers).map(hash_key),
            target,
            mode: self.mode,
            prompt_tokens: Tokens(self.body.bytes.len() as u64 / Self::BYTES_PER_TOKEN),
            max_tokens: Tokens(max_tokens),
            prefix: xxh3_64(&self.body.bytes[..self.body.bytes.len().min(Self::PREFIX_BYTES)]),
            fingerprint: self.fingerprint(),
            session: session.map(SmolStr::new),
            idempotency_key: text_header(caller_headers, "idempotency-key")?.map(SmolStr::new),
            deadline,
            source: self.source,
        })
    }

    fn fingerprint(&self) -> u64 {
        let head = format!("{} {}\n", self.method, self.path);
        xxh3_64(head.as_bytes()) ^ xxh3_64(&self.body.bytes).rotate_left(1)
    }

    /// Returns the body as text for the rating service; empty if it is not valid UTF-8.
    pub(super) fn question(&self) -> &str {
        std::str::from_utf8(&self.body.bytes).unwrap_or_default()
    }
}

fn max_tokens(chat: &serde_json::Value) -> Result<u64, RequestError> {
    match chat.get("max_tokens") {
        None | Some(serde_json::Value::Null) => Ok(0),
        Some(value) => value
            .as_u64()
            .ok_or(RequestError::Field { field: "max_tokens", expected: "a whole number" }),
    }
}

fn text_header<'a>(
    headers: &'a http::HeaderMap,
    header: &'static str,
) -> Result<Option<&'a str>, RequestError> {
    match headers.get(header).map(http::HeaderValue::to_str) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text)),
        Some(Err(_)) => Err(RequestError::Header { header, expected: "printable ASCII" }),
    }
}

/// Returns the bearer token of the `Authorization` header.
pub(super) fn bearer(headers: &http::HeaderMap) -> Option<&str> {
    headers.get(http::header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}
