//! A backend server on a loopback port that follows a script of faults.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, Weak},
    time::{Duration, Instant},
};

/// How the server handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAction {
    /// Sends a complete answer.
    Answer,
    /// Answers with status 500.
    Fail,
    /// Answers that it has not run the request.
    RejectNotRun,
    /// Answers that it has not run the request, and writes that refusal once more.
    RejectTwice(CopyMoment, CopyId),
    /// Sends a complete answer that is not a stream of events: status, content type and body.
    Page(&'static str, &'static str, &'static str),
    /// Runs the request and sends the answer as it is written here, after `{id}` has been replaced
    /// by the attempt's id, and closes the connection.
    Raw(&'static str),
    /// Sends only this many bytes of the answer, and closes or resets the connection.
    Cut(&'static str, usize, CutEnd),
    /// Sends the answer like [`Self::Raw`], and crashes.
    RawThenEnd(&'static str),
    /// The same, with the listener closed some milliseconds after the connection.
    RawThenEndLate(&'static str),
    /// Waits for this many milliseconds, and then sends the answer like [`Self::Raw`].
    RawAfter(u64, &'static str),
    /// Sends this many events of a stream, then an error as an event without an id, and ends it.
    ErrorEventAfter(u64),
    /// Sends this many events of a stream without a length or chunks, and crashes.
    EndAfter(u64),
    /// Sends all events of a stream without a length or chunks, and closes the connection.
    CloseAfterStream,
    /// Closes the connection after it has read the request.
    Close,
    /// Sends this many events of a stream and an incomplete one, and closes the connection.
    CutAfter(u64),
    /// Answers with the attempt id of another request.
    WrongId,
    /// Never answers.
    Hang,
    /// Sends [`RouteServer::SLOW_EVENTS`] events of a stream with this pause in milliseconds.
    Slow(u64),
    /// Sends two events of a stream, then comment lines and the second event again and again.
    Stall,
    /// Sends the events of a stream with these ids, and ends it properly.
    Events(&'static [u64]),
    /// Sends a complete answer that announces that the server is leaving.
    Leave,
    /// Rejects the request with this `Retry-After`, in seconds.
    Rest(&'static str),
    /// Behaves like a process that crashes: stops listening and closes all connections.
    End,
    /// Sends an endless answer until the peer closes the connection.
    Flood(FloodedPart),
    /// Sends a stream of this many events of this many bytes, and cuts it off once it has been
    /// unread for [`RouteServer::UNREAD_LIMIT`].
    Long(usize, usize),
}

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutEnd {
    Close,
    Reset,
}

/// When the copy of a refusal is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyMoment {
    /// Together with the refusal.
    AtOnce,
    /// Once the head of the next request on the connection has arrived.
    AfterNextHead,
    /// Once the next request on the connection has arrived completely.
    AfterNextRequest,
}

/// The attempt id of the copy of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyId {
    /// That of the refused attempt.
    Same,
    /// None.
    Missing,
}

/// The part of an answer that is endless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodedPart {
    /// The status line.
    StatusLine,
    /// The value of a header.
    Header,
    /// The list of headers.
    Headers,
    /// A sequence of 103 interim responses.
    Interim,
    /// The size of a chunk.
    ChunkSize,
    /// The extension of a chunk.
    ChunkExtension,
    /// The trailers.
    Trailers,
    /// The body of an answer without a length.
    Body,
    /// One event of a stream.
    Event,
}

/// A request as the server received it.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    pub at: Instant,
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl SeenRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

#[derive(Default)]
struct ServerScript {
    moves: Vec<ServerAction>,
    /// The limit that its answers name, in requests per second.
    limit: Option<String>,
    /// How many of the next connections it resets on accept.
    resets: usize,
    seen: Vec<SeenRequest>,
    closed_by_peer: usize,
    /// How many answers it has cut off because they were not read.
    unread: usize,
    open: usize,
    /// Its open connections, which a crash closes.
    streams: Vec<Weak<TcpStream>>,
    is_ending: bool,
    has_ended: bool,
}

#[derive(Clone)]
pub struct RouteServer {
    pub id: String,
    pub address: SocketAddr,
    script: Arc<Mutex<ServerScript>>,
}

impl RouteServer {
    /// The number of events in a complete stream.
    pub const EVENTS: u64 = 6;
    /// The number of events in a complete slow stream.
    pub const SLOW_EVENTS: u64 = 20;
    /// The time after which it cuts off an answer that is not read.
    pub const UNREAD_LIMIT: Duration = Duration::from_secs(3);

    pub fn start(id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = Self { id: id.into(), address, script: Arc::default() };
        let accepting = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                if server.script.lock().unwrap().is_ending {
                    break;
                }
                if server.use_reset() {
                    let linger = Some(Duration::ZERO);
                    socket2::SockRef::from(&stream).set_linger(linger).unwrap();
                    continue;
                }
                let stream = Arc::new(stream);
                server.script.lock().unwrap().streams.push(Arc::downgrade(&stream));
                std::thread::spawn(move || server.serve(&stream));
            }
            drop(listener);
            accepting.script.lock().unwrap().has_ended = true;
        });
        server
    }

    /// Sets how the server handles the next requests, in order. After that it sends complete
    /// answers.
    pub fn script(&self, moves: &[ServerAction]) {
        self.script.lock().unwrap().moves = moves.to_vec();
    }

    /// Sets the limit that all further answers name, in requests per second.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.script.lock().unwrap().limit = limit.map(str::to_owned);
    }

    /// Returns the header that names the limit, if there is one.
    fn limit_header(&self) -> String {
        let limit = self.script.lock().unwrap().limit.clone();
        limit.map_or(String::new(), |limit| format!("Server-Limit: {limit}\r\n"))
    }

    /// Makes the server reset its next connections, like a server at its connection limit.
    pub fn reset_next(&self, connections: usize) {
        self.script.lock().unwrap().resets = connections;
    }

    fn use_reset(&self) -> bool {
        let mut script = self.script.lock().unwrap();
        let is_reset = script.resets > 0;
        script.resets = script.resets.saturating_sub(1);
        is_reset
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.script.lock().unwrap().open
    }

    pub fn seen(&self) -> Vec<SeenRequest> {
        self.script.lock().unwrap().seen.clone()
    }

    /// Returns how many connections the peer closed while the server was hanging, stalling or
    /// flooding.
    pub fn closed_by_peer(&self) -> usize {
        self.script.lock().unwrap().closed_by_peer
    }

    /// Returns how many answers the server has cut off because they were not read.
    pub fn unread(&self) -> usize {
        self.script.lock().unwrap().unread
    }

    /// Counts a connection that the peer closed. Returns false, which ends the serving of it.
    fn count_closed_by_peer(&self) -> bool {
        self.script.lock().unwrap().closed_by_peer += 1;
        false
    }

    fn serve(&self, stream: &TcpStream) {
        self.script.lock().unwrap().open += 1;
        self.serve_requests(stream);
        self.script.lock().unwrap().open -= 1;
    }

    fn serve_requests(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut copy: Option<(CopyMoment, String)> = None;
        loop {
            let mut writer = stream;
            let early = copy.as_ref().filter(|(moment, _)| *moment == CopyMoment::AfterNextHead);
            let on_head =
                || early.is_none_or(|(_, text)| writer.write_all(text.as_bytes()).is_ok());
            let Some(request) = read_request(&mut reader, on_head) else { return };
            if let Some((CopyMoment::AfterNextRequest, text)) = copy.take() {
                let _ = writer.write_all(text.as_bytes());
            }
            let next = {
                let mut script = self.script.lock().unwrap();
                script.seen.push(request.clone());
                let parts = request.header("x-prompt-prefix").unwrap_or_default();
                let ends = request.line.contains("/crash") || parts.contains("dead:");
                let is_scripted = !script.moves.is_empty();
                match (ends, is_scripted) {
                    (true, _) => ServerAction::End,
                    (false, true) => script.moves.remove(0),
                    (false, false) => ServerAction::Answer,
                }
            };
            if let ServerAction::RejectTwice(moment, id) = next {
                copy = Some((moment, Self::refusal(&request, id)));
            }
            if !self.act(stream, &request, next) {
                return;
            }
        }
    }

    fn act(&self, mut stream: &TcpStream, request: &SeenRequest, next: ServerAction) -> bool {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let is_stream = request.line.contains("/plan/") || request.line.contains("/frail/");
        match next {
            ServerAction::Answer if is_stream => self.stream(stream, request, Self::EVENTS, true),
            ServerAction::CutAfter(events) => self.stream(stream, request, events, false),
            ServerAction::Answer => self.answer(stream, "200 OK", id, &format!("from {}", self.id)),
            ServerAction::Fail => self.answer(stream, "500 Internal Server Error", id, "failed"),
            ServerAction::WrongId => self.answer(stream, "200 OK", "another-call", "not yours"),
            ServerAction::RejectNotRun => {
                stream.write_all(Self::refusal(request, CopyId::Same).as_bytes()).is_ok()
            }
            ServerAction::RejectTwice(moment, id) => {
                let mut text = Self::refusal(request, CopyId::Same);
                if moment == CopyMoment::AtOnce {
                    text.push_str(&Self::refusal(request, id));
                }
                stream.write_all(text.as_bytes()).is_ok()
            }
            ServerAction::Page(status, kind, body) => {
                self.answer(stream, &format!("{status}\r\nContent-Type: {kind}"), id, body)
            }
            ServerAction::Raw(text) => {
                let _ = stream.write_all(text.replace("{id}", id).as_bytes());
                false
            }
            ServerAction::Cut(text, length, end) => {
                let text = text.replace("{id}", id);
                let _ = stream.write_all(&text.as_bytes()[..length.min(text.len())]);
                if end == CutEnd::Reset {
                    // What has been sent arrives first.
                    std::thread::sleep(Duration::from_millis(1));
                    let linger = Some(Duration::ZERO);
                    socket2::SockRef::from(stream).set_linger(linger).unwrap();
                }
                false
            }
            ServerAction::RawThenEnd(text) => self.raw_then_end(stream, id, text, Duration::ZERO),
            ServerAction::RawThenEndLate(text) => {
                self.raw_then_end(stream, id, text, Duration::from_millis(5))
            }
            ServerAction::RawAfter(pause, text) => {
                std::thread::sleep(Duration::from_millis(pause));
                let _ = stream.write_all(text.replace("{id}", id).as_bytes());
                false
            }
            ServerAction::ErrorEventAfter(events) => {
                let from = request.header("last-event-id").map_or(0, |last| last.parse().unwrap());
                let chunks: String = (from + 1..=from + events).map(Self::event_chunk).collect();
                let error = Self::chunk("event: error\ndata: the engine failed\n\n");
                let text = format!("{}{chunks}{error}0\r\n\r\n", self.stream_head(id));
                stream.write_all(text.as_bytes()).is_ok()
            }
            ServerAction::EndAfter(events) => {
                let text = self.undelimited_stream(request, events);
                let _ = stream.write_all(text.as_bytes());
                std::thread::sleep(Duration::from_millis(50));
                self.end()
            }
            ServerAction::CloseAfterStream => {
                let text = self.undelimited_stream(request, Self::EVENTS);
                let _ = stream.write_all(text.as_bytes());
                false
            }
            ServerAction::Leave if is_stream => {
                let head =
                    self.stream_head(id).replace("\r\n\r\n", "\r\nServer-Leaving: 1\r\n\r\n");
                let events: String = (1..=Self::EVENTS).map(Self::event_chunk).collect();
                stream.write_all(format!("{head}{events}0\r\n\r\n").as_bytes()).is_ok()
            }
            ServerAction::Leave => {
                let status = "200 OK\r\nServer-Leaving: 1";
                self.answer(stream, status, id, &format!("from {}", self.id))
            }
            ServerAction::Rest(seconds) => {
                let head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n";
                let text = format!(
                    "{head}Retry-After: {seconds}\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(text.as_bytes()).is_ok()
            }
            ServerAction::Close => false,
            ServerAction::End => self.end(),
            ServerAction::Slow(pause) => self.slow(stream, request, pause),
            ServerAction::Stall => self.stall(stream, request),
            ServerAction::Events(ids) => {
                let chunks: String = ids.iter().map(|event| Self::event_chunk(*event)).collect();
                let text = format!("{}{chunks}0\r\n\r\n", self.stream_head(id));
                stream.write_all(text.as_bytes()).is_ok()
            }
            ServerAction::Long(events, bytes) => self.long(stream, id, events, bytes),
            ServerAction::Flood(place) => self.flood(stream, id, place),
            ServerAction::Hang => {
                let mut rest = [0_u8; 16];
                let _ = stream.read(&mut rest);
                self.count_closed_by_peer()
            }
        }
    }

    /// Sends an answer, closes the connection, and crashes after a pause.
    fn raw_then_end(&self, mut stream: &TcpStream, id: &str, text: &str, pause: Duration) -> bool {
        let _ = stream.write_all(text.replace("{id}", id).as_bytes());
        if pause > Duration::ZERO {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            std::thread::sleep(pause);
        }
        self.end()
    }

    fn end(&self) -> bool {
        self.script.lock().unwrap().is_ending = true;
        let _ = TcpStream::connect(self.address);
        while !self.has_ended() {
            std::thread::sleep(Duration::from_millis(1));
        }
        for stream in self.script.lock().unwrap().streams.drain(..).filter_map(|s| s.upgrade()) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        false
    }

    /// Returns whether the server has crashed and stopped listening.
    pub fn has_ended(&self) -> bool {
        self.script.lock().unwrap().has_ended
    }

    fn answer(&self, mut stream: &TcpStream, status: &str, id: &str, body: &str) -> bool {
        let text = format!(
            "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig-{}\r\n\
             X-Server-Load: 1,0,8,100\r\n{}Content-Length: {}\r\n\r\n{body}",
            self.id,
            self.limit_header(),
            body.len()
        );
        stream.write_all(text.as_bytes()).is_ok()
    }

    fn stream_head(&self, id: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig-{}\r\n\
             Content-Type: text/event-stream\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            self.id,
            self.limit_header()
        )
    }

    /// Returns a stream up to an event that ends with its connection.
    fn undelimited_stream(&self, request: &SeenRequest, to: u64) -> String {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let from = request.header("last-event-id").map_or(0, |last| last.parse().unwrap());
        let head = self.stream_head(id).replace("Transfer-Encoding: chunked\r\n", "");
        let event = |event: u64| format!("id: {event}\ndata: piece {event}\n\n");
        head + &(from + 1..=to).map(event).collect::<String>()
    }

    fn refusal(request: &SeenRequest, id: CopyId) -> String {
        let id = match id {
            CopyId::Same => {
                format!("X-Attempt-Id: {}\r\n", request.header("x-attempt-id").unwrap_or_default())
            }
            CopyId::Missing => String::new(),
        };
        let head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n";
        format!("{head}{id}Content-Length: 0\r\n\r\n")
    }

    fn event_chunk(event: u64) -> String {
        Self::chunk(&format!("id: {event}\ndata: piece {event}\n\n"))
    }

    fn chunk(text: &str) -> String {
        format!("{:x}\r\n{text}\r\n", text.len())
    }

    /// Sends all events of a slow stream, with a pause in milliseconds after each.
    fn slow(&self, mut stream: &TcpStream, request: &SeenRequest, pause: u64) -> bool {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let mut is_open = stream.write_all(self.stream_head(id).as_bytes()).is_ok();
        for event in 1..=Self::SLOW_EVENTS {
            is_open = is_open && stream.write_all(Self::event_chunk(event).as_bytes()).is_ok();
            std::thread::sleep(Duration::from_millis(pause));
        }
        is_open && stream.write_all(b"0\r\n\r\n").is_ok()
    }

    fn stall(&self, mut stream: &TcpStream, request: &SeenRequest) -> bool {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let events = [1, 2].map(Self::event_chunk).concat();
        let mut text = format!("{}{events}", self.stream_head(id));
        while stream.write_all(text.as_bytes()).is_ok() {
            text = format!("{}{}", Self::chunk(": still there\n\n"), Self::event_chunk(2));
            std::thread::sleep(Duration::from_millis(100));
        }
        self.count_closed_by_peer()
    }

    fn long(&self, mut stream: &TcpStream, id: &str, events: usize, bytes: usize) -> bool {
        stream.set_write_timeout(Some(Self::UNREAD_LIMIT)).unwrap();
        let event = |event| Self::chunk(&format!("id: {event}\ndata: {}\n\n", "x".repeat(bytes)));
        let texts = std::iter::once(self.stream_head(id)).chain((1..=events).map(event));
        for text in texts.chain(["0\r\n\r\n".to_owned()]) {
            if let Err(error) = stream.write_all(text.as_bytes()) {
                let is_unread = error.kind() == std::io::ErrorKind::WouldBlock;
                self.script.lock().unwrap().unread += usize::from(is_unread);
                return false;
            }
        }
        true
    }

    fn flood(&self, mut stream: &TcpStream, id: &str, place: FloodedPart) -> bool {
        let signed = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig-{}\r\n",
            self.id
        );
        let (start, more) = match place {
            FloodedPart::StatusLine => ("HTTP/1.1 200 ".into(), "x".repeat(1_000)),
            FloodedPart::Header => (format!("{signed}X-Long: "), "x".repeat(1_000)),
            FloodedPart::Headers => (signed, "X-More: value\r\n".repeat(50)),
            FloodedPart::Interim => {
                (String::new(), "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n".repeat(20))
            }
            FloodedPart::ChunkSize => (self.stream_head(id), "0".repeat(1_000)),
            FloodedPart::ChunkExtension => {
                (format!("{}5;", self.stream_head(id)), "x".repeat(1_000))
            }
            FloodedPart::Trailers => {
                (format!("{}0\r\n", self.stream_head(id)), "X-More: value\r\n".repeat(50))
            }
            FloodedPart::Body => (format!("{signed}\r\n"), "x".repeat(10_000)),
            FloodedPart::Event => (self.stream_head(id), Self::chunk(&"x".repeat(10_000))),
        };
        let mut is_open = stream.write_all(start.as_bytes()).is_ok();
        while is_open {
            is_open = stream.write_all(more.as_bytes()).is_ok();
        }
        self.count_closed_by_peer()
    }

    fn stream(
        &self,
        mut stream: &TcpStream,
        request: &SeenRequest,
        to: u64,
        is_complete: bool,
    ) -> bool {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let from = request.header("last-event-id").map_or(0, |last| last.parse().unwrap());
        let mut text = self.stream_head(id);
        text.extend((from + 1..=to).map(Self::event_chunk));
        text.push_str(if is_complete { "0\r\n\r\n" } else { "b\r\nid: 99\ndata\r\n" });
        let written = stream.write_all(text.as_bytes()).is_ok();
        if !is_complete {
            std::thread::sleep(Duration::from_millis(50));
        }
        written && is_complete
    }
}

/// Reads a request; calls `on_head` between its head and its body.
fn read_request(
    reader: &mut BufReader<TcpStream>,
    mut on_head: impl FnMut() -> bool,
) -> Option<SeenRequest> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|read| *read > 0)?;
        let Some((name, value)) = header.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    on_head();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(0, |(_, value)| value.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(SeenRequest { at: Instant::now(), line: line.trim_end().into(), headers, body })
}
