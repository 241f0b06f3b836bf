//! The outcome of a call, as seen by a fake caller.

use super::*;

/// The answer to a call, complete or not, with its timing.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// The HTTP status; `None` if no response head arrived.
    pub status: Option<u16>,
    /// The response headers.
    pub headers: http::HeaderMap,
    /// The bytes of the body that arrived.
    pub body: Bytes,
    /// The transport error that ended the call, if any.
    pub broken: Option<SmolStr>,
    /// The time from sending the call to the first byte of the body; zero if there was none.
    pub first_byte: Duration,
    /// The time from sending the call to the end of the answer or the error.
    pub whole: Duration,
}

impl CallOutcome {
    /// Returns a header as text, or `None` if it is missing or not printable ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the body as JSON, or `null` if it cannot be parsed.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the `data` lines of the server-sent events, in order.
    #[must_use]
    pub fn events(&self) -> Vec<SmolStr> {
        let text = String::from_utf8_lossy(&self.body);
        text.lines().filter_map(|line| line.strip_prefix("data: ")).map(SmolStr::new).collect()
    }

    /// Returns the generated text, from a plain or a streamed answer.
    #[must_use]
    pub fn text(&self) -> String {
        let whole = self.json();
        if let Some(text) = whole["choices"][0]["message"]["content"].as_str() {
            return text.into();
        }
        let chunk_text = |event: &SmolStr| {
            let chunk: serde_json::Value = serde_json::from_str(event).ok()?;
            chunk["choices"][0]["delta"]["content"].as_str().map(String::from)
        };
        self.events().iter().filter_map(chunk_text).collect()
    }

    /// Returns the prompt and output tokens that the answer states, or `None` if it states none.
    #[must_use]
    pub fn usage(&self) -> Option<(Tokens, Tokens)> {
        let last_chunk = || {
            let events = self.events();
            let chunks = events.iter().rev().filter_map(|event| serde_json::from_str(event).ok());
            chunks.into_iter().find(|chunk: &serde_json::Value| chunk["usage"].is_object())
        };
        let body =
            Some(self.json()).filter(|body| body["usage"].is_object()).or_else(last_chunk)?;
        let count = |name: &str| body["usage"][name].as_u64().map(Tokens);
        Some((count("prompt_tokens")?, count("completion_tokens")?))
    }

    /// Returns whether the call succeeded with a complete answer. A streamed answer is complete if it
    /// ends with `[DONE]`.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        let streamed =
            self.header("content-type").is_some_and(|kind| kind.starts_with("text/event-stream"));
        let ended = !streamed || self.body.ends_with(b"data: [DONE]\n\n");
        self.status == Some(200) && self.broken.is_none() && ended
    }
}
