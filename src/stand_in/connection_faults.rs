//! Fault injection for one connection, at the level of TCP.

use super::*;

/// Makes a connection stop reading and writing, or send other bytes than its answer.
#[derive(Debug)]
pub(super) struct ConnectionFaults {
    silent: AtomicBool,
    server_silent: Arc<AtomicBool>,
    raw_answer: Mutex<Option<Bytes>>,
}

impl ConnectionFaults {
    pub(super) fn new(server_silent: Arc<AtomicBool>) -> Self {
        Self { silent: AtomicBool::new(false), server_silent, raw_answer: Mutex::new(None) }
    }

    pub(super) fn silence(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }

    pub(super) fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst) || self.server_silent.load(Ordering::SeqCst)
    }

    /// Sets the bytes that the connection sends instead of everything written from now on.
    pub(super) fn replace_answer(&self, raw: Bytes) {
        *lock(&self.raw_answer) = Some(raw);
    }

    pub(super) fn raw_answer(&self) -> Option<Bytes> {
        lock(&self.raw_answer).clone()
    }

    pub(super) fn set_rest(&self, rest: Bytes) {
        *lock(&self.raw_answer) = Some(rest);
    }
}
