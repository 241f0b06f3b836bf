//! A stand-in of the platform's store: topics of one partition, reads that wait, the newest record
//! of each key, and appends under a condition.

use crate::http::{parameter, read_message, Message};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The time that a call takes, as the sheets of the sites state it.
const CALL: Duration = Duration::from_millis(4);

/// A record that was appended to a keyed topic.
#[derive(Clone)]
pub struct Record {
    pub at: Instant,
    pub content: Vec<u8>,
}

impl Record {
    pub fn key(&self) -> &[u8] {
        &self.content[1..=usize::from(self.content[0])]
    }

    pub fn value(&self) -> &[u8] {
        &self.content[1 + usize::from(self.content[0])..]
    }
}

#[derive(Default)]
struct Topics {
    topics: Mutex<BTreeMap<String, Vec<Record>>>,
    appended: Condvar,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<Topics>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let store = Self { address, topics: Arc::default() };
        let accepting = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record as the operator or a server does; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        let _ = self.append(topic, vec![content], None);
    }

    /// Returns all records of a topic.
    pub fn records(&self, topic: &str) -> Vec<Record> {
        self.topics.topics.lock().unwrap().get(topic).cloned().unwrap_or_default()
    }

    /// Appends records. Returns the offset of the first, or the end if that is not at `at`.
    fn append(&self, topic: &str, contents: Vec<Vec<u8>>, at: Option<usize>) -> Result<usize, usize> {
        let mut topics = self.topics.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let end = records.len();
        if at.is_some_and(|at| at != end) {
            return Err(end);
        }
        let now = Instant::now();
        records.extend(contents.into_iter().map(|content| Record { at: now, content }));
        self.topics.appended.notify_all();
        Ok(end)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(call) = read_message(&mut reader) {
            std::thread::sleep(CALL);
            let (status, body) = self.answer(&call);
            let head = format!("HTTP/1.1 {status} Answer\r\nContent-Length: {}\r\n\r\n", body.len());
            let answer = [head.as_bytes(), &body].concat();
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, Vec<u8>) {
        let target = call.target();
        let topic = parameter(target, "topic").unwrap_or_default();
        let number = |name| parameter(target, name).and_then(|text| text.parse::<u64>().ok());
        match target.split('?').next().unwrap_or_default() {
            "/-/log-append" => {
                let contents = split_frames(&call.body);
                let count = contents.len();
                match self.append(topic, contents, number("at").map(|at| at as usize)) {
                    Ok(offset) => {
                        let end = offset + count;
                        (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
                    }
                    Err(end) => (412, format!("{{\"end\":{end}}}").into_bytes()),
                }
            }
            "/-/log-newest" => (200, self.newest(topic).into_bytes()),
            "/-/log-read" => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                (200, self.read(topic, number("from").unwrap_or(0) as usize, wait))
            }
            _ => (404, b"{}".to_vec()),
        }
    }

    fn newest(&self, topic: &str) -> String {
        let records = self.records(topic);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let key = String::from_utf8_lossy(record.key()).into_owned();
            if record.value().is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, record.value()));
            }
        }
        let items = newest.iter().map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items = items.collect::<Vec<_>>().join(",");
        format!("{{\"items\":[{items}],\"more\":false,\"end\":{}}}", records.len())
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.topics.lock().unwrap();
        loop {
            let records = topics.entry(topic.to_owned()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut page = (records.len() as u64).to_be_bytes().to_vec();
                page.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    page.extend_from_slice(&(record.content.len() as u32).to_be_bytes());
                    page.extend_from_slice(&record.content);
                }
                return page;
            }
            topics = self.topics.appended.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn split_frames(mut bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut frames = Vec::new();
    while let Some((length, rest)) = bytes.split_first_chunk::<4>() {
        let length = (u32::from_be_bytes(*length) as usize).min(rest.len());
        frames.push(rest[..length].to_vec());
        bytes = &rest[length..];
    }
    frames
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = (0..3).fold(0_u32, |sum, index| {
            sum << 8 | u32::from(group.get(index).copied().unwrap_or(0))
        });
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
