//! The HTTP client of the platform's store.

use super::*;
use base64::Engine;
use http_body_util::Full;
use hyper_util::client::legacy::{Client, connect::HttpConnector};

/// A client of the platform's store, with pooled connections.
pub struct HttpStore {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    /// The memory for answers that are being received.
    bodies: ByteBudget,
}

#[derive(Debug, Deserialize)]
struct WireAppended {
    offset: Offset,
    end: Offset,
}

#[derive(Debug, Deserialize)]
struct WireMoved {
    end: Offset,
}

#[derive(Debug, Deserialize)]
struct WireTrimmed {
    first: Offset,
}

#[derive(Debug, Deserialize)]
struct WireNewest {
    items: Vec<WireItem>,
    more: bool,
    end: Offset,
}

#[derive(Debug, Deserialize)]
struct WireItem {
    key: SmolStr,
    value: String,
    offset: Offset,
}

impl HttpStore {
    /// Longer than an answer takes when the store is slow (50 to 60 times 4 ms), and shorter than
    /// the 2 s bounds that depend on an answer.
    const CALL_TIMEOUT_MS: u64 = 1_200;
    const CONNECT_TIMEOUT_MS: u64 = 800;
    /// TCP keep-alive: the idle time before the first probe and the interval between probes.
    const PROBE_MS: u64 = 1_000;
    const PROBE_COUNT: u32 = 2;
    const IDLE_MS: u64 = 10_000;
    /// Twice the size of the store's largest page (1 MB) in base64.
    const ANSWER_LIMIT: ByteSize = ByteSize(3 * 1_024 * 1_024);
    /// All answers that are being received together; room for one of the largest beside small ones.
    const ANSWER_MEMORY: ByteSize = ByteSize(8 * 1_024 * 1_024);
    /// The head of an answer, and what is read of its body at a time.
    const READ_BUFFER_BYTES: usize = 64 * 1_024;

