//! A stand-in of the platform's store: keyed topics and plain ones, in memory.

use crate::http::{self, Message};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The records of each topic, as their raw contents.
type Topics = BTreeMap<String, Vec<Vec<u8>>>;

pub struct Store {
    pub address: SocketAddr,
    topics: Mutex<Topics>,
    appended: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let address = listener.local_addr().expect("the address of the store");
        let topics = Mutex::default();
        let store = Arc::new(Self { address, topics, appended: Condvar::new() });
        let shared = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record as the operator and the servers do; an empty value drops the key. Returns
    /// the moment at which the write was acknowledged.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> Instant {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        self.topics.lock().unwrap().entry(topic.into()).or_default().push(content);
        self.appended.notify_all();
        Instant::now()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            http::read_body(&mut reader, &mut request, false);
            let (status, body) = self.answer(&request);
            if http::write_answer(&mut writer, status, "", &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        let path = request.target().split('?').next().unwrap_or("");
        match path {
            "/-/log-newest" => ("200 OK", self.newest(&topic)),
            "/-/log-read" => ("200 OK", self.read(&topic, request)),
            "/-/log-append" => self.append(&topic, request),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let none = Vec::new();
        let records = topics.get(topic).unwrap_or(&none);
        let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(record[0] as usize);
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, value.to_vec()));
            }
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"more\":false,\"end\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, request: &Message) -> Vec<u8> {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut topics = self.topics.lock().unwrap();
        while topics.get(topic).map_or(0, Vec::len) <= from {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            topics = self.appended.wait_timeout(topics, left).unwrap().0;
        }
        let none = Vec::new();
        let records = topics.get(topic).unwrap_or(&none);
        let mut page = (records.len() as u64).to_be_bytes().to_vec();
        page.extend_from_slice(&0_u64.to_be_bytes());
        for record in records.iter().skip(from) {
            page.extend_from_slice(&(record.len() as u32).to_be_bytes());
            page.extend_from_slice(record);
        }
        page
    }

    fn append(&self, topic: &str, request: &Message) -> (&'static str, Vec<u8>) {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return ("403 Forbidden", Vec::new());
        }
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.into()).or_default();
        let offset = records.len();
        let at = request.query("at").and_then(|text| text.parse::<usize>().ok());
        if at.is_some_and(|at| at != offset) {
            return ("412 Precondition Failed", format!("{{\"end\":{offset}}}").into_bytes());
        }
        let mut rest = request.body.as_slice();
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let (record, after) = after.split_at(u32::from_be_bytes(*length) as usize);
            records.push(record.to_vec());
            rest = after;
        }
        let end = records.len();
        drop(topics);
        self.appended.notify_all();
        ("200 OK", format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let index = number >> (18 - 6 * place) & 63;
            text.push(if place <= chunk.len() { LETTERS[index as usize].into() } else { '=' });
        }
    }
    text
}
