use super::*;

/// A record of a log stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Its position.
    pub offset: Offset,
    /// Its bytes.
    pub record: Bytes,
}

/// The result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogPage {
    /// The oldest offset kept.
    pub oldest: Offset,
    /// The offset to read next.
    pub next: Offset,
    /// The records in order.
    pub records: Vec<LogRecord>,
}
