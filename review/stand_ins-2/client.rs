//! Clients that send one request after the other, each on a new connection.

use crate::http::read_message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A request and how it ended; the status is 0 if there was no answer.
#[derive(Clone)]
pub struct Call {
    pub at: Instant,
    pub vm: usize,
    pub id: String,
    pub status: u16,
}

pub struct Clients {
    calls: Arc<Mutex<Vec<Call>>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// Sends one request and returns the status of its answer, or 0.
pub fn call(address: SocketAddr, method: &str, path: &str, id: &str, deadline_ms: u64) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)))?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: kencana.example\r\nX-Attempt-Id: {id}\r\n\
             Api-Key: key-1\r\nX-Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\
             Connection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes())?;
        let answer = read_message(&mut BufReader::new(stream))?;
        Ok(answer.status().unwrap_or(0))
    };
    exchange().unwrap_or(0)
}

impl Clients {
    /// Starts clients that together send about `per_s` requests a second, in turn to all entry VMs.
    pub fn start(vms: &[SocketAddr], method: &str, path: &str, count: usize, per_s: u64) -> Self {
        let calls = Arc::<Mutex<Vec<Call>>>::default();
        let stop = Arc::<AtomicBool>::default();
        let pause = Duration::from_micros(1_000_000 * count as u64 / per_s);
        let threads = (0..count).map(|client| {
            let (calls, stop) = (Arc::clone(&calls), Arc::clone(&stop));
            let (vms, method, path) = (vms.to_vec(), method.to_owned(), path.to_owned());
            std::thread::spawn(move || {
                let mut next = Instant::now();
                for number in 0_usize.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    next = (next + pause).max(Instant::now() - pause);
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                    let (vm, at) = ((client + number) % vms.len(), Instant::now());
                    let id = format!("client-{client}-{number}");
                    let status = call(vms[vm], &method, &path, &id, 3_000);
                    calls.lock().unwrap().push(Call { at, vm, id, status });
                }
            })
        });
        let threads = threads.collect();
        Self { calls, stop, threads }
    }

    /// Ends the clients and returns their requests, oldest first.
    pub fn finish(self) -> Vec<Call> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut calls = self.calls.lock().unwrap().clone();
        calls.sort_by_key(|call| call.at);
        calls
    }
}
