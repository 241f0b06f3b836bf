//! A stand-in of a client: one request on a connection of its own.

use crate::http;
use crate::server::whole_body;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What a client has seen of the answer to its request.
#[derive(Debug, Clone)]
pub struct Seen {
    /// 0 if no answer came.
    pub status: u16,
    pub is_signed: bool,
    pub is_whole: bool,
    pub body: Vec<u8>,
}

pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub deadline_ms: u64,
}

pub const HOST: &str = "ficu95.example";

pub fn send(front: SocketAddr, call: &Call) -> Seen {
    let none = Seen { status: 0, is_signed: false, is_whole: false, body: Vec::new() };
    let patience = Duration::from_secs(1);
    let Ok(mut stream) = TcpStream::connect_timeout(&front, patience) else { return none };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(call.deadline_ms)));
    let key = call.key.map(|key| format!("Api-Key: {key}\r\n")).unwrap_or_default();
    let length = if call.method == "POST" { "Content-Length: 0\r\n" } else { "" };
    let request = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n{key}{length}\
         Connection: close\r\n\r\n",
        call.method, call.path, call.id, call.deadline_ms
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return none;
    }
    let mut reader = BufReader::new(stream);
    let Ok(Some(mut answer)) = http::read_head(&mut reader) else { return none };
    http::read_body(&mut reader, &mut answer, true);
    Seen {
        status: answer.status(),
        is_signed: answer.header("x-response-signature").is_some(),
        is_whole: answer.is_whole,
        body: answer.body,
    }
}

/// Asks whether a machine is ready, as the platform does.
pub fn is_ready(ready: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&ready, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let request = "GET /-/readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let answer = http::read_head(&mut BufReader::new(stream));
    answer.ok().flatten().is_some_and(|answer| answer.status() == 200)
}

/// A connection that a client keeps for several requests, each with a body that it uploads slowly.
pub struct Upload {
    reader: BufReader<TcpStream>,
}

/// How a client uploads a body.
#[derive(Clone, Copy)]
pub struct Pace {
    pub bytes: usize,
    pub parts: usize,
    pub pause: Duration,
    /// The number of parts after which the client leaves, if it does.
    pub leaves_after: Option<usize>,
}

impl Upload {
    pub fn open(front: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Self { reader: BufReader::new(stream) })
    }

    /// Sends a request whose body follows in parts, and reads its answer. Returns what the client
    /// has seen, and whether the connection can be used again. If the client leaves, it closes the
    /// connection in the middle of its body.
    pub fn send(mut self, call: &Call, pace: Pace) -> (Seen, Option<Self>) {
        let none = Seen { status: 0, is_signed: false, is_whole: false, body: Vec::new() };
        let stream = self.reader.get_mut();
        let _ = stream.set_read_timeout(Some(Duration::from_millis(call.deadline_ms)));
        let key = call.key.map(|key| format!("Api-Key: {key}\r\n")).unwrap_or_default();
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n{key}\
             Content-Length: {}\r\n\r\n",
            call.method, call.path, call.id, call.deadline_ms, pace.bytes
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return (none, None);
        }
        let body = whole_body(call.id, pace.bytes);
        for (index, part) in body.chunks(pace.bytes.div_ceil(pace.parts)).enumerate() {
            if pace.leaves_after == Some(index) {
                return (none, None);
            }
            if stream.write_all(part).is_err() {
                return (none, None);
            }
            std::thread::sleep(pace.pause);
        }
        let Ok(Some(mut answer)) = http::read_head(&mut self.reader) else { return (none, None) };
        http::read_body(&mut self.reader, &mut answer, true);
        let seen = Seen {
            status: answer.status(),
            is_signed: answer.header("x-response-signature").is_some(),
            is_whole: answer.is_whole,
            body: answer.body.clone(),
        };
        let is_last = answer.header("connection").is_some_and(|value| value == "close");
        let keeps = !is_last && answer.is_whole;
        (seen, keeps.then_some(self))
    }
}
