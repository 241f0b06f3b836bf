//! Tests invalid, oversized, slow and aborted requests of callers. None of them may harm other
//! requests or leave work running at a backend server.

use super::*;

const CHAT_PATH: &str = "/v1/chat/completions";

fn chat_head(rest: &str) -> Vec<u8> {
    let head = format!(
        "POST {CHAT_PATH} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer plazas-key\r\n{rest}\r\n"
    );
    head.into_bytes()
}

#[test]
fn body_malformed_json() {
    let cluster = TestCluster::small();
    let answer = cluster.raw(
        &[chat_head("connection: close\r\ncontent-length: 9\r\n"), b"{\"model\":".to_vec()]
            .concat(),
    );
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("guavapass-run: not-run"), "{answer}");
    assert!(answer.contains("\"code\":\"bad_request\""), "{answer}");
    cluster.expect_alive();
}

#[test]
fn body_wrong_fields() {
    let cluster = TestCluster::small();
    let send = |body: Value| {
        cluster.call("plazas-key").send(CallRequest::new(Method::POST, CHAT_PATH, body))
    };
    for body in [
        json!([1, 2]),
        json!({"messages": []}),
        json!({"model": 7, "messages": []}),
        json!({"model": "auto", "messages": "hello"}),
        json!({"model": "auto", "messages": [], "max_tokens": -1}),
    ] {
        send(body).expect_status(400).expect_run("not-run").expect_code("bad_request");
    }
    cluster.expect_alive();
}

#[test]
fn body_over_limit_declared() {
    let cluster = TestCluster::new().body_limit(1_000).engine("engine-1").vm("vm-1").publish();
    let mut stream = cluster.connect();
    stream.write_all(&chat_head("content-length: 1000000000\r\n")).unwrap();
    let answer = read_all(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("guavapass-run: not-run"), "{answer}");
    cluster.expect_alive();
}

#[test]
fn body_over_limit_chunked() {
    let cluster = TestCluster::new().body_limit(1_000).engine("engine-1").vm("vm-1").publish();
    let mut stream = cluster.connect();
    stream.write_all(&chat_head("transfer-encoding: chunked\r\n")).unwrap();
    let chunk = format!("400\r\n{}\r\n", "x".repeat(0x400));
    stream.write_all(chunk.as_bytes()).unwrap();
    let answer = read_all(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("guavapass-run: not-run"), "{answer}");
    cluster.expect_alive();
}

#[test]
fn header_flood() {
    let cluster = TestCluster::small();
    let flood = "x-flood: 0123456789\r\n".repeat(100_000);
    let answer = cluster.raw(&chat_head(&flood));
    assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    assert_eq!(cluster.engines[0].runs().started(), 0);
    cluster.expect_alive();
}

#[test]
fn header_unreadable() {
    let cluster = TestCluster::small();
    for (name, value) in
        [("guavapass-deadline-ms", "soon"), ("guavapass-session", &"s".repeat(600))]
    {
        let call = cluster.call("plazas-key").header(name, value);
        call.chat("q").expect_status(400).expect_run("not-run");
    }
    assert_eq!(cluster.engines[0].runs().started(), 0);
}

#[test]
fn request_not_http() {
    let cluster = TestCluster::small();
    let answer = cluster.raw(b"%%% not HTTP\r\n\r\n");
    assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    cluster.expect_alive();
}

#[test]
fn path_unknown() {
    let cluster = TestCluster::small();
    let call = CallRequest::new(Method::GET, "/v2/models", Value::Null);
    cluster.call("plazas-key").send(call).expect_status(404).expect_run("not-run");
}

#[test]
fn model_unknown() {
    let cluster = TestCluster::small();
    for model in ["nobody", "planner@9", "@", ""] {
        cluster.call("plazas-key").model(model, "q").expect_status(404).expect_run("not-run");
    }
    cluster.expect_alive();
}

#[test]
fn service_unknown() {
    let cluster = TestCluster::small();
    for path in ["/services/nobody/x", "/services/", "/services/a b"] {
        let path = path.replace(' ', "%20");
        let call = CallRequest::new(Method::GET, &path, Value::Null);
        cluster.call("plazas-key").send(call).expect_status(404).expect_run("not-run");
    }
}

#[test]
fn slow_body_bounded() {
    let cluster = TestCluster::new().body_timeout(50).engine("engine-1").vm("vm-1").publish();
    let mut slow = cluster.connect();
    slow.write_all(&chat_head("content-length: 100\r\n")).unwrap();
    slow.write_all(b"{").unwrap();
    cluster.call("plazas-key").chat("meanwhile").expect_status(200);
    let answer = read_all(&mut slow);
    assert!(answer.contains("guavapass-run: not-run"), "{answer}");
    assert_eq!(cluster.engines[0].runs().started(), 1);
}

#[test]
fn slow_head_bounded() {
    let cluster = TestCluster::small();
    let mut slow = cluster.connect();
    slow.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost").unwrap();
    cluster.call("plazas-key").chat("meanwhile").expect_status(200);
    assert!(!read_all(&mut slow).starts_with("HTTP/1.1 2"));
    cluster.expect_alive();
}

#[test]
fn caller_gone_while_engine_is_silent() {
    let hour = Duration::from_hours(1);
    let mut document = document();
    for pool in document.pools.values_mut() {
        pool.progress_timeout_ms = Millis(hour.as_millis() as u64);
    }
    for team in document.teams.values_mut() {
        team.deadline_ms = Millis(hour.as_millis() as u64);
    }
    let setup = EngineSetup { first_token: hour, ..EngineSetup::default() };
    let cluster = TestCluster::new().engine_of("engine-1", setup).vm("vm-1");
    cluster.publish_document(&document);
    let body = json!({ "model": "auto", "messages": [{"role": "user", "content": "silent"}] });
    let body = body.to_string();
    let mut stream = cluster.connect();
    let head = chat_head(&format!("content-length: {}\r\n", body.len()));
    stream.write_all(&[head, body.into_bytes()].concat()).unwrap();
    let wait_for = |count: &dyn Fn() -> u64, what: &str| {
        let start = Instant::now();
        while count() == 0 {
            assert!(start.elapsed() < Duration::from_secs(20), "no request {what}");
            std::thread::yield_now();
        }
    };
    wait_for(&|| cluster.engines[0].runs().started(), "started");
    drop(stream);
    wait_for(&|| cluster.engines[0].runs().cancelled(), "cancelled");
}

#[test]
fn caller_gone_cancels_upstream() {
    let setup = EngineSetup {
        next_token: Duration::from_millis(5),
        output_tokens: 100_000,
        ..EngineSetup::default()
    };
    let cluster = TestCluster::new().engine_of("engine-1", setup).vm("vm-1").publish();
    let body = json!({
        "model": "auto", "stream": true, "messages": [{"role": "user", "content": "long"}],
    });
    let body = body.to_string();
    let mut stream = cluster.connect();
    let head = chat_head(&format!("content-length: {}\r\n", body.len()));
    stream.write_all(&[head, body.into_bytes()].concat()).unwrap();
    stream.read_exact(&mut [0; 64]).unwrap();
    drop(stream);
    cluster.wait_until(|status| status.requests == 0);
    let start = Instant::now();
    while cluster.engines[0].runs().cancelled() == 0 {
        assert!(start.elapsed() < Duration::from_secs(20), "the engine was not cancelled");
        std::thread::yield_now();
    }
}
