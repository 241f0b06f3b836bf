//! Callers that send the same small request again and again on kept connections.

use super::*;

/// A connection that sends one request at a time.
pub struct LoadCaller {
    sender: SendRequest<Full<Bytes>>,
    body: Bytes,
}

const LONGEST_NS: u64 = 60_000_000_000;

/// The time to the first byte of the body and to its end.
type CallTimes = (Duration, Duration);

impl LoadCaller {
    async fn connect(address: SocketAddr, kind: AnswerKind) -> Self {
        let stream = TcpStream::connect(address).await.expect("the server listens");
        stream.set_nodelay(true).expect("the option exists");
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .expect("the handshake sends nothing");
        tokio::spawn(connection);
        let body = serde_json::json!({
            "model": "planner@1",
            "stream": matches!(kind, AnswerKind::Stream),
            "messages": [{"role": "user", "content": "Which anchor bolts fit?"}],
        });
        Self { sender, body: body.to_string().into() }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        Request::post("/v1/chat/completions")
            .header("host", "bench")
            .header("authorization", "Bearer plazas-key")
            .header("content-type", "application/json")
            .body(Full::new(self.body.clone()))
            .expect("the request is well formed")
    }

    async fn call(&mut self, start: Instant) -> CallTimes {
        self.sender.ready().await.expect("the connection is kept");
        let response = self.sender.send_request(self.request()).await.expect("an answer");
        let status = response.status();
        let mut body = response.into_body();
        if status != 200 {
            let answer = body.collect().await.expect("a whole answer").to_bytes();
            panic!("status {status}: {}", String::from_utf8_lossy(&answer));
        }
        let mut first = None;
        while let Some(frame) = body.frame().await {
            frame.expect("a whole answer");
            first.get_or_insert_with(|| start.elapsed());
        }
        (first.unwrap_or_default(), start.elapsed())
    }

    /// Sends at a fixed rate and returns the times in nanoseconds.
    ///
    /// A call that could not be sent in time because the one before was late counts from the time
    /// at which it was due.
    pub async fn paced(address: SocketAddr, kind: AnswerKind) -> (Histogram<u64>, Histogram<u64>) {
        let begin = Instant::now() + Duration::from_millis(100);
        let gap = Duration::from_secs(1) / RATE_PER_SECOND;
        let tasks: Vec<_> = (0..CONNECTIONS)
            .map(|index| {
                tokio::spawn(async move {
                    let mut caller = Self::connect(address, kind).await;
                    let mut times = Vec::new();
                    let mut due = begin + gap * index as u32;
                    while due < begin + PACED_TIME {
                        let late = Instant::now() > due;
                        tokio::time::sleep_until(due.into()).await;
                        let start = if late { due } else { Instant::now() };
                        times.push(caller.call(start).await);
                        due += gap * CONNECTIONS as u32;
                    }
                    times
                })
            })
            .collect();
        let mut first = Histogram::new_with_bounds(1, LONGEST_NS, 3).expect("valid bounds");
        let mut whole = first.clone();
        for task in tasks {
            for (first_byte, end) in task.await.expect("the caller ends") {
                first.saturating_record(first_byte.as_nanos() as u64);
                whole.saturating_record(end.as_nanos() as u64);
            }
        }
        (first, whole)
    }

    /// Sends without pause on every connection and returns how many answers came.
    pub async fn closed(address: SocketAddr, kind: AnswerKind) -> u64 {
        let tasks: Vec<_> = (0..CONNECTIONS)
            .map(|_| {
                tokio::spawn(async move {
                    let mut caller = Self::connect(address, kind).await;
                    let end = Instant::now() + CLOSED_TIME;
                    let mut count = 0;
                    while Instant::now() < end {
                        caller.call(Instant::now()).await;
                        count += 1;
                    }
                    count
                })
            })
            .collect();
        let mut total = 0;
        for task in tasks {
            total += task.await.expect("the caller ends");
        }
        total
    }

    /// Opens streams that stall in the middle, and returns what keeps them open.
    pub async fn open_streams(
        address: SocketAddr,
        count: usize,
    ) -> Vec<(Self, hyper::body::Incoming)> {
        let mut open = Vec::with_capacity(count);
        for _ in 0..count {
            let mut caller = Self::connect(address, AnswerKind::Stream).await;
            let request = caller.request();
            let response = caller.sender.send_request(request).await.expect("an answer");
            let mut body = response.into_body();
            body.frame().await.expect("a first part").expect("a first part");
            open.push((caller, body));
        }
        open
    }
}
