use super::*;

/// Keeps the answers to requests that may not be repeated, for callers that send them again.
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

/// A whole answer of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredAnswer {
    /// The status.
    pub status: http::StatusCode,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The body.
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
    /// The memory of all answers together.
    pub const LIMIT_BYTES: usize = 16 << 20;
    /// The largest answer that is kept.
    pub const ANSWER_LIMIT_BYTES: usize = 256 << 10;

    /// Keeps an answer, and drops the oldest ones past the bound.
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

    /// Returns the answer to a request, if it is still kept.
    pub fn get(&self, request: RequestNumber) -> Option<StoredAnswer> {
        self.inner.lock().ok()?.answers.get(&request).cloned()
    }
}
