//! Stand-ins of the servers of a plain service.

use crate::http::read_message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One run of a request.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub version: String,
    pub id: String,
    pub status: u16,
}

/// The runs of all servers, in the order in which they began.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A server that answers each request after its work, and fails each `fails_each`-th one.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub version: String,
    fails_each: usize,
    runs: Runs,
}

/// The time that a request takes at a server.
const WORK: Duration = Duration::from_millis(15);

impl Server {
    pub fn start(id: &str, version: &str, fails_each: usize, runs: &Runs) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let (id, version, runs) = (id.to_owned(), version.to_owned(), Arc::clone(runs));
        let server = Self { id, address, version, fails_each, runs };
        let accepting = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str, seq: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
             \"version\":\"{}\",\"slots\":64,\"state\":\"{state}\",\"cold_remaining_ms\":0,\
             \"seq\":{seq}}}",
            self.address, self.version
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_message(&mut reader) {
            let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
            if request.header("x-target-instance") != Some(&self.id) {
                let head = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n";
                let _ = writer.write_all(head.as_bytes());
                continue;
            }
            let status = self.record(&id);
            std::thread::sleep(WORK);
            let body = format!("{} ran {id}", self.id);
            let answer = format!(
                "HTTP/1.1 {status} Answer\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: \
                 {}.{id}.{status}\r\nContent-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn record(&self, id: &str) -> u16 {
        let mut runs = self.runs.lock().unwrap();
        let own = runs.iter().filter(|run| run.server == self.id).count();
        let fails = self.fails_each > 0 && own % self.fails_each == 0;
        let status = if fails { 500 } else { 200 };
        runs.push(Run {
            at: Instant::now(),
            server: self.id.clone(),
            version: self.version.clone(),
            id: id.to_owned(),
            status,
        });
        status
    }
}
