//! A small HTTP/1.1 reader and writer for both sides.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete by its length or its last chunk.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pair = query.split('&').filter_map(|part| part.split_once('='));
        pair.filter(|(key, _)| *key == name).map(|(_, value)| unescape(value)).next()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut plain, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            plain.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            at += 3;
        } else {
            plain.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// Reads the head of a message; `None` if the connection ends before it begins.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.line)? == 0 {
        return Ok(None);
    }
    message.line.truncate(message.line.trim_end().len());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
}

/// Reads the body that the head announces. `to_end` is true for answers, which may end with the
/// connection. A body that breaks off is kept as far as it came, and `is_whole` stays false.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message, to_end: bool) {
    let is_chunked =
        message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return };
            let mut chunk = vec![0; length + 2];
            if !read_into(reader, &mut chunk, &mut message.body, length) {
                return;
            }
            if length == 0 {
                message.is_whole = true;
                return;
            }
        }
    }
    match message.header("content-length").and_then(|value| value.parse::<usize>().ok()) {
        Some(length) => {
            let mut bytes = vec![0; length];
            message.is_whole = read_into(reader, &mut bytes, &mut message.body, length);
        }
        None if to_end => {
            message.is_whole = reader.read_to_end(&mut message.body).is_ok();
        }
        None => message.is_whole = true,
    }
}

fn read_into(
    reader: &mut BufReader<TcpStream>,
    bytes: &mut [u8],
    body: &mut Vec<u8>,
    length: usize,
) -> bool {
    let mut filled = 0;
    while filled < bytes.len() {
        match reader.read(&mut bytes[filled..]) {
            Ok(0) | Err(_) => break,
            Ok(read) => filled += read,
        }
    }
    body.extend_from_slice(&bytes[..filled.min(length)]);
    filled == bytes.len()
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}
