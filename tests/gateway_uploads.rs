//! Uploads over real sockets that are refused, cut or slow.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use std::{
    io::{Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

// Guards against an open connection on which nobody reads the rest of a refused upload.
#[test]
fn refused_upload_is_answered_and_closed() {
    const BODY_BYTES: usize = 3_000_000;
    let stage = Stage::start(1, 1);
    let length = format!("Content-Length: {BODY_BYTES}\r\n");
    let chunked = "Transfer-Encoding: chunked\r\n".to_owned();
    let chunk = format!("{BODY_BYTES:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(BODY_BYTES));
    for (framing, body) in [(length, "x".repeat(BODY_BYTES)), (chunked, chunk)] {
        let begun = Instant::now();
        let mut stream = TcpStream::connect(stage.vms[0].callers).unwrap();
        socket2::SockRef::from(&stream).set_send_buffer_size(4_096).unwrap();
        stream.set_write_timeout(Some(WAIT)).unwrap();
        stream.set_read_timeout(Some(WAIT)).unwrap();
        let head = format!(
            "POST /book/a HTTP/1.1\r\nHost: plaza.example\r\nX-Attempt-Id: a\r\n\
             Api-Key: key-1\r\nX-Deadline-Ms: 3000\r\n{framing}\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(body.as_bytes()).expect("the whole body is read");
        let mut text = Vec::new();
        stream.read_to_end(&mut text).expect("the answer arrives, and the connection ends");
        let text = String::from_utf8_lossy(&text);
        assert!(text.starts_with("HTTP/1.1 413"), "{framing}: {text}");
        assert!(begun.elapsed() < Duration::from_secs(5), "{framing}: {:?}", begun.elapsed());
    }
    assert_eq!(stage.seen(), 0);
}