    /// Creates a client of the store at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = http_connector(Millis(Self::CONNECT_TIMEOUT_MS));
        let probe = Duration::from_millis(Self::PROBE_MS);
        connector.set_keepalive(Some(probe));
        connector.set_keepalive_interval(Some(probe));
        connector.set_keepalive_retries(Some(Self::PROBE_COUNT));
        let client = Client::builder(hyper_util::rt::TokioExecutor::new())
            .pool_idle_timeout(Duration::from_millis(Self::IDLE_MS))
            .retry_canceled_requests(false)
            .http1_max_buf_size(Self::READ_BUFFER_BYTES)
            .build(connector);
        Self { address, client, bodies: ByteBudget::new(Self::ANSWER_MEMORY) }
    }

    async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
        wait: Millis,
    ) -> Result<(http::StatusCode, Bytes), StoreError> {
        let malformed =
            |cause: &dyn Display| StoreError::Malformed { cause: cause.to_string().into() };
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| malformed(&error))?;
        let timeout = Duration::from_millis(Self::CALL_TIMEOUT_MS) + wait.duration();
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                let cause = SmolStr::new(error.to_string());
                if error.is_connect() {
                    StoreError::Unreachable { cause }
                } else {
                    StoreError::Lost { cause }
                }
            })?;
            let status = response.status();
            let body =
                HeldBuffer::collect(response.into_body(), Self::ANSWER_LIMIT, &self.bodies).await;
            let body =
                body.map_err(|error| StoreError::Lost { cause: error.to_string().into() })?;
            Ok((status, body.bytes))
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| StoreError::Lost { cause: "the store did not answer in time".into() })?
    }

    async fn get(&self, path: &str, wait: Millis) -> Result<Bytes, StoreError> {
        let (status, body) = self.call(http::Method::GET, path, Vec::new(), wait).await?;
        match status.as_u16() {
            200 => Ok(body),
            410 => Err(StoreError::Trimmed { first: parse::<WireTrimmed>(&body)?.first }),
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Reads a page of a topic: the oldest offset kept, the end offset and the raw records.
    async fn read_frames(
        &self,
        topic: &str,
        from: Offset,
        wait: Millis,
    ) -> Result<RawPage, StoreError> {
        let path =
            format!("{READ_PATH}?topic={}&part=0&from={from}&wait_ms={}", escape(topic), wait.0);
        let body = self.get(&path, wait).await?;
        RawPage::read(&body).map_err(|cause| StoreError::Malformed { cause })
    }

    /// Appends raw records to a topic, with `at` only if the topic still ends at that offset.
    ///
    /// Returns the offset of the first record and the new end offset.
    async fn append_frames(
        &self,
        topic: &str,
        records: &[Bytes],
        at: Option<Offset>,
    ) -> Result<WireAppended, StoreError> {
        let mut body = Vec::new();
        for record in records {
            write_frame(&mut body, record);
        }
        let condition = at.map(|at| format!("&at={at}")).unwrap_or_default();
        let path = format!("{APPEND_PATH}?topic={}&part=0{condition}", escape(topic));
        let (status, body) = self.call(http::Method::POST, &path, body, Millis(0)).await?;
        match status.as_u16() {
            200 => parse::<WireAppended>(&body),
            412 => Err(StoreError::Moved { end: parse::<WireMoved>(&body)?.end }),
            status => Err(StoreError::Refused { status }),
        }
    }

    async fn read_newest(
        &self,
        stream: StoreStream,
        after: Option<SmolStr>,
    ) -> Result<NewestPage, StoreError> {
        let mut path = format!("{NEWEST_PATH}?topic={}&part=0", topic(stream));
        if let Some(after) = after {
            path.push_str("&after=");
            path.push_str(&escape(&after));
        }
        let body = self.get(&path, Millis(0)).await?;
        let wire: WireNewest = parse(&body)?;
        let mut page = NewestPage { end: wire.end, ..NewestPage::default() };
        if wire.more {
            page.more_after = wire.items.last().map(|item| item.key.clone());
        }
        for item in wire.items {
            let value = base64::engine::general_purpose::STANDARD.decode(&item.value);
            let record = match value {
                Ok(value) => decode_keyed_record(stream, &item.key, &value),
                Err(error) => {
                    Some(StoreRecord::Unreadable { key: item.key, cause: error.to_string().into() })
                }
            };
            page.records.extend(record.map(|record| StreamRecord { offset: item.offset, record }));
        }
        Ok(page)
    }

    async fn read_page(
        &self,
        stream: StoreStream,
        from: Offset,
        wait: Millis,
    ) -> Result<StorePage, StoreError> {
        let page = self.read_frames(topic(stream), from, wait).await?;
        let next = page.next_after(from);
        let records = page.records.iter().enumerate().filter_map(|(index, frame)| {
            let offset = Offset(from.0 + index as u64);
            let record = if stream.is_keyed() {
                decode_keyed_frame(stream, offset, frame)
            } else {
                Some(decode_evidence(offset, frame))
            };
            record.map(|record| StreamRecord { offset, record })
        });
        Ok(StorePage { records: records.collect(), next, end: page.end })
    }

    async fn append_record(
        &self,
        record: &StoreRecord,
        at: Option<Offset>,
    ) -> Result<Offset, StoreError> {
        let (stream, content) = encode_record(record)?;
        let appended = self.append_frames(topic(stream), &[content.into()], at).await?;
        Ok(appended.end)
    }

    /// Converts an error of the store to the error type of [`LogService`].
    fn log_error(&self, error: StoreError) -> PlatformError {
        let address = SmolStr::new(self.address.to_string());
        match error {
            StoreError::Refused { status } => PlatformError::Refused { address, status },
            StoreError::Trimmed { first } => PlatformError::Trimmed { oldest: first },
            StoreError::Unreachable { cause } => PlatformError::Unreachable { address, cause },
            StoreError::Lost { cause } => PlatformError::Lost { address, cause },
            StoreError::Malformed { cause } => PlatformError::Malformed { address, cause },
            StoreError::Moved { .. } => {
                PlatformError::Malformed { address, cause: error.to_string().into() }
            }
        }
    }
}

impl LogService for HttpStore {
    fn append<'a>(
        &'a self,
        stream: &'a StreamId,
        records: &'a [Bytes],
    ) -> BoxFuture<'a, Result<Offset, PlatformError>> {
        Box::pin(async move {
            let appended = self.append_frames(stream.as_str(), records, None).await;
            appended.map(|appended| appended.offset).map_err(|error| self.log_error(error))
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a StreamId,
        from: Offset,
        wait: Millis,
    ) -> BoxFuture<'a, Result<LogPage, PlatformError>> {
        Box::pin(async move {
            let page = self.read_frames(stream.as_str(), from, wait).await;
            let page = page.map_err(|error| self.log_error(error))?;
            let next = if page.records.is_empty() { page.end } else { page.next_after(from) };
            let records = page
                .records
                .into_iter()
                .enumerate()
                .map(|(index, record)| LogRecord { offset: Offset(from.0 + index as u64), record });
            Ok(LogPage { oldest: page.first, next, records: records.collect() })
        })
    }
}

