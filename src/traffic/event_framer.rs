use super::*;

/// Splits a byte stream of server-sent events into complete events.
#[derive(Debug, Default)]
pub struct EventFramer {
    buffer: Vec<u8>,
    /// The number of bytes at the start of the buffer that contain no end of an event.
    searched: usize,
}

/// A complete event as the server sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FramedEvent {
    /// The bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// The number in the `id` field; `None` if the field is missing or not a number.
    pub id: Option<u64>,
    /// True if the event has at least one field, false if it consists of comments only.
    pub has_content: bool,
}

impl EventFramer {
    /// Appends received bytes to the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event; `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<FramedEvent> {
        let end = self.find_end()?;
        self.searched = 0;
        let rest = self.buffer.split_off(end);
        let bytes = Bytes::from(std::mem::replace(&mut self.buffer, rest));
        let id = Self::event_id(&bytes);
        let has_content = Self::has_content(&bytes);
        Some(FramedEvent { bytes, id, has_content })
    }

    /// Returns whether the bytes received so far end with a complete event.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the number of buffered bytes. The caller rejects a stream whose incomplete event is
    /// too large.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the end of the first event, which is after a blank line with either line ending.
    fn find_end(&mut self) -> Option<usize> {
        let start = self.searched.saturating_sub(3);
        for index in start..self.buffer.len() {
            let rest = &self.buffer[index..];
            if rest.starts_with(b"\n\n") {
                return Some(index + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(index + 3);
            }
        }
        self.searched = self.buffer.len();
        None
    }

    /// Returns whether any line of an event is neither blank nor a comment.
    fn has_content(event: &[u8]) -> bool {
        let mut lines = event.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii_end);
        lines.any(|line| !line.is_empty() && line[0] != b':')
    }

    fn event_id(event: &[u8]) -> Option<u64> {
        let lines = event.split(|byte| *byte == b'\n');
        let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    }
}
