use super::*;

/// A bounded cache of answers to at-most-once requests, replayed when a caller sends the same
/// request again.
#[derive(Debug, Default)]
pub struct AnswerStore {
    inner: Mutex<StoreInner>,
}

#[derive(Debug, Default)]
struct StoreInner {
    answers: FxHashMap<RequestNumber, StoredAnswer>,
    order: VecDeque<RequestNumber>,
    bytes: usize,
}

/// A complete answer of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: http::StatusCode,
    /// The headers as the server sent them.
    pub headers: http::HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl StoredAnswer {
    const HEADER_OVERHEAD_BYTES: usize = 64;

    fn size(&self) -> usize {
        let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
            name.as_str().len() + value.len() + Self::HEADER_OVERHEAD_BYTES
        };
        size_of::<Self>() + self.body.len() + self.headers.iter().map(header).sum::<usize>()
    }
}

impl AnswerStore {
    /// The approximate memory limit of all stored answers together.
    pub const LIMIT_BYTES: usize = 16 << 20;
    /// The size of the largest answer that is stored.
    pub const ANSWER_LIMIT_BYTES: usize = 256 << 10;

    /// Stores an answer and evicts the oldest ones over the limit. An answer that is too large is
    /// not stored, and a stored one is not replaced.
    pub fn put(&self, request: RequestNumber, answer: StoredAnswer) {
        let size = answer.size();
        let Ok(mut inner) = self.inner.lock() else { return };
        if size > Self::ANSWER_LIMIT_BYTES || inner.answers.contains_key(&request) {
            return;
        }
        inner.bytes += size;
        inner.answers.insert(request, answer);
        inner.order.push_back(request);
        while inner.bytes > Self::LIMIT_BYTES {
            let Some(oldest) = inner.order.pop_front() else { return };
            let dropped = inner.answers.remove(&oldest);
            inner.bytes -= dropped.map_or(0, |answer| answer.size());
        }
    }

    /// Returns the answer to a request; `None` if it was not stored or has been evicted.
    pub fn get(&self, request: RequestNumber) -> Option<StoredAnswer> {
        self.inner.lock().ok()?.answers.get(&request).cloned()
    }
}
