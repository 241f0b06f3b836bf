use super::*;

/// A bounded cache of the texts of recent requests and answers, for the rating service.
#[derive(Debug, Default)]
pub struct RatingTextCache {
    inner: Mutex<RatingTextCacheInner>,
}

#[derive(Debug, Default)]
struct RatingTextCacheInner {
    texts: FxHashMap<(RequestNumber, AttemptId), (Arc<str>, Arc<str>)>,
    order: VecDeque<(RequestNumber, AttemptId)>,
}

impl RatingTextCache {
    const LIMIT: usize = 2_048;
    const TEXT_LIMIT_BYTES: usize = 8_192;

    /// Stores the texts of a request and its answer, each truncated to 8 KiB. When
    /// the cache is full, the oldest entry is evicted.
    pub fn put(&self, request: RequestNumber, attempt: AttemptId, question: &str, answer: &str) {
        let Ok(mut inner) = self.inner.lock() else { return };
        let key = (request, attempt);
        inner.texts.insert(key, (Self::truncate(question), Self::truncate(answer)));
        inner.order.push_back(key);
        if inner.order.len() > Self::LIMIT
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.texts.remove(&oldest);
        }
    }

    /// Returns the texts of the request and the answer; `None` if they have been evicted.
    pub fn get(&self, request: RequestNumber, attempt: AttemptId) -> Option<(Arc<str>, Arc<str>)> {
        self.inner.lock().ok()?.texts.get(&(request, attempt)).cloned()
    }

    fn truncate(text: &str) -> Arc<str> {
        text[..text.floor_char_boundary(Self::TEXT_LIMIT_BYTES.min(text.len()))].into()
    }
}
