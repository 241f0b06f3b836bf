//! A server of streams as a process of its own, `play serve-streams ID PORT`. Its answers have no
//! length and end with their connection, as the pages allow.

use crate::http::read_message;
use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The events of a complete stream.
pub const EVENTS: usize = 60;
const PAUSE: Duration = Duration::from_millis(100);

/// Serves until it is killed.
pub fn serve(id: &str, port: u16) -> ! {
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("the port is free");
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        std::thread::spawn(move || answer(&id, stream));
    }
    std::process::exit(0);
}

fn answer(id: &str, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let Ok(request) = read_message(&mut BufReader::new(stream)) else { return };
    let attempt = request.header("x-attempt-id").unwrap_or_default();
    if request.header("x-target-instance") != Some(id) {
        let head = format!(
            "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {id}\r\n\
             Content-Length: 0\r\nConnection: close\r\n\r\n"
        );
        let _ = writer.write_all(head.as_bytes());
        return;
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: {id}.{attempt}.200\r\n\
         Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    );
    if writer.write_all(head.as_bytes()).is_err() {
        return;
    }
    let last = request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
    println!("{id} runs {attempt} from event {}", last + 1);
    for number in last + 1..=EVENTS {
        std::thread::sleep(PAUSE);
        let event = format!("id: {number}\ndata: piece {number} of {attempt}\n\n");
        if writer.write_all(event.as_bytes()).is_err() {
            return;
        }
    }
}

/// The process of a server, killed on drop.
pub struct StreamServer {
    pub id: String,
    pub address: SocketAddr,
    child: Child,
}

impl StreamServer {
    /// Starts the process, which writes what it runs to the file `ID.runs` in a folder.
    pub fn start(id: &str, address: SocketAddr, folder: &Path) -> Result<Self, String> {
        let runs = File::create(folder.join(format!("{id}.runs")));
        let runs = runs.map_err(|error| error.to_string())?;
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let child = Command::new(program)
            .args(["serve-streams", id, &address.port().to_string()])
            .stdin(Stdio::null())
            .stdout(runs)
            .spawn()
            .map_err(|error| error.to_string())?;
        let begun = Instant::now();
        while TcpStream::connect(address).is_err() {
            if begun.elapsed() > Duration::from_secs(5) {
                return Err(format!("the server {id} does not listen"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(Self { id: id.to_owned(), address, child })
    }

    /// Kills the process; the system closes its connections.
    pub fn crash(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str, zone: &str, seq: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"seq\":{seq}}}",
            self.address
        )
    }
}

impl Drop for StreamServer {
    fn drop(&mut self) {
        self.crash();
    }
}
