//! Statuses that state that a request has not run, sent by servers that have run it.

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
    gateway::{GatewayEvent, NotRunCause},
};
use route_server::ServerAction;

/// An unsafe request, and a stream that may not be resumed.
const ONCE_PATHS: [&str; 2] = ["/book/a", "/frail/a"];

/// Answers of servers that have run the request, in all forms of the three statuses.
const FALSE_PROMISES: [&str; 6] = [
    "HTTP/1.1 408 Request Timeout\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig\r\n\
     Content-Length: 6\r\n\r\nfailed",
    "HTTP/1.1 429 Too Many Requests\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig\r\n\
     Retry-After: 1\r\nContent-Length: 6\r\n\r\nfailed",
    "HTTP/1.1 429 Too Many Requests\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig\r\n\
     Retry-After: 0.2\r\nGuavapass-Run: not-run\r\nContent-Length: 6\r\n\r\nfailed",
    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nContent-Length: 6\r\n\r\nfailed",
    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig\r\n\
     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n",
];

/// Asserts that an answer claims nothing about the run, and that nothing of the server's is in it.
fn assert_no_promise(answer: &CallAnswer, context: &str) {
    let context = format!("{context}: {answer:?}");
    assert!([502, 504].contains(&answer.status), "{context}");
    assert!(!answer.head.contains("x-response-signature"), "{context}");
    assert!(!answer.head.contains("retry-after"), "{context}");
    assert!(!answer.head.contains("guavapass-run: not-run"), "{context}");
    assert!(!answer.body.contains("failed"), "{context}");
}

// Guards against a booking that has run being answered like one that has not (review/5).
#[test]
fn promise_of_a_server_that_ran_the_request() {
    for path in ONCE_PATHS {
        for text in FALSE_PROMISES {
            let stage = Stage::start(1, 1);
            stage.servers[0].script(&[ServerAction::Raw(text)]);
            let answer = stage.call("POST", path);
            assert_no_promise(&answer, &format!("{path} {text}"));
            assert_eq!(stage.seen(), 1, "{path}: sent once");
        }
    }
}

#[test]
fn promise_in_the_answer_of_a_second_attempt() {
    for text in FALSE_PROMISES {
        // Either server may be tried first.
        let runs = [(0, 1), (1, 0)].map(|(rejecting, running)| {
            let stage = Stage::start(2, 1);
            stage.servers[rejecting].script(&[ServerAction::RejectNotRun]);
            stage.servers[running].script(&[ServerAction::Raw(text)]);
            assert_no_promise(&stage.call("POST", "/frail/a"), text);
            stage.seen()
        });
        assert!(runs.contains(&2), "a second attempt was made: {runs:?}");
    }
}

#[test]
fn promise_after_the_deadline() {
    for path in ONCE_PATHS {
        let stage = Stage::start(1, 1);
        stage.servers[0].script(&[ServerAction::RawAfter(400, FALSE_PROMISES[3])]);
        let answer = stage.call_within(0, 300, "POST", path, "key-1", "");
        assert_no_promise(&answer, path);
    }
}

#[test]
fn promise_during_a_planned_stop() {
    for path in ONCE_PATHS {
        let stage = Stage::start(1, 1);
        stage.servers[0].script(&[ServerAction::RawAfter(400, FALSE_PROMISES[3])]);
        let answer = std::thread::scope(|scope| {
            let call = scope.spawn(|| stage.call("POST", path));
            eventually("the request at the server", || stage.seen() == 1);
            stage.vms[0].handle().send(GatewayEvent::Shutdown);
            call.join().unwrap()
        });
        assert_no_promise(&answer, path);
    }
}

#[test]
fn status_without_promise_unchanged() {
    const STATUSES: [&str; 4] =
        ["400 Bad Request", "425 Too Early", "500 Internal Server Error", "504 Gateway Timeout"];
    for path in ONCE_PATHS {
        for status in STATUSES {
            let stage = Stage::start(1, 1);
            stage.servers[0].script(&[ServerAction::Page(status, "text/plain", "failed")]);
            let answer = stage.call("POST", path);
            let context = format!("{path} {status}: {answer:?}");
            assert_eq!(answer.status.to_string(), status[..3], "{context}");
            assert!(answer.head.contains("x-response-signature: sig-s1"), "{context}");
            assert_eq!(answer.body, "failed", "{context}");
        }
    }
}

#[test]
fn idempotent_answer_unchanged() {
    for status in ["408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"] {
        let stage = Stage::start(1, 1);
        stage.servers[0].script(&[ServerAction::Page(status, "text/plain", "failed"); 3]);
        let answer = stage.call("GET", "/slot/a");
        let context = format!("{status}: {answer:?}");
        assert_eq!(answer.status.to_string(), status[..3], "{context}");
        assert!(answer.head.contains("x-response-signature: sig-s1"), "{context}");
    }
}

#[test]
fn backoff_of_a_withheld_answer_counts() {
    let stage = Stage::start(1, 1);
    let text = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\n\
                X-Response-Signature: sig\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n";
    stage.servers[0].script(&[ServerAction::Raw(text)]);
    assert_eq!(stage.call("POST", "/book/a").status, 502);
    let next = stage.call("POST", "/book/b");
    assert_eq!((next.status, stage.seen()), (503, 1), "the server wants none for 3 s: {next:?}");
    assert!(next.head.contains("retry-after: "), "{next:?}");
}

#[test]
fn header_on_the_run_is_the_routers() {
    let stage = Stage::start(1, 1);
    let text = "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: {id}\r\n\
                X-Response-Signature: sig\r\nGuavapass-Run: not-run\r\nContent-Length: 0\r\n\r\n";
    stage.servers[0].script(&[ServerAction::Raw(text)]);
    let answer = stage.call("POST", "/book/a");
    assert_eq!(answer.status, 500);
    assert!(!answer.head.contains("guavapass-run"), "{answer:?}");
}

#[test]
fn refusal_of_the_core_after_a_run() {
    for status in [408, 429, 503] {
        let mut world = GatewayFixture::new();
        let request = world.arrive("/book/a");
        world.whole(request, 1, status);
        assert!(!world.is_delivered(request, 1), "{status}");
        let refusal = world.refusal(request).unwrap();
        assert_eq!((refusal.code, refusal.run), (RefusalCode::BadGateway, RunState::Unknown));
        assert_eq!(refusal.retry_after, None);
    }
    let mut world = GatewayFixture::new();
    let request = world.arrive("/book/a");
    world.not_run(request, 1, NotRunCause::Full);
    world.not_run(request, 2, NotRunCause::Full);
    world.whole(request, 3, 503);
    assert_eq!(world.refusal(request).unwrap().code, RefusalCode::BadGateway);
}
