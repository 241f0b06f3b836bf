//! The small part of HTTP/1.1 that the stand-ins need: heads, and bodies with a length or in chunks.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result};
use std::net::TcpStream;

/// The head and the body of a request or a response.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> Option<u16> {
        self.first_line.split(' ').nth(1)?.parse().ok()
    }

    /// Returns the path and the query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

fn broken(text: &str) -> Error {
    Error::new(ErrorKind::InvalidData, text.to_owned())
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(Error::from(ErrorKind::UnexpectedEof));
    }
    Ok(line.trim_end().to_owned())
}

/// Reads a whole message; an error if the connection ends before it does.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Result<Message> {
    let first_line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("a header has no colon"))?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message { first_line, headers, body: Vec::new() };
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(size.trim(), 16);
            let size = size.map_err(|_| broken("a chunk has no size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| broken("the length is no number"))?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(message)
}

/// Returns the value of a parameter of a query.
pub fn parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
}
