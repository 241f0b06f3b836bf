//! The append-only log of the stand-in platform.

use super::*;
use reply::{error_reply, json_reply};

/// Streams of records with offsets, kept for a limited time.
///
/// The `next` of a read is where the following read starts; it lies before `from` if the stream
/// was restored to an earlier state.
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
}

impl LogStream {
    fn next(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }
}

#[derive(Deserialize)]
struct AppendRequest {
    records: Vec<String>,
}

/// Where a read starts, how much it returns at most and how long it waits.
#[derive(Clone, Copy)]
struct ReadRequest {
    from: u64,
    limit: usize,
    wait: Duration,
}

impl LogStore {
    const DEFAULT_READ_LIMIT: usize = 1_000;

    /// Returns its faults.
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

    /// Drops the records of a stream from an offset on, as a restored backup does.
    pub fn restore_to(&self, stream: &str, offset: u64) {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.into()).or_default();
        stream.records.truncate(offset.saturating_sub(stream.oldest) as usize);
    }

    /// Returns the records of a stream that are kept.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<Bytes> {
        let streams = lock(&self.streams);
        streams
            .get(stream)
            .map(|stream| stream.records.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns the names of all streams.
    #[must_use]
    pub fn streams(&self) -> Vec<SmolStr> {
        lock(&self.streams).keys().cloned().collect()
    }

    /// Returns how many append requests took effect.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.appends.load(Ordering::SeqCst)
    }

    /// Appends records as a caller of the log would, and returns the first offset.
    pub fn append(&self, stream: &str, records: impl IntoIterator<Item = Bytes>) -> u64 {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.into()).or_default();
        let first = stream.next();
        stream.records.extend(records);
        drop(streams);
        self.appends.fetch_add(1, Ordering::SeqCst);
        self.appended.notify_waiters();
        first
    }

    pub(super) async fn answer(&self, stream: &str, request: &Request<Bytes>) -> Answer {
        if self.faults.outage() {
            return Ok(error_reply(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        let answer = match *request.method() {
            Method::POST => self.answer_append(stream, request.body()),
            _ => self.answer_read(stream, read_request(request.uri())).await,
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

    fn answer_append(&self, stream: &str, body: &[u8]) -> Response<ReplyBody> {
        let Some(records) = decode_records(body) else {
            return error_reply(StatusCode::BAD_REQUEST, "bad_records");
        };
        let offset = self.append(stream, records);
        json_reply(StatusCode::OK, &serde_json::json!({"offset": offset}))
    }

    async fn answer_read(&self, stream: &str, read: ReadRequest) -> Response<ReplyBody> {
        let until = tokio::time::Instant::now() + read.wait;
        loop {
            let appended = self.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            if let Some(response) = self.read(stream, read) {
                return response;
            }
            if tokio::time::timeout_at(until, appended).await.is_err() {
                break;
            }
        }
        self.read(stream, ReadRequest { wait: Duration::ZERO, ..read })
            .unwrap_or_else(|| error_reply(StatusCode::INTERNAL_SERVER_ERROR, "no_answer"))
    }

    /// Returns the answer, or nothing if there is no record yet and the reader waits.
    fn read(&self, name: &str, read: ReadRequest) -> Option<Response<ReplyBody>> {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(name.into()).or_default();
        if read.from < stream.oldest {
            let body = serde_json::json!({"oldest": stream.oldest, "error": {"code": "trimmed"}});
            return Some(json_reply(StatusCode::GONE, &body));
        }
        let skipped = (read.from - stream.oldest) as usize;
        let records: Vec<_> = (read.from..)
            .zip(stream.records.iter().skip(skipped).take(read.limit))
            .map(|(offset, record)| {
                serde_json::json!({"offset": offset, "record": BASE64.encode(record)})
            })
            .collect();
        if records.is_empty() && !read.wait.is_zero() {
            return None;
        }
        let next =
            if records.is_empty() { stream.next() } else { read.from + records.len() as u64 };
        let body = serde_json::json!({"oldest": stream.oldest, "next": next, "records": records});
        Some(json_reply(StatusCode::OK, &body))
    }
}

fn decode_records(body: &[u8]) -> Option<Vec<Bytes>> {
    let request: AppendRequest = serde_json::from_slice(body).ok()?;
    request.records.iter().map(|text| BASE64.decode(text).ok().map(Bytes::from)).collect()
}

fn read_request(uri: &http::Uri) -> ReadRequest {
    let number = |name: &str| {
        let mut pairs =
            uri.query().unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).and_then(|(_, text)| text.parse::<u64>().ok())
    };
    ReadRequest {
        from: number("from").unwrap_or(0),
        limit: number("limit").map_or(LogStore::DEFAULT_READ_LIMIT, |limit| limit as usize),
        wait: Duration::from_millis(number("wait_ms").unwrap_or(0)),
    }
}
