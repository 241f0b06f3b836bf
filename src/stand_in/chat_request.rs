//! The fields of a chat completion request that a fake engine reads.

use super::*;

/// A chat completion request.
#[derive(Deserialize)]
pub(super) struct ChatRequest {
    pub(super) model: SmolStr,
    pub(super) messages: Vec<ChatMessage>,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    /// The scheduling priority; requests with lower numbers run first.
    #[serde(default)]
    pub(super) priority: i64,
}

/// One message of a conversation.
#[derive(Deserialize)]
pub(super) struct ChatMessage {
    role: SmolStr,
    content: String,
}

impl ChatRequest {
    const BYTES_PER_TOKEN: usize = 4;

    /// Returns the text of the last user message; empty if there is none.
    pub(super) fn question(&self) -> &str {
        let mut messages = self.messages.iter().rev();
        messages.find(|message| message.role == "user").map_or("", |message| &message.content)
    }

    pub(super) fn prompt(&self) -> String {
        self.messages.iter().map(|message| message.content.as_str()).collect()
    }

    pub(super) fn output_tokens(&self, limit: u64) -> u64 {
        self.max_tokens.unwrap_or(limit).clamp(1, limit.max(1))
    }

    pub(super) const fn tokens(bytes: usize) -> u64 {
        bytes.div_ceil(Self::BYTES_PER_TOKEN) as u64
    }
}
