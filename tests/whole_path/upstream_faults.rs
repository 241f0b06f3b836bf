//! Tests backend servers that fail during a call: the answers callers get, and whether calls are
//! retried.

use super::*;

fn with_fault(fault: AnswerFault) -> Bench {
    let bench = Bench::small();
    bench.engines[0].faults().set_answer(fault);
    bench
}

fn plain_fault(fault: AnswerFault, run: &str) {
    let bench = with_fault(fault);
    bench
        .call("plazas-key")
        .chat("q")
        .expect_status(502)
        .expect_run(run)
        .expect_code("bad_gateway");
    assert!(bench.engines[0].runs().runs("q") >= 1);
    bench.expect_alive();
}

fn stream_fault(fault: AnswerFault) {
    let bench = with_fault(fault);
    bench.call("plazas-key").stream().chat("q").expect_broken_stream();
    assert_eq!(bench.engines[0].runs().runs("q"), 1);
    bench.expect_alive();
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
    let bench = with_fault(AnswerFault::TooLong);
    bench.call("plazas-key").stream().chat("q").expect_status(502).expect_run("ran");
    bench.expect_alive();
}

#[test]
fn stream_others_untouched() {
    let setup = EngineSetup { next_token: Duration::from_millis(2), ..EngineSetup::default() };
    let bench = Bench::new()
        .engine_of("engine-1", EngineSetup { output_tokens: 50, ..setup })
        .vm("vm-1")
        .publish();
    let bench = &bench;
    std::thread::scope(|scope| {
        let whole = scope.spawn(|| bench.call("plazas-key").stream().chat("whole"));
        while bench.engines[0].runs().runs("whole") == 0 {
            std::thread::yield_now();
        }
        // The engine has a single thread, so this answer shows that it has begun the first stream.
        let load = CallRequest::new(Method::GET, "/load", Value::Null);
        bench.send(bench.engines[0].address(), &load);
        bench.engines[0].faults().set_answer(AnswerFault::Truncated);
        bench.call("plazas-key").stream().chat("broken").expect_broken_stream();
        whole.join().unwrap().expect_text("whole");
    });
}

#[test]
fn engine_down_then_retried() {
    let bench = Bench::new().engine("engine-1").engine("engine-2").vm("vm-1").publish();
    bench.engines[0].host().crash();
    for number in 0..4 {
        let text = format!("q{number}");
        bench.call("plazas-key").chat(&text).expect_status(200).expect_text(&text);
    }
    assert_eq!(bench.engines[1].runs().started(), 4);
}

#[test]
fn engine_down_alone() {
    let bench = Bench::small();
    bench.engines[0].host().crash();
    let call = bench.call("plazas-key").header("guavapass-deadline-ms", "600");
    let answer = call.chat("q").expect_run("not-run");
    assert!(matches!(answer.0.status, Some(502..=504)), "{:?}", answer.0);
    bench.engines[0].host().restart();
    bench.expect_alive();
}

#[test]
fn engine_silent_connections() {
    let bench = Bench::small();
    bench.call("plazas-key").chat("before").expect_status(200);
    bench.engines[0].host().silence_connections();
    bench.call("plazas-key").chat("after").expect_status(200).expect_text("after");
}

#[test]
fn booking_never_sent_again() {
    let bench = Bench::new().booking("booking-1").booking("booking-2").vm("vm-1").publish();
    for service in &bench.bookings {
        service.faults().lose_next_answers(1);
    }
    let key = uuid::Uuid::now_v7().to_string();
    let call = bench.call("plazas-key").header("idempotency-key", &key);
    call.book("b-1").expect_status(502).expect_run("unknown");
    let runs: u64 = bench.bookings.iter().map(|service| service.bookings().runs("b-1")).sum();
    assert_eq!(runs, 1);
}

#[test]
fn booking_sent_on_if_refused() {
    let bench = Bench::new().booking("booking-1").booking("booking-2").vm("vm-1").publish();
    bench.bookings[0].host().crash();
    for number in 0..2 {
        let key = uuid::Uuid::now_v7().to_string();
        let call = bench.call("plazas-key").header("idempotency-key", &key);
        call.book(&format!("b-{number}")).expect_status(200);
    }
    assert_eq!(bench.bookings[1].bookings().started(), 2);
}