impl RecordStore for HttpStore {
    fn newest(
        &self,
        stream: StoreStream,
        after: Option<SmolStr>,
    ) -> BoxFuture<'_, Result<NewestPage, StoreError>> {
        Box::pin(self.read_newest(stream, after))
    }

    fn read(
        &self,
        stream: StoreStream,
        from: Offset,
        wait: Millis,
    ) -> BoxFuture<'_, Result<StorePage, StoreError>> {
        Box::pin(self.read_page(stream, from, wait))
    }

    fn append<'a>(
        &'a self,
        record: &'a StoreRecord,
        at: Option<Offset>,
    ) -> BoxFuture<'a, Result<Offset, StoreError>> {
        Box::pin(self.append_record(record, at))
    }
}

/// Returns the topic of a stream. The store compacts topics whose name starts with "keyed.": it
/// keeps the newest record of each key.
const fn topic(stream: StoreStream) -> &'static str {
    match stream {
        StoreStream::Operators => "keyed.op",
        StoreStream::Servers => "keyed.servers",
        StoreStream::Rollouts => "keyed.status",
        StoreStream::Evidence => "guavapass.evidence",
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    operator_records::parse(body).map_err(|cause| StoreError::Malformed { cause })
}

/// Percent-encodes a value for a query string.
fn escape(key: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    let escaped =
        |byte: u8| if plain(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") };
    key.bytes().map(escaped).collect()
}

fn decode_keyed_frame(stream: StoreStream, offset: Offset, frame: &[u8]) -> Option<StoreRecord> {
    if let Some((key, value)) = read_keyed(frame) {
        return decode_keyed_record(stream, key, value);
    }
    let key = format!("{stream} at offset {offset}").into();
    Some(StoreRecord::Unreadable { key, cause: "the record has no valid key".into() })
}

fn decode_keyed_record(stream: StoreStream, key: &str, value: &[u8]) -> Option<StoreRecord> {
    match stream {
        StoreStream::Operators => read_operator_record(key, value),
        StoreStream::Servers => Some(read_server_record(key, value)),
        StoreStream::Rollouts => read_rollout_record(key, value),
        StoreStream::Evidence => None,
    }
}

fn decode_evidence(offset: Offset, frame: &[u8]) -> StoreRecord {
    rmp_serde::from_slice(frame).map_or_else(
        |error| StoreRecord::Unreadable {
            key: format!("evidence at offset {offset}").into(),
            cause: error.to_string().into(),
        },
        StoreRecord::Evidence,
    )
}

/// Returns the stream and the encoded bytes of a record.
///
/// Fails for the kinds of records that entry VMs only read.
fn encode_record(record: &StoreRecord) -> Result<(StoreStream, Vec<u8>), StoreError> {
    let malformed = |error: &dyn Display| StoreError::Malformed { cause: error.to_string().into() };
    match record {
        StoreRecord::Rollout(record) => {
            let value = write_rollout_record(record).map_err(|error| malformed(&error))?;
            Ok((StoreStream::Rollouts, write_keyed(&rollout_key(record), &value)))
        }
        StoreRecord::Evidence(evidence) => rmp_serde::to_vec(evidence)
            .map(|content| (StoreStream::Evidence, content))
            .map_err(|error| malformed(&error)),
        StoreRecord::Configuration(_)
        | StoreRecord::Order(_)
        | StoreRecord::Server(_)
        | StoreRecord::Evacuation(_)
        | StoreRecord::Unreadable { .. } => Err(StoreError::Malformed {
            cause: "entry VMs do not write records of this kind".into(),
        }),
    }
}
