//! Tests backend servers that fail during a call: the answers callers get, and whether calls are
//! retried.

use super::*;

fn cluster_with_fault(fault: AnswerFault) -> TestCluster {
    let cluster = TestCluster::small();
    cluster.engines[0].faults().set_answer(fault);
    cluster
}

fn plain_fault(fault: AnswerFault, run: &str) {
    let cluster = cluster_with_fault(fault);
    cluster
        .call("plazas-key")
        .chat("q")
        .expect_status(502)
        .expect_run(run)
        .expect_code("bad_gateway");
    assert!(cluster.engines[0].runs().runs("q") >= 1);
    cluster.expect_alive();
}

fn stream_fault(fault: AnswerFault) {
    let cluster = cluster_with_fault(fault);
    cluster.call("plazas-key").stream().chat("q").expect_broken_stream();
    assert_eq!(cluster.engines[0].runs().runs("q"), 1);
    cluster.expect_alive();
}

#[test]
fn plain_truncated() {
    plain_fault(AnswerFault::Truncated, "ran");
}

#[test]
fn plain_not_json() {
    plain_fault(AnswerFault::NotJson, "ran");
}

#[test]
fn plain_not_http() {
    plain_fault(AnswerFault::NotHttp, "unknown");
}

#[test]
fn plain_longer_than_stated() {
    plain_fault(AnswerFault::TooLong, "ran");
}

#[test]
fn plain_silent() {
    plain_fault(AnswerFault::Stalled, "unknown");
}

#[test]
fn stream_truncated() {
    stream_fault(AnswerFault::Truncated);
}

#[test]
fn stream_not_json() {
    stream_fault(AnswerFault::NotJson);
}

#[test]
fn stream_silent() {
    stream_fault(AnswerFault::Stalled);
}

#[test]
fn stream_longer_than_stated() {
    let cluster = cluster_with_fault(AnswerFault::TooLong);
    cluster.call("plazas-key").stream().chat("q").expect_status(502).expect_run("ran");
    cluster.expect_alive();
}

#[test]
fn stream_fault_does_not_affect_other_streams() {
    let setup = EngineSetup { next_token: Duration::from_millis(2), ..EngineSetup::default() };
    let cluster = TestCluster::new()
        .engine_of("engine-1", EngineSetup { output_tokens: 50, ..setup })
        .vm("vm-1")
        .publish();
    let cluster = &cluster;
    std::thread::scope(|scope| {
        let whole = scope.spawn(|| cluster.call("plazas-key").stream().chat("whole"));
        while cluster.engines[0].runs().runs("whole") == 0 {
            std::thread::yield_now();
        }
        // The engine has a single thread, so this answer shows that it has begun the first stream.
        let load = CallRequest::new(Method::GET, "/load", Value::Null);
        cluster.send(cluster.engines[0].address(), &load);
        cluster.engines[0].faults().set_answer(AnswerFault::Truncated);
        cluster.call("plazas-key").stream().chat("broken").expect_broken_stream();
        whole.join().unwrap().expect_text("whole");
    });
}

#[test]
fn engine_down_then_retried() {
    let cluster = TestCluster::new().engine("engine-1").engine("engine-2").vm("vm-1").publish();
    cluster.engines[0].host().crash();
    for number in 0..4 {
        let text = format!("q{number}");
        cluster.call("plazas-key").chat(&text).expect_status(200).expect_text(&text);
    }
    assert_eq!(cluster.engines[1].runs().started(), 4);
}

#[test]
fn only_engine_down() {
    let cluster = TestCluster::small();
    cluster.engines[0].host().crash();
    let call = cluster.call("plazas-key").header("guavapass-deadline-ms", "600");
    let answer = call.chat("q").expect_run("not-run");
    assert!(matches!(answer.0.status, Some(502..=504)), "{:?}", answer.0);
    cluster.engines[0].host().restart();
    cluster.expect_alive();
}

#[test]
fn engine_silent_connections() {
    let cluster = TestCluster::small();
    cluster.call("plazas-key").chat("before").expect_status(200);
    cluster.engines[0].host().silence_connections();
    cluster.call("plazas-key").chat("after").expect_status(200).expect_text("after");
}

#[test]
fn booking_never_sent_again() {
    let cluster = TestCluster::new().booking("booking-1").booking("booking-2").vm("vm-1").publish();
    for service in &cluster.bookings {
        service.faults().lose_next_answers(1);
    }
    let key = uuid::Uuid::now_v7().to_string();
    let call = cluster.call("plazas-key").header("idempotency-key", &key);
    call.book("b-1").expect_status(502).expect_run("unknown");
    let runs: u64 = cluster.bookings.iter().map(|service| service.bookings().runs("b-1")).sum();
    assert_eq!(runs, 1);
}

#[test]
fn booking_retried_if_connection_refused() {
    let cluster = TestCluster::new().booking("booking-1").booking("booking-2").vm("vm-1").publish();
    cluster.bookings[0].host().crash();
    for number in 0..2 {
        let key = uuid::Uuid::now_v7().to_string();
        let call = cluster.call("plazas-key").header("idempotency-key", &key);
        call.book(&format!("b-{number}")).expect_status(200);
    }
    assert_eq!(cluster.bookings[1].bookings().started(), 2);
}
