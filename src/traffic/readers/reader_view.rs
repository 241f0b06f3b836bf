use super::*;

/// A caller for whom bytes are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderView {
    /// Its request.
    pub request: RequestNumber,
    /// The bytes that are held for it.
    pub held: ByteSize,
    /// The time for which it has taken none of them.
    pub unread: Millis,
}
