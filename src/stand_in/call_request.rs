//! What a stand-in caller sends.

use super::*;

/// One call of a caller.
#[derive(Clone, Debug)]
pub struct CallRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: Vec<(SmolStr, String)>,
    pub(super) body: serde_json::Value,
}

impl CallRequest {
    /// Returns a chat completion with one message of the user.
    #[must_use]
    pub fn chat(model: &str, text: &str) -> Self {
        let body = serde_json::json!({
            "model": model,
            "messages": [{"role": "user", "content": text}],
        });
        Self::new(Method::POST, "/v1/chat/completions", body)
    }

    /// Returns a call with any path and JSON body; `null` for none.
    #[must_use]
    pub fn new(method: Method, path: &str, body: serde_json::Value) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body }
    }

    /// Adds the bearer key.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Asks for a streamed answer.
    #[must_use]
    pub fn stream(self) -> Self {
        self.field("stream", true.into())
    }

    /// Limits the tokens of the answer.
    #[must_use]
    pub fn max_tokens(self, tokens: u64) -> Self {
        self.field("max_tokens", tokens.into())
    }

    /// Sets a field of the body.
    #[must_use]
    pub fn field(mut self, name: &str, value: serde_json::Value) -> Self {
        self.body[name] = value;
        self
    }
}
