use super::*;

/// Splits a stream of server-sent events into whole events.
#[derive(Debug, Default)]
pub struct EventFramer {
    buffer: Vec<u8>,
    /// How far the buffer has been searched for the end of an event.
    searched: usize,
}

/// A whole event as its server sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FramedEvent {
    /// Its bytes, up to and with the blank line.
    pub bytes: Bytes,
    /// Its number.
    pub id: Option<u64>,
    /// Whether it has a field, and is not only a comment.
    pub has_content: bool,
}

impl EventFramer {
    /// Takes in bytes that have arrived.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<FramedEvent> {
        let end = self.find_end()?;
        self.searched = 0;
        let rest = self.buffer.split_off(end);
        let bytes = Bytes::from(std::mem::replace(&mut self.buffer, rest));
        let id = Self::event_id(&bytes);
        let has_content = Self::has_content(&bytes);
        Some(FramedEvent { bytes, id, has_content })
    }

    /// Returns whether the bytes so far end with a whole event.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the bytes held; more than an event may have is not a stream of events.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns where the first event ends: after a blank line, with either line ending.
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

    /// Returns whether a line of an event is neither blank nor a comment.
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
