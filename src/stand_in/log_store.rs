//! The append-only log of the fake platform.

use super::*;
use reply::{error_reply, json_reply};

/// Streams of records with offsets, in memory.
///
/// Implements the HTTP protocol of the platform's store. The end of a page is lower than `from` if
/// the stream was restored to an earlier state.
#[derive(Debug, Default)]
pub struct LogStore {
    streams: Mutex<BTreeMap<SmolStr, LogStream>>,
    appended: Notify,
    appends: AtomicU64,
    faults: FaultSwitches,
}

#[derive(Debug, Default)]
struct LogStream {
    oldest: u64,
    records: VecDeque<Bytes>,
    /// The newest value of each key with its offset; only filled in keyed streams.
    newest: BTreeMap<SmolStr, (u64, Bytes)>,
}

impl LogStream {
    fn next(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    fn push(&mut self, is_keyed: bool, record: Bytes) {
        if is_keyed && let Some((key, value)) = read_keyed(&record) {
            let (key, value) = (SmolStr::new(key), record.slice_ref(value));
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (self.next(), value));
            }
        }
        self.records.push_back(record);
    }
}

impl LogStore {
    /// The maximum number of keys in one page of newest records, the same as in the real store.
    const NEWEST_LIMIT: usize = 500;

    /// Returns the faults injected into the log.
    #[must_use]
    pub const fn faults(&self) -> &FaultSwitches {
        &self.faults
    }

    /// Drops the records of a stream before an offset, as retention does.
    pub fn trim_to(&self, stream: &str, offset: u64) {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.into()).or_default();
        while stream.oldest < offset && stream.records.pop_front().is_some() {
            stream.oldest += 1;
        }
    }

    /// Drops the records of a stream from an offset on, as restoring a backup does.
    pub fn restore_to(&self, stream: &str, offset: u64) {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.into()).or_default();
        stream.records.truncate(offset.saturating_sub(stream.oldest) as usize);
    }

    /// Returns the records of a stream that have not been trimmed.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<Bytes> {
        let streams = lock(&self.streams);
        streams
            .get(stream)
            .map(|stream| stream.records.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns the names of all streams that were ever read or written.
    #[must_use]
    pub fn streams(&self) -> Vec<SmolStr> {
        lock(&self.streams).keys().cloned().collect()
    }

    /// Returns how many appends took effect, each with any number of records.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.appends.load(Ordering::SeqCst)
    }

    /// Appends records without an HTTP call, and returns the offset of the first.
    pub fn append(&self, name: &str, records: impl IntoIterator<Item = Bytes>) -> u64 {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(name.into()).or_default();
        let first = stream.next();
        for record in records {
            stream.push(name.starts_with(KEYED_PREFIX), record);
        }
        drop(streams);
        self.appends.fetch_add(1, Ordering::SeqCst);
        self.appended.notify_waiters();
        first
    }

    pub(super) async fn answer(&self, request: &Request<Bytes>) -> Answer {
        if self.faults.outage() {
            return Ok(error_reply(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        let query = LogQuery::read(request.uri());
        let answer = match request.uri().path() {
            APPEND_PATH => self.answer_append(&query, request.body()),
            NEWEST_PATH => self.answer_newest(&query),
            _ => self.answer_read(&query).await,
        };
        fault_switches::pause(self.faults.delay()).await;
        if self.faults.take_lost_answer() {
            return Err(ConnectionCut);
        }
        if self.faults.outage() {
            return Ok(error_reply(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        Ok(answer)
    }

    fn answer_append(&self, query: &LogQuery, body: &Bytes) -> Response<ReplyBody> {
        let Ok(frames) = read_frames(body) else {
            return error_reply(StatusCode::BAD_REQUEST, "bad_records");
        };
        let end = lock(&self.streams).get(&query.topic).map_or(0, LogStream::next);
        if query.at.is_some_and(|at| at != end) {
            return json_reply(StatusCode::PRECONDITION_FAILED, &serde_json::json!({"end": end}));
        }
        let records: Vec<Bytes> = frames.into_iter().map(|frame| body.slice_ref(frame)).collect();
        let count = records.len() as u64;
        let offset = self.append(&query.topic, records);
        json_reply(StatusCode::OK, &serde_json::json!({"offset": offset, "end": offset + count}))
    }

    fn answer_newest(&self, query: &LogQuery) -> Response<ReplyBody> {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(query.topic.clone()).or_default();
        let after = query.after.clone().unwrap_or_default();
        let mut rest = stream.newest.iter().filter(|(key, _)| after.is_empty() || **key > after);
        let items: Vec<_> = rest
            .by_ref()
            .take(Self::NEWEST_LIMIT)
            .map(|(key, (offset, value))| {
                serde_json::json!({"key": key, "offset": offset, "value": BASE64.encode(value)})
            })
            .collect();
        let more = rest.next().is_some();
        let body = serde_json::json!({"items": items, "more": more, "end": stream.next()});
        json_reply(StatusCode::OK, &body)
    }

    async fn answer_read(&self, query: &LogQuery) -> Response<ReplyBody> {
        let until = tokio::time::Instant::now() + query.wait;
        loop {
            let appended = self.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            let is_last = tokio::time::Instant::now() >= until;
            if let Some(response) = self.read(query, is_last) {
                return response;
            }
            let _ = tokio::time::timeout_at(until, appended).await;
        }
    }

    /// Returns the answer, or `None` if there is no record yet and the reader can still wait.
    fn read(&self, query: &LogQuery, is_last: bool) -> Option<Response<ReplyBody>> {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(query.topic.clone()).or_default();
        if query.from < stream.oldest {
            let body = serde_json::json!({"first": stream.oldest});
            return Some(json_reply(StatusCode::GONE, &body));
        }
        let skipped = (query.from - stream.oldest) as usize;
        let mut room = query.max_bytes;
        let records = stream.records.iter().skip(skipped).take_while(|record| {
            let fits = room >= record.len();
            room = room.saturating_sub(record.len());
            fits
        });
        let records: Vec<Bytes> = records.cloned().collect();
        if records.is_empty() && !is_last {
            return None;
        }
        let (end, first) = (Offset(stream.next()), Offset(stream.oldest));
        let page = RawPage { end, first, records };
        Some(reply::reply(
            StatusCode::OK,
            "application/octet-stream",
            reply::full_body(page.write()),
        ))
    }
}

/// The query parameters of a call to the log.
struct LogQuery {
    topic: SmolStr,
    from: u64,
    max_bytes: usize,
    wait: Duration,
    at: Option<u64>,
    after: Option<SmolStr>,
}

impl LogQuery {
    fn read(uri: &http::Uri) -> Self {
        /// The page size of the real store if a call does not limit it, in KiB.
        const DEFAULT_MAX_KB: u64 = 1_024;
        let text = |name: &str| {
            let mut pairs =
                uri.query().unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, text)| SmolStr::new(text))
        };
        let number = |name: &str| text(name).and_then(|text| text.parse::<u64>().ok());
        Self {
            topic: text("topic").unwrap_or_default(),
            from: number("from").unwrap_or(0),
            max_bytes: number("max_kb").unwrap_or(DEFAULT_MAX_KB) as usize * 1_024,
            wait: Duration::from_millis(number("wait_ms").unwrap_or(0)),
            at: number("at"),
            after: text("after"),
        }
    }
}
