//! Builder for the requests of a fake caller.

use super::*;

/// One HTTP request with a JSON body.
#[derive(Clone, Debug)]
pub struct CallRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: Vec<(SmolStr, String)>,
    pub(super) body: serde_json::Value,
}

impl CallRequest {
    /// Returns a chat completion request with a single user message.
    #[must_use]
    pub fn chat(model: &str, text: &str) -> Self {
        let body = serde_json::json!({
            "model": model,
            "messages": [{"role": "user", "content": text}],
        });
        Self::new(Method::POST, "/v1/chat/completions", body)
    }

    /// Returns a request with the given method, path and JSON body; `null` means no body.
    #[must_use]
    pub fn new(method: Method, path: &str, body: serde_json::Value) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body }
    }

    /// Adds an `Authorization` header with a bearer key.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Adds a header, in addition to earlier ones of the same name.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets `stream`, which requests a streamed answer.
    #[must_use]
    pub fn stream(self) -> Self {
        self.field("stream", true.into())
    }

    /// Sets `max_tokens`, the limit of output tokens.
    #[must_use]
    pub fn max_tokens(self, tokens: u64) -> Self {
        self.field("max_tokens", tokens.into())
    }

    /// Sets a top-level field of the JSON body.
    #[must_use]
    pub fn field(mut self, name: &str, value: serde_json::Value) -> Self {
        self.body[name] = value;
        self
    }
}
