use super::*;

/// Scans a chat completion stream of server-sent events: counts the events, and finds the end
/// marker, the token usage and the generated text.
#[derive(Clone, Debug, Default)]
pub struct SseScanner {
    line: Vec<u8>,
    events: u64,
    done: bool,
    malformed: bool,
    usage: Option<TokenUsage>,
    text: String,
}

impl SseScanner {
    /// The length of the longest line that is accepted.
    const LINE_LIMIT_BYTES: usize = 1 << 20;
    /// The length of the generated text that is kept for the rating service.
    const TEXT_LIMIT_BYTES: usize = 8_192;

    /// Scans the next bytes of the stream.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            let (line, rest) = bytes.split_at(end);
            bytes = &rest[1..];
            if self.line.is_empty() {
                self.scan_line(line);
            } else {
                self.line.extend_from_slice(line);
                let line = std::mem::take(&mut self.line);
                self.scan_line(&line);
            }
        }
        if self.line.len() + bytes.len() > Self::LINE_LIMIT_BYTES {
            self.malformed = true;
            return;
        }
        self.line.extend_from_slice(bytes);
    }

    fn scan_line(&mut self, line: &[u8]) {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(data) = line.strip_prefix(b"data:") else { return };
        let data = data.trim_ascii();
        if self.done {
            self.malformed = true;
            return;
        }
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        self.events += 1;
        match serde_json::from_slice::<StreamEvent>(data) {
            Ok(event) => self.record_event(&event),
            Err(_) => self.malformed = true,
        }
    }

    fn record_event(&mut self, event: &StreamEvent) {
        if let Some(usage) = &event.usage {
            self.usage = Some(TokenUsage {
                prompt: Tokens(usage.prompt_tokens),
                output: Tokens(usage.completion_tokens),
            });
        }
        let content = event.choices.first().and_then(|choice| choice.delta.content.as_deref());
        if let Some(content) = content
            && self.text.len() + content.len() <= Self::TEXT_LIMIT_BYTES
        {
            self.text.push_str(content);
        }
    }

    /// Returns whether the end marker `[DONE]` has been received.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Returns whether the stream violates the protocol: an event is not JSON, data follows the end
    /// marker, or a line is too long.
    #[must_use]
    pub const fn is_malformed(&self) -> bool {
        self.malformed
    }

    /// Returns the token usage that the stream reports; until it does, each event counts as one
    /// output token.
    #[must_use]
    pub fn usage(&self) -> TokenUsage {
        self.usage.unwrap_or(TokenUsage { prompt: Tokens(0), output: Tokens(self.events) })
    }

    /// Returns the generated text, up to 8 KiB.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }
}

#[derive(Debug, Deserialize)]
struct StreamEvent {
    #[serde(default)]
    choices: Vec<StreamChoice>,
    #[serde(default)]
    usage: Option<UsageBody>,
}

#[derive(Debug, Deserialize)]
struct StreamChoice {
    #[serde(default)]
    delta: StreamDelta,
}

#[derive(Debug, Default, Deserialize)]
struct StreamDelta {
    #[serde(default)]
    content: Option<String>,
}

/// The `usage` field of an answer.
#[derive(Debug, Deserialize)]
pub(super) struct UsageBody {
    /// The number of prompt tokens; 0 if absent.
    #[serde(default)]
    pub(super) prompt_tokens: u64,
    /// The number of generated tokens; 0 if absent.
    #[serde(default)]
    pub(super) completion_tokens: u64,
}
