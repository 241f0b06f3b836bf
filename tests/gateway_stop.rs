//! Requests that arrive during a planned stop, over real sockets.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use gateway_world::GatewayFixture;
use guavapass::{
    control::{RefusalCode, RunState},
    gateway::{GatewayCommand, GatewayEvent},
    units::Millis,
};
use route_server::ServerAction;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

const GRACE: Duration = Duration::from_secs(8);
const SENT_EACH: Duration = Duration::from_millis(100);
/// From short work to work that takes most of the grace.
const WORK_MS: [u64; 5] = [100, 300, 1_200, 2_500, 6_000];

const ANSWER: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig\r\n\
    Content-Length: 4\r\n\r\ndone";
const STREAM: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig\r\n\
    Content-Type: text/event-stream\r\nContent-Length: 18\r\n\r\nid: 1\ndata: done\n\n";

/// The end of a call: the status, and 0 if there is none.
struct CallEnd {
    id: String,
    sent: Duration,
    status: u16,
    text: String,
}

/// Sends a request on a connection; `None` if the VM has closed it.
fn call_on(
    stream: &mut TcpStream,
    path: &str,
    id: &str,
    deadline_ms: Option<u64>,
) -> Option<String> {
    let deadline = deadline_ms.map_or(String::new(), |ms| format!("X-Deadline-Ms: {ms}\r\n"));
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: plaza.example\r\nX-Attempt-Id: {id}\r\n\
         Api-Key: key-1\r\n{deadline}Content-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let (mut text, mut buffer) = (Vec::new(), [0; 4_096]);
    loop {
        let read = stream.read(&mut buffer).unwrap_or(0);
        text.extend_from_slice(&buffer[..read]);
        let known = String::from_utf8_lossy(&text).into_owned();
        let has_ended = known.contains("\"message\"")
            || ["done", "from s1"].iter().any(|end| known.contains(end));
        if read == 0 || has_ended {
            return Some(known);
        }
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(WAIT)).unwrap();
    Some(stream)
}

/// Sends requests from the start of a planned stop to its end, each second one on a connection that
/// has been used before, and checks that each one that a server ran got its answer.
fn stop_under_load(path: &str, work_ms: u64, deadline_ms: Option<u64>) {
    let answer = if ["/frail/a", "/plan/a"].contains(&path) { STREAM } else { ANSWER };
    let mut stage = Stage::start(1, 1);
    let kept: Vec<TcpStream> = (0..100)
        .map(|number| {
            let mut stream = connect(stage.vms[0].callers).unwrap();
            let text = call_on(&mut stream, "/slot/a", &format!("warm-{number}"), Some(3_000));
            assert!(text.is_some_and(|text| text.contains(" 200 ")));
            stream
        })
        .collect();
    stage.servers[0].script(&[ServerAction::RawAfter(work_ms, answer); 200]);
    let vm = stage.vms.remove(0);
    let address = vm.callers;
    let begun = Instant::now();
    vm.handle().send(GatewayEvent::Shutdown);
    let stopping = std::thread::spawn(move || vm.wait());
    let mut calls = Vec::new();
    let mut kept = kept.into_iter();
    for number in 0.. {
        let sent = begun.elapsed();
        if sent >= GRACE {
            break;
        }
        let stream = if number % 2 == 0 { connect(address) } else { kept.next() };
        let (id, path) = (format!("late-{number}"), path.to_owned());
        calls.push(std::thread::spawn(move || {
            let text = stream.and_then(|mut stream| call_on(&mut stream, &path, &id, deadline_ms));
            let text = text.unwrap_or_default();
            let status = text.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0);
            CallEnd { id, sent, status, text }
        }));
        std::thread::sleep(SENT_EACH);
    }
    let ends: Vec<CallEnd> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    assert!(stopping.join().unwrap());
    assert!(begun.elapsed() < GRACE + WAIT, "the process ends in its grace");
    let mut answered = 0;
    for CallEnd { id, sent, status, text } in &ends {
        let context = format!("{path} {work_ms} ms {deadline_ms:?}, {id} at {sent:?}: {text}");
        let has_run = stage.runs_of(id) > 0;
        // The pages excuse work that was sent early and goes on into the end of the grace.
        let outlasts = *sent < Duration::from_secs(3)
            && *sent + Duration::from_millis(work_ms) > GRACE * 5 / 6;
        match *status {
            200 => answered += 1,
            503 => assert!(!has_run && text.contains("not-run"), "{context}"),
            // The deadline of the request.
            504 => assert!(deadline_ms.is_some_and(|ms| ms <= work_ms), "{context}"),
            502 => assert!(outlasts, "{context}"),
            0 => assert!(!has_run, "{context}"),
            _ => panic!("{context}"),
        }
    }
    if work_ms < 3_000 {
        assert!(answered > 10, "{path} {work_ms} ms: requests of the first seconds are answered");
    }
}

// Guards against requests that are taken late in a planned stop and cut at its end.
#[test]
fn late_requests_are_answered_or_refused() {
    std::thread::scope(|scope| {
        for path in ["/book/a", "/slot/a", "/frail/a"] {
            for work_ms in WORK_MS {
                scope.spawn(move || stop_under_load(path, work_ms, Some(3_000)));
            }
        }
    });
}

#[test]
fn late_requests_without_a_deadline() {
    std::thread::scope(|scope| {
        for path in ["/book/a", "/plan/a"] {
            for work_ms in [300, 2_500] {
                scope.spawn(move || stop_under_load(path, work_ms, None));
            }
        }
        scope.spawn(|| stop_under_load("/book/a", 300, Some(500)));
    });
}

#[test]
fn open_requests_at_the_end_say_what_is_known() {
    let mut world = GatewayFixture::new();
    let running = world.arrive_with("/book/a", |arrival| arrival.deadline = None);
    world.handle(GatewayEvent::Shutdown);
    world.tick(2_400);
    let early = world.arrive("/book/b");
    assert_eq!(world.starts(early).len(), 1, "the balancer may not have noticed yet");
    world.tick(200);
    let late = world.arrive("/book/c");
    let refusal = world.refusal(late).unwrap();
    assert_eq!((refusal.code, refusal.run), (RefusalCode::Unavailable, RunState::NotRun));
    let short = world.arrive_with("/book/d", |arrival| arrival.deadline = Some(Millis(600)));
    assert_eq!(world.starts(short).len(), 1, "it ends in time whatever its work");
    world.whole(short, 1, 200);
    world.tick(4_400);
    let refusal = |request| {
        let refusal = world.refusal(request).unwrap();
        (refusal.code, refusal.run)
    };
    assert_eq!(refusal(running), (RefusalCode::Timeout, RunState::Unknown), "at its deadline");
    assert_eq!(refusal(early), (RefusalCode::BadGateway, RunState::Unknown), "at the end");
    assert!(world.commands.contains(&GatewayCommand::Stop));
}
