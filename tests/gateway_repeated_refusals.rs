//! A server writes an earlier refusal once more on a kept connection.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use route_server::{CopyId, CopyMoment, ServerAction};
use std::time::Duration;

const MOMENTS: [CopyMoment; 3] =
    [CopyMoment::AtOnce, CopyMoment::AfterNextHead, CopyMoment::AfterNextRequest];
const IDS: [CopyId; 2] = [CopyId::Same, CopyId::Missing];

/// Returns a stage with enough requests behind it for a few retries.
fn warm_stage(servers: usize) -> Stage {
    let stage = Stage::start(servers, 1);
    for number in 0..20 {
        assert_eq!(stage.call_as(&format!("warm-{number}"), "GET", "/slot/a").status, 200);
    }
    stage
}

/// A request that a server refuses, and one that follows it on the same connection.
fn call_after_refusal(servers: usize, method: &str, path: &str) {
    for moment in MOMENTS {
        for id in IDS {
            for pause in [0, 20] {
                let stage = warm_stage(servers);
                let refusal = ServerAction::RejectTwice(moment, id);
                stage.servers.iter().for_each(|server| server.script(&[refusal]));
                // The first call leaves connections on which a copy is due.
                stage.call_as("first", method, path);
                std::thread::sleep(Duration::from_millis(pause));
                let answer = stage.call_as("second", method, path);
                let context = format!("{moment:?} {id:?} {pause} ms: {answer:?}");
                assert_eq!(answer.status, 200, "{context}");
                assert!(!answer.head.contains("first"), "{context}");
                let runs = stage.runs_of("second");
                assert_eq!(runs, 1, "{context}");
            }
        }
    }
}

#[test]
fn next_idempotent_call_is_served() {
    call_after_refusal(2, "GET", "/slot/a");
    call_after_refusal(2, "POST", "/slot/a");
}

#[test]
fn next_call_is_served_by_the_only_server() {
    call_after_refusal(1, "POST", "/slot/a");
}

#[test]
fn next_stream_is_served() {
    call_after_refusal(2, "POST", "/plan/a");
    call_after_refusal(1, "POST", "/plan/a");
}

#[test]
fn next_booking_runs_once() {
    // One server, so that the only attempt of the first booking meets the refusal.
    call_after_refusal(1, "POST", "/book/a");
}

/// The copy bears the id of the attempt that is sent to the same server again.
#[test]
fn stream_that_may_not_be_repeated_runs_once_and_is_not_called_not_run() {
    for moment in MOMENTS {
        for servers in [1, 2] {
            let stage = warm_stage(servers);
            let refusal = ServerAction::RejectTwice(moment, CopyId::Same);
            stage.servers.iter().for_each(|server| server.script(&[refusal]));
            let answer = stage.call_as("only", "POST", "/frail/a");
            let accepted = stage.runs_of("only").saturating_sub(servers);
            let context = format!("{moment:?}, {servers} servers: {answer:?}");
            assert!(accepted <= 1, "accepted by {accepted} servers, {context}");
            assert!(accepted == 0 || answer.status != 503, "called not run, {context}");
        }
    }
}
