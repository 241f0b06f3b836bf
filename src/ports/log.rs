use super::*;

/// A record of a log stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// The position of the record in its stream.
    pub offset: Offset,
    /// The content of the record.
    pub record: Bytes,
}

/// The result of reading a log stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogPage {
    /// The oldest offset that the stream still keeps.
    pub oldest: Offset,
    /// The offset to read next.
    pub next: Offset,
    /// The records in order of their offsets; empty if none arrived in time.
    pub records: Vec<LogRecord>,
}
