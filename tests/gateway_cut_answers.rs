//! Answers whose server closes or resets the connection within the head or the body.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use route_server::{CutEnd, ServerAction};

const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig\r\n\
    Content-Type: text/event-stream\r\nContent-Length: 18\r\n\r\nid: 1\ndata: done\n\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig\r\n\
    Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
    12\r\nid: 1\ndata: done\n\n\r\n0\r\n\r\n";
const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n\
    X-Response-Signature: sig\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: done\n\n";
const HTTP_1_0: &str = "HTTP/1.0 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig\r\n\
    Content-Type: text/event-stream\r\n\r\nid: 1\ndata: done\n\n";

/// Calls a path while the server cuts an answer after each byte in turn, and passes the answer to
/// `check` with whether the server has sent the whole head.
fn cut_everywhere(path: &str, text: &'static str, end: CutEnd, check: impl Fn(&CallAnswer, bool)) {
    const ID: &str = "call-7";
    let stage = Stage::start(1, 1);
    let whole = text.replace("{id}", ID);
    let head = whole.find("\r\n\r\n").unwrap() + 4;
    let mut reached = 0;
    for length in 0..whole.len() {
        let seen = stage.seen();
        stage.servers[0].script(&[ServerAction::Cut(text, length, end)]);
        let answer = stage.call("POST", path);
        // A server that has failed often may be passed over for a while.
        if stage.seen() > seen {
            reached += 1;
            check(&answer, length >= head);
        } else {
            assert_eq!(answer.status, 503, "{answer:?}");
        }
        stage.servers[0].script(&[]);
        eventually("the server is used again", || stage.call("GET", "/slot/a").status == 200);
    }
    assert!(reached > whole.len() / 2, "{reached} of {} answers were cut", whole.len());
}

fn is_complete(answer: &CallAnswer) -> bool {
    answer.head.contains("content-length") || answer.body.ends_with("0\r\n\r\n")
}

// Guards against an answer cut in its head that is delivered as an empty or short page.
#[test]
fn cut_head_or_body() {
    std::thread::scope(|scope| {
        for path in ["/book/a", "/frail/a"] {
            for end in [CutEnd::Close, CutEnd::Reset] {
                for text in [WITH_LENGTH, CHUNKED, WITHOUT_LENGTH, HTTP_1_0] {
                    scope.spawn(move || {
                        cut_everywhere(path, text, end, |answer, has_head| {
                            let context = format!("{path} {end:?} {has_head} {text}: {answer:?}");
                            let has_frame = [WITH_LENGTH, CHUNKED].contains(&text);
                            if answer.status == 200 {
                                assert!(has_head, "cut in its head: {context}");
                                // Only a close of a server that lives may end a body without frame.
                                let is_page = path == "/book/a";
                                let may_end = !has_frame && end == CutEnd::Close;
                                assert!(!is_complete(answer) || may_end && is_page, "{context}");
                            } else {
                                assert_eq!(answer.status, 502, "{context}");
                                assert!(!answer.head.contains("x-response-signature"), "{context}");
                            }
                        });
                    });
                }
            }
        }
    });
}

// Guards against a part of a body without a length that is delivered as the whole one (review/4).
#[test]
fn body_without_length_of_a_server_that_crashes() {
    const PART: &str =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig\r\n\r\npart";
    const PART_1_0: &str =
        "HTTP/1.0 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig\r\n\r\npart";
    for text in [PART, PART_1_0] {
        let stage = Stage::start(1, 1);
        stage.servers[0].script(&[ServerAction::RawThenEnd(text)]);
        let answer = stage.call("POST", "/book/a");
        assert_eq!(answer.status, 502, "{answer:?}");
        assert!(!answer.body.contains("part"), "{answer:?}");

        let stage = Stage::start(2, 1);
        stage.servers[0].script(&[ServerAction::RawThenEnd(text)]);
        for number in 0..4 {
            let answer = stage.call_as(&format!("call-{number}"), "GET", "/slot/a");
            assert_eq!(answer.status, 200, "another server answers: {answer:?}");
            assert!(answer.body.starts_with("from s"), "{answer:?}");
        }
        assert!(stage.servers[0].has_ended());
    }
}

#[test]
fn body_without_length_of_a_server_that_lives() {
    const PAGE: &str =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig\r\n\r\ndone";
    let stage = Stage::start(1, 1);
    for (method, path) in [("POST", "/book/a"), ("GET", "/slot/a")] {
        stage.servers[0].script(&[ServerAction::Raw(PAGE)]);
        let answer = stage.call(method, path);
        assert_eq!((answer.status, answer.body.as_str()), (200, "done"), "{answer:?}");
    }
}

// Guards against a probe that reaches the listener of a server which is just ending.
#[test]
fn body_without_length_of_a_server_whose_listener_closes_last() {
    const PART: &str =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: sig\r\n\r\npart";
    let stage = Stage::start(1, 1);
    stage.servers[0].script(&[ServerAction::RawThenEndLate(PART)]);
    let answer = stage.call("POST", "/book/a");
    assert_eq!(answer.status, 502, "{answer:?}");
    assert!(!answer.body.contains("part"), "{answer:?}");
}
