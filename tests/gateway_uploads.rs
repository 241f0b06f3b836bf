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

/// How a caller leaves in the middle of its upload.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LeaveMode {
    Close,
    HalfClose,
    Reset,
}

fn upload_head(path: &str, id: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: plaza.example\r\nX-Attempt-Id: {id}\r\n\
         Api-Key: key-1\r\nX-Deadline-Ms: 3000\r\n{framing}\r\n\r\n"
    )
}

// Guards against a booking that runs with the part of its body that came before its caller left
// (review/1).
#[test]
fn upload_that_ends_early_is_no_request() {
    const LENGTH: (&str, &str) = ("Content-Length: 20", "0123456789abcdefghij");
    const CHUNKED: (&str, &str) =
        ("Transfer-Encoding: chunked", "8\r\n01234567\r\n8\r\n89abcdef\r\n0\r\n\r\n");
    let stage = Stage::start(1, 1);
    let mut number = 0;
    for path in ["/book/a", "/slot/a", "/frail/a", "/plan/a"] {
        for (framing, body) in [LENGTH, CHUNKED] {
            for mode in [LeaveMode::Close, LeaveMode::HalfClose, LeaveMode::Reset] {
                for sent in 0..body.len() {
                    number += 1;
                    let mut stream = TcpStream::connect(stage.vms[0].callers).unwrap();
                    let head = upload_head(path, &format!("part-{number}"), framing);
                    stream.write_all((head + &body[..sent]).as_bytes()).unwrap();
                    std::thread::sleep(Duration::from_millis(2));
                    match mode {
                        LeaveMode::Close => {}
                        LeaveMode::HalfClose => {
                            stream.shutdown(std::net::Shutdown::Write).unwrap();
                            std::thread::sleep(Duration::from_millis(5));
                        }
                        LeaveMode::Reset => {
                            let linger = Some(Duration::ZERO);
                            socket2::SockRef::from(&stream).set_linger(linger).unwrap();
                        }
                    }
                }
            }
        }
    }
    std::thread::sleep(Duration::from_millis(300));
    let seen: Vec<_> = stage.servers[0].seen();
    assert!(seen.is_empty(), "{} of {number} parts ran: {:?}", seen.len(), seen.first());
    // A whole body in either framing runs.
    for (framing, body) in [LENGTH, CHUNKED] {
        let mut stream = TcpStream::connect(stage.vms[0].callers).unwrap();
        let head = upload_head("/book/a", &format!("whole {framing}"), framing);
        stream.write_all((head + body).as_bytes()).unwrap();
        let mut buffer = [0; 1_024];
        let read = stream.read(&mut buffer).unwrap();
        assert!(buffer[..read].starts_with(b"HTTP/1.1 200"), "{framing}");
    }
    let bodies: Vec<Vec<u8>> = stage.servers[0].seen().into_iter().map(|one| one.body).collect();
    assert_eq!(bodies, [&b"0123456789abcdefghij"[..], b"0123456789abcdef"]);
}

// Guards against a planned stop that cuts uploads which are under way, and runs the part
// (review/2).
#[test]
fn upload_during_a_planned_stop_is_read_whole() {
    const BODY: &str = "0123456789abcdefghij";
    const CHUNKED: &str = "5\r\n01234\r\n5\r\n56789\r\n5\r\nabcde\r\n5\r\nfghij\r\n0\r\n\r\n";
    /// From before idle connections are closed (2.5 s) until after.
    const STARTS_MS: [u64; 5] = [0, 1_200, 2_100, 2_400, 2_700];
    let mut stage = Stage::start(1, 1);
    let vm = stage.vms.remove(0);
    let address = vm.callers;
    let whole = |framing: &str, body: &str, id: &str| upload_head("/book/a", id, framing) + body;
    let mut requests = Vec::new();
    for (number, start) in STARTS_MS.into_iter().enumerate() {
        let id = |name: &str| format!("{name}-{number}");
        let plain = whole("Content-Length: 20", BODY, &id("plain"));
        let head = plain.len() - BODY.len();
        // Cut into the parts of a body, or into parts of the head and the body.
        let body_cuts = vec![head + 4, head + 8, head + 12, head + 16];
        let head_cuts = vec![20, 60, head - 2, head + 10];
        requests.push((id("plain"), start, plain, body_cuts));
        requests.push((
            id("head"),
            start,
            whole("Content-Length: 20", BODY, &id("head")),
            head_cuts,
        ));
        let text = whole("Transfer-Encoding: chunked", CHUNKED, &id("chunked"));
        let head = text.len() - CHUNKED.len();
        requests.push((
            id("chunked"),
            start,
            text,
            vec![head + 5, head + 13, head + 21, head + 30],
        ));
    }
    let connections: Vec<_> =
        requests.iter().map(|_| TcpStream::connect(address).unwrap()).collect();
    vm.handle().send(guavapass::gateway::GatewayEvent::Shutdown);
    let stopping = std::thread::spawn(move || vm.wait());
    let calls: Vec<_> = requests
        .into_iter()
        .zip(connections)
        .map(|((id, start, text, cuts), mut stream)| {
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(start));
                stream.set_read_timeout(Some(WAIT)).unwrap();
                let mut from = 0;
                for to in cuts.into_iter().chain([text.len()]) {
                    if stream.write_all(&text.as_bytes()[from..to]).is_err() {
                        break;
                    }
                    from = to;
                    std::thread::sleep(Duration::from_millis(200));
                }
                let mut answer = Vec::new();
                let _ = stream.read_to_end(&mut answer);
                (id, start, String::from_utf8_lossy(&answer).into_owned())
            })
        })
        .collect();
    let ends: Vec<_> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    assert!(stopping.join().unwrap());
    let seen = stage.servers[0].seen();
    for request in &seen {
        let is_whole = request.body == BODY.as_bytes();
        assert!(is_whole, "a part ran: {:?}", String::from_utf8_lossy(&request.body));
    }
    for (id, start, answer) in ends {
        let runs = stage.runs_of(&id);
        // A connection that is idle for 2.5 s may be closed before the request comes.
        let is_idle = start > 2_500 && answer.is_empty();
        assert!(runs == 1 || is_idle, "{id} at {start} ms ran {runs} times: {answer}");
        assert!(answer.starts_with("HTTP/1.1 200") || is_idle, "{id} at {start} ms: {answer}");
    }
}
