//! A stand-in of a backend server, as a process of its own, so that a crash is that of a process.
//!
//! It prints one line for each run that begins: `run MILLISECONDS ID TENANT KEY BYTES HASH`, the last
//! two of the body that it received.

use crate::http;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// The whole body that a server gives to a request.
pub fn whole_body(id: &str, length: usize) -> Vec<u8> {
    format!("{id};").into_bytes().into_iter().cycle().take(length).collect()
}

/// The FNV-1a hash of a body.
pub fn hash(body: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    body.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// How a server answers.
#[derive(Clone, Copy)]
struct Manner {
    work_ms: u64,
    body_bytes: usize,
    /// Whether answers have no length and end with their connection.
    is_unframed: bool,
    /// The number of parts in which a body is written, and the time between two of them.
    parts: usize,
    pause_ms: u64,
}

pub fn run_process(words: &[&str]) -> i32 {
    let [address, id, work, bytes, form, parts, pause] = words else { return 2 };
    let number = |text: &str| text.parse::<u64>().unwrap_or(0);
    let manner = Manner {
        work_ms: number(work),
        body_bytes: number(bytes) as usize,
        is_unframed: *form == "unframed",
        parts: number(parts).max(1) as usize,
        pause_ms: number(pause),
    };
    let Ok(listener) = TcpListener::bind(address) else { return 2 };
    println!("ready");
    let is_grey = Arc::new(AtomicBool::new(false));
    let switch = Arc::clone(&is_grey);
    // The runner holds the other end of the input: the process does not outlive it.
    std::thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            switch.store(line == "grey", Ordering::SeqCst);
        }
        std::process::exit(0);
    });
    let id: Arc<str> = (*id).into();
    let running = Arc::new(AtomicU32::new(0));
    for stream in listener.incoming().flatten() {
        let (id, running) = (Arc::clone(&id), Arc::clone(&running));
        let is_grey = Arc::clone(&is_grey);
        std::thread::spawn(move || serve(stream, &id, manner, &running, &is_grey));
    }
    0
}

fn serve(stream: TcpStream, id: &str, manner: Manner, running: &AtomicU32, is_grey: &AtomicBool) {
    const SLOTS: u32 = 6;
    /// The part of its requests that a grey server runs and then answers with a failure.
    const GREY_PERCENT: u64 = 40;
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(mut request)) = http::read_head(&mut reader) {
        http::read_body(&mut reader, &mut request, false);
        if request.target() == "/healthz" {
            let head = format!("X-Instance-Id: {id}\r\n");
            let _ = http::write_answer(&mut writer, "200 OK", &head, b"");
            continue;
        }
        let attempt = request.header("x-attempt-id").unwrap_or("").to_string();
        let mut head = format!("X-Attempt-Id: {attempt}\r\nX-Instance-Id: {id}\r\n");
        if request.header("x-target-instance").is_some_and(|target| target != id) {
            let _ = http::write_answer(&mut writer, "421 Misdirected Request", &head, b"");
            continue;
        }
        let busy = running.fetch_add(1, Ordering::SeqCst) + 1;
        if busy > 2 * SLOTS {
            running.fetch_sub(1, Ordering::SeqCst);
            head.push_str("X-Not-Executed: 1\r\n");
            let _ = http::write_answer(&mut writer, "503 Service Unavailable", &head, b"");
            continue;
        }
        let tenant = request.header("x-tenant").unwrap_or("-");
        let key = request.header("api-key").unwrap_or("-");
        let (bytes, sum) = (request.body.len(), hash(&request.body));
        println!("run {} {attempt} {tenant} {key} {bytes} {sum:x}", unix_ms());
        head.push_str(&format!(
            "X-Response-Signature: {id}.{attempt}\r\nX-Server-Load: {busy},0,{SLOTS}\r\n"
        ));
        std::thread::sleep(Duration::from_millis(manner.work_ms));
        if is_grey.load(Ordering::SeqCst) && hash(attempt.as_bytes()) % 100 < GREY_PERCENT {
            running.fetch_sub(1, Ordering::SeqCst);
            let _ = http::write_answer(&mut writer, "503 Service Unavailable", &head, b"failed");
            continue;
        }
        let body = whole_body(&attempt, manner.body_bytes);
        let sent = write_body(&mut writer, &head, &body, manner);
        running.fetch_sub(1, Ordering::SeqCst);
        if sent.is_err() || manner.is_unframed {
            return;
        }
    }
}

fn write_body(
    writer: &mut TcpStream,
    head: &str,
    body: &[u8],
    manner: Manner,
) -> std::io::Result<()> {
    let length = if manner.is_unframed {
        "Connection: close\r\n".to_string()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    writer.write_all(format!("HTTP/1.1 200 OK\r\n{head}{length}\r\n").as_bytes())?;
    for (index, part) in body.chunks(body.len().div_ceil(manner.parts).max(1)).enumerate() {
        if index > 0 {
            std::thread::sleep(Duration::from_millis(manner.pause_ms));
        }
        writer.write_all(part)?;
    }
    Ok(())
}

/// A server process that the runner has started.
pub struct ServerProcess {
    pub id: String,
    pub address: SocketAddr,
    input: ChildStdin,
    child: Child,
}

/// A run that a server has begun.
#[derive(Debug, Clone)]
pub struct Run {
    pub at_ms: u64,
    pub request: String,
    pub server: String,
    pub tenant: String,
    pub key: String,
    /// The length and the hash of the body that the server received.
    pub bytes: usize,
    pub hash: u64,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

impl ServerProcess {
    /// Starts a server and waits until it listens. `manner` is work, bytes, form, parts, pause.
    pub fn start(address: SocketAddr, id: &str, manner: [&str; 5], runs: &Runs) -> Option<Self> {
        let program = std::env::current_exe().ok()?;
        let mut child = Command::new(program)
            .args(["server", &address.to_string(), id])
            .args(manner)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let input = child.stdin.take()?;
        let mut lines = BufReader::new(child.stdout.take()?).lines();
        if lines.next()?.ok()? != "ready" {
            return None;
        }
        let (runs, server) = (Arc::clone(runs), id.to_string());
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let words: Vec<&str> = line.split(' ').collect();
                if let ["run", at, request, tenant, key, bytes, hash] = words.as_slice() {
                    runs.lock().unwrap().push(Run {
                        at_ms: at.parse().unwrap_or(0),
                        request: (*request).into(),
                        server: server.clone(),
                        tenant: (*tenant).into(),
                        key: (*key).into(),
                        bytes: bytes.parse().unwrap_or(0),
                        hash: u64::from_str_radix(hash, 16).unwrap_or(0),
                    });
                }
            }
        });
        Some(Self { id: id.into(), address, input, child })
    }

    /// Lets the server fail part of its requests, or be sound again.
    pub fn set_grey(&mut self, is_grey: bool) {
        let _ = writeln!(self.input, "{}", if is_grey { "grey" } else { "sound" });
    }

    /// Ends the process as a crash does.
    pub fn crash(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        self.crash();
    }
}
