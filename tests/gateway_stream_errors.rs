//! Streams that broke off, and what the next server answers.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use route_server::{RouteServer, ServerAction};

/// Asserts that an answer consists of whole events of the stream in order, and ends like a complete
/// one only if it has all of them.
fn assert_events_only(answer: &CallAnswer, context: &str) {
    let context = format!("{context}: {answer:?}");
    assert_eq!(answer.status, 200, "{context}");
    assert_eq!(answer.head.matches("x-response-signature").count(), 1, "{context}");
    let sizes_and_data: Vec<&str> = answer.body.split("\r\n").collect();
    let mut next = 1;
    for chunk in sizes_and_data.chunks(2).filter(|chunk| chunk.len() == 2) {
        if chunk[0] == "0" {
            assert_eq!(next, RouteServer::EVENTS + 1, "ends before its last event, {context}");
            return;
        }
        let expected = format!("id: {next}\ndata: piece {next}\n\n");
        assert!(chunk[1] == expected, "foreign bytes, {context}");
        next += 1;
    }
    assert!(next > 2, "the events of the first server are delivered, {context}");
}

const ERRORS: [ServerAction; 8] = [
    ServerAction::Fail,
    ServerAction::Page("500 Internal Server Error", "text/html", "<p>oops</p>\n\n<p>x</p>\n\n"),
    ServerAction::Page("302 Found\r\nLocation: /other", "text/html", "moved\n\n"),
    ServerAction::Page("404 Not Found", "application/json", "{\"error\":1}\n\n"),
    ServerAction::Page("200 OK", "text/html", "<p>oops</p>\n\n<p>x</p>\n\n"),
    ServerAction::Page("200 OK", "application/json", "{\"error\":1}\n\n"),
    ServerAction::ErrorEventAfter(0),
    ServerAction::ErrorEventAfter(1),
];

#[test]
fn error_after_a_broken_stream_is_not_delivered_in_it() {
    for error in ERRORS {
        for then in [vec![], vec![error], vec![ServerAction::Close]] {
            let stage = Stage::start(1, 1);
            for number in 0..20 {
                stage.call_as(&format!("warm-{number}"), "GET", "/slot/a");
            }
            let script = [vec![ServerAction::CutAfter(2), error], then].concat();
            stage.servers[0].script(&script);
            let answer = stage.call("POST", "/plan/a");
            assert_events_only(&answer, &format!("{script:?}"));
        }
    }
}

#[test]
fn stream_goes_on_after_an_error_of_the_next_server() {
    for error in ERRORS {
        let stage = Stage::start(1, 1);
        for number in 0..20 {
            stage.call_as(&format!("warm-{number}"), "GET", "/slot/a");
        }
        stage.servers[0].script(&[ServerAction::CutAfter(2), error]);
        let answer = stage.call("POST", "/plan/a");
        let last = format!("piece {}", RouteServer::EVENTS);
        assert!(answer.body.contains(&last), "{error:?}: {answer:?}");
    }
}

#[test]
fn stream_that_ends_with_its_connection_is_whole() {
    let stage = Stage::start(1, 1);
    stage.servers[0].script(&[ServerAction::CloseAfterStream]);
    let answer = stage.call("POST", "/plan/a");
    assert_events_only(&answer, "whole");
    assert!(answer.body.ends_with("0\r\n\r\n"), "{answer:?}");
}

#[test]
fn stream_whose_server_crashes_between_events_is_not_whole() {
    let stage = Stage::start(2, 1);
    for server in &stage.servers {
        server.script(&[ServerAction::EndAfter(3)]);
    }
    let answer = std::thread::scope(|scope| {
        let call = scope.spawn(|| stage.call("POST", "/plan/a"));
        eventually("the request at a server", || stage.seen() == 1);
        // Only the first server crashes.
        for server in stage.servers.iter().filter(|server| server.seen().is_empty()) {
            server.script(&[]);
        }
        call.join().unwrap()
    });
    assert_events_only(&answer, "crashed");
    assert!(answer.body.ends_with("0\r\n\r\n"), "resumed at the other server: {answer:?}");
}

#[test]
fn broken_stream_closes_the_connection_of_its_caller_at_once() {
    let stage = Stage::start(1, 1);
    stage.servers[0].script(&[ServerAction::CutAfter(2); 3]);
    let start = std::time::Instant::now();
    let answer = stage.call("POST", "/plan/a");
    assert!(start.elapsed() < std::time::Duration::from_secs(2), "{:?}", start.elapsed());
    assert_events_only(&answer, "cut three times");
}
