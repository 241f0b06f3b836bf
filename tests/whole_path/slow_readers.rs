//! A caller that does not read its stream.

use super::*;
use std::{
    io::{BufRead, BufReader},
    net::TcpListener,
    sync::mpsc::{Receiver, channel},
};

/// The time after which the engine cuts off a stream that is not read.
const UNREAD_LIMIT: Duration = Duration::from_secs(3);

/// An engine whose streams do not end. Reports how each connection ended: true if it cut the stream
/// off because it was not read, false if the entry VM closed the connection.
fn endless_engine() -> (SocketAddr, Receiver<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, ends) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let sender = sender.clone();
            std::thread::spawn(move || {
                let reader = BufReader::new(stream.try_clone().unwrap());
                let head: Vec<String> = reader
                    .lines()
                    .map_while(Result::ok)
                    .take_while(|line| !line.is_empty())
                    .collect();
                if !head.first().is_some_and(|line| line.contains("/chat/completions")) {
                    return;
                }
                stream.set_write_timeout(Some(UNREAD_LIMIT)).unwrap();
                let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
                let choice = json!({"delta": {"content": "word ".repeat(2_000)}});
                let event = format!("data: {}\n\n", json!({"choices": [choice]}));
                let mut written = stream.write_all(head.as_bytes());
                while written.is_ok() {
                    written = stream.write_all(event.as_bytes());
                }
                let is_unread = written.unwrap_err().kind() == std::io::ErrorKind::WouldBlock;
                let _ = sender.send(is_unread);
            });
        }
    });
    (address, ends)
}

// Guards against an engine that waits for a caller who does not read, and is blamed for it.
#[test]
fn stream_that_nobody_reads() {
    let (address, ends) = endless_engine();
    let cluster = TestCluster::new().server("engine-1", "planning", address).vm("vm-1").publish();
    let body =
        json!({"model": "auto", "stream": true, "messages": [{"role": "user", "content": "q"}]});
    let body = body.to_string();
    let mut stream = cluster.connect();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer plazas-key\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    assert_eq!(ends.recv_timeout(Duration::from_secs(20)), Ok(false), "cut off by the engine");
    cluster.wait_until(|status| status.servers.iter().all(|server| server.in_flight == 0));
    assert!(ends.recv_timeout(UNREAD_LIMIT).is_err(), "no second attempt for such a caller");
    drop(stream);
}
