//! Tests of the fake servers over real sockets.

use {
    guavapass::{
        ids::Offset,
        platform::{APPEND_PATH, NEWEST_PATH, READ_PATH, RawPage, write_frame, write_keyed},
        ports::{MemberState, VmMember},
        stand_in::{
            AnswerFault, BookingStandIn, CallRequest, CallerStandIn, EngineSetup, EngineStandIn,
            PlatformStandIn,
        },
    },
    serde_json::{Value, json},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
};

/// Sends one request on a new connection and returns all bytes received, with the response head.
fn exchange(address: SocketAddr, method: &str, path: &str, body: &Value) -> String {
    let mut stream = open(address, method, path, body);
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

fn open(address: SocketAddr, method: &str, path: &str, body: &Value) -> TcpStream {
    open_raw(address, method, path, body.to_string().as_bytes())
}

fn open_raw(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body).unwrap();
    stream
}

fn status(answer: &str) -> &str {
    answer.get(9..12).unwrap_or("cut")
}

fn json_body(answer: &str) -> Value {
    serde_json::from_str(answer.split_once("\r\n\r\n").unwrap().1).unwrap()
}

fn chat(text: &str, stream: bool) -> Value {
    json!({"model": "m@1", "stream": stream, "messages": [{"role": "user", "content": text}]})
}

fn append(platform: &PlatformStandIn, record: &str) -> String {
    append_if(platform, record, "")
}

fn append_if(platform: &PlatformStandIn, record: &str, condition: &str) -> String {
    let path = format!("{APPEND_PATH}?topic=s&part=0{condition}");
    let mut body = Vec::new();
    write_frame(&mut body, record.as_bytes());
    let mut stream = open_raw(platform.address(), "POST", &path, &body);
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

fn read_answer(platform: &PlatformStandIn, query: &str) -> Vec<u8> {
    let path = format!("{READ_PATH}?topic=s&part=0&{query}");
    let mut stream = open_raw(platform.address(), "GET", &path, &[]);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer
}

fn page(answer: &[u8]) -> RawPage {
    let head = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap() + 4;
    RawPage::read(&answer[head..].to_vec().into()).unwrap()
}

fn read_from(platform: &PlatformStandIn, from: u64) -> RawPage {
    page(&read_answer(platform, &format!("from={from}&wait_ms=20")))
}

#[test]
fn log_append_and_read() {
    let platform = PlatformStandIn::start();
    assert_eq!(json_body(&append(&platform, "a")), json!({"offset": 0, "end": 1}));
    assert_eq!(json_body(&append(&platform, "b")), json!({"offset": 1, "end": 2}));
    let expected = RawPage { end: Offset(2), first: Offset(0), records: vec!["b".into()] };
    assert_eq!(read_from(&platform, 1), expected);
    assert_eq!(read_from(&platform, 2), RawPage { records: vec![], ..expected });
}

#[test]
fn log_append_on_condition() {
    let platform = PlatformStandIn::start();
    append(&platform, "a");
    let refused = append_if(&platform, "b", "&at=0");
    assert_eq!((status(&refused), json_body(&refused)), ("412", json!({"end": 1})));
    assert_eq!(status(&append_if(&platform, "b", "&at=1")), "200");
    assert_eq!(platform.log().records("s").len(), 2);
}

#[test]
fn log_read_in_pages() {
    let platform = PlatformStandIn::start();
    let large = "x".repeat(700);
    append(&platform, &large);
    append(&platform, &large);
    let first = page(&read_answer(&platform, "from=0&max_kb=1"));
    assert_eq!((first.records.len(), first.end), (1, Offset(2)));
    platform.log().restore_to("s", 1);
    assert_eq!(read_from(&platform, 2).end, Offset(1));
}

#[test]
fn log_read_waits_for_append() {
    let platform = PlatformStandIn::start();
    let path = format!("{READ_PATH}?topic=s&part=0&from=0&wait_ms=60000");
    let mut reader = open_raw(platform.address(), "GET", &path, &[]);
    append(&platform, "a");
    let mut answer = Vec::new();
    reader.read_to_end(&mut answer).unwrap();
    assert_eq!(page(&answer).end, Offset(1));
}

#[test]
fn log_trimmed_is_gone() {
    let platform = PlatformStandIn::start();
    append(&platform, "a");
    append(&platform, "b");
    platform.log().trim_to("s", 1);
    let answer = String::from_utf8(read_answer(&platform, "from=0&wait_ms=20")).unwrap();
    assert_eq!((status(&answer), json_body(&answer)), ("410", json!({"first": 1})));
    assert_eq!(read_from(&platform, 1).records.len(), 1);
}

#[test]
fn log_newest_of_each_key() {
    let platform = PlatformStandIn::start();
    for (key, value) in [("a", "1"), ("b", "2"), ("a", "3"), ("b", "")] {
        platform.log().append("keyed.x", [write_keyed(key, value.as_bytes()).into()]);
    }
    let path = format!("{NEWEST_PATH}?topic=keyed.x&part=0");
    let mut stream = open_raw(platform.address(), "GET", &path, &[]);
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    let items = json!([{"key": "a", "offset": 2, "value": "Mw=="}]);
    assert_eq!(json_body(&answer), json!({"items": items, "more": false, "end": 4}));
}

#[test]
fn log_lost_answer_took_effect() {
    let platform = PlatformStandIn::start();
    platform.log().faults().lose_next_answers(1);
    assert_eq!(append(&platform, "a"), "");
    assert_eq!(platform.log().records("s").len(), 1);
    assert_eq!(status(&append(&platform, "b")), "200");
}

#[test]
fn log_outage_refuses() {
    let platform = PlatformStandIn::start();
    platform.log().faults().set_outage(true);
    assert_eq!(status(&append(&platform, "a")), "503");
    assert!(platform.log().records("s").is_empty());
}

#[test]
fn members_lag() {
    let platform = PlatformStandIn::start();
    platform.members().add_entry_vm(VmMember {
        id: "vm-1".parse().unwrap(),
        address: platform.address(),
        data_centre: "norte".parse().unwrap(),
        state: MemberState::Live,
    });
    platform.members().set_lag(Duration::from_hours(1));
    let seen = || json_body(&exchange(platform.address(), "GET", "/members", &Value::Null));
    assert_eq!(seen()["entry_vms"], json!([]));
    platform.members().set_lag(Duration::ZERO);
    platform.members().set_state("vm-1", MemberState::Leaving);
    assert_eq!(seen()["entry_vms"][0]["state"], "leaving");
}

#[test]
fn ratings_follow_good_share() {
    let platform = PlatformStandIn::start();
    platform.ratings().set_good_share("m@1", "0.3".parse().unwrap());
    let good = (0..2_000)
        .filter(|number| platform.ratings().score(&number.to_string(), "m@1") > 0.5)
        .count();
    assert!((500..700).contains(&good), "{good} of 2000 are good");
}

#[test]
fn weights_rate_limited() {
    let platform = PlatformStandIn::start();
    platform.weights().set_rate(1, Duration::ZERO);
    let get = || exchange(platform.address(), "GET", "/weights/m@1", &Value::Null);
    assert_eq!(status(&get()), "200");
    let refused = get();
    assert_eq!(status(&refused), "429");
    assert!(refused.contains("retry-after: 1"));
}

#[test]
fn engine_plain_answer() {
    let engine = EngineStandIn::start(EngineSetup::default());
    let body = chat("where is my crate", false);
    let answer = exchange(engine.address(), "POST", "/v1/chat/completions", &body);
    let body = json_body(&answer);
    let content = body["choices"][0]["message"]["content"].as_str().unwrap();
    assert!(content.starts_with("answer to: where is my crate"));
    assert_eq!(body["usage"]["completion_tokens"], 8);
    assert_eq!(engine.runs().runs("where is my crate"), 1);
}

#[test]
fn engine_stream_ends_with_usage_and_done() {
    let engine = EngineStandIn::start(EngineSetup::default());
    let body = chat("q", true);
    let answer = exchange(engine.address(), "POST", "/v1/chat/completions", &body);
    assert_eq!(answer.matches("data: ").count(), 9);
    assert!(answer.contains("\"completion_tokens\":8"));
    assert!(answer.contains("data: [DONE]\n\n"));
    assert_eq!(engine.runs().finished(), 1);
}

#[test]
fn engine_answer_faults() {
    let engine = EngineStandIn::start(EngineSetup::default());
    let ask = |fault, stream| {
        engine.faults().set_answer(fault);
        exchange(engine.address(), "POST", "/v1/chat/completions", &chat("q", stream))
    };
    let whole = ask(AnswerFault::None, false);
    assert!(ask(AnswerFault::Truncated, false).len() < whole.len());
    assert!(!ask(AnswerFault::Truncated, true).contains("[DONE]"));
    assert!(ask(AnswerFault::NotJson, true).contains("not JSON"));
    assert!(ask(AnswerFault::NotHttp, false).starts_with("%%%"));
    let long = ask(AnswerFault::TooLong, false);
    let (head, body) = long.split_once("\r\n\r\n").unwrap();
    let stated: usize = head.rsplit_once(": ").unwrap().1.parse().unwrap();
    assert!(body.len() > stated);
}

#[test]
fn engine_cancelled_by_caller() {
    let setup = EngineSetup { next_token: Duration::from_millis(5), ..EngineSetup::default() };
    let engine = EngineStandIn::start(EngineSetup { output_tokens: 100_000, ..setup });
    let mut stream = open(engine.address(), "POST", "/v1/chat/completions", &chat("q", true));
    let mut first = [0; 16];
    stream.read_exact(&mut first).unwrap();
    drop(stream);
    while engine.runs().cancelled() == 0 {
        std::thread::yield_now();
    }
    assert_eq!(engine.runs().finished(), 0);
}

#[test]
fn engine_crash_on_marker() {
    let engine = EngineStandIn::start(EngineSetup::default());
    engine.faults().set_crash_marker("poison", None);
    let path = "/v1/chat/completions";
    assert_eq!(exchange(engine.address(), "POST", path, &chat("poison", false)), "");
    while TcpStream::connect(engine.address()).is_ok() {
        std::thread::yield_now();
    }
    engine.host().restart();
    assert_eq!(status(&exchange(engine.address(), "POST", path, &chat("q", false))), "200");
}

#[test]
fn engine_silent_connection() {
    let engine = EngineStandIn::start(EngineSetup::default());
    let mut old = TcpStream::connect(engine.address()).unwrap();
    while engine.host().connections() == 0 {
        std::thread::yield_now();
    }
    engine.host().silence_connections();
    old.write_all(b"GET /load HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let new = exchange(engine.address(), "GET", "/load", &Value::Null);
    assert_eq!(status(&new), "200");
    old.set_nonblocking(true).unwrap();
    assert!(old.read(&mut [0; 1]).is_err());
}

#[test]
fn engine_orders_fenced() {
    let engine = EngineStandIn::start(EngineSetup::default());
    let order = |fence| {
        let body = json!({"fence": fence, "order": "load", "version": "m@2"});
        exchange(engine.address(), "POST", "/orders", &body)
    };
    assert_eq!(status(&order(5)), "200");
    assert_eq!(status(&order(4)), "409");
    assert_eq!(engine.orders().runs("m@2"), 1);
    while !engine.versions().contains("m@2") {
        std::thread::yield_now();
    }
}

#[test]
fn engine_queue_by_priority() {
    let setup = EngineSetup { slots: 1, queue_limit: 2, ..EngineSetup::default() };
    let engine = EngineStandIn::start(setup);
    let path = "/v1/chat/completions";
    let ask = |text: &str, priority: i64| {
        let mut body = chat(text, false);
        body["priority"] = json!(priority);
        open(engine.address(), "POST", path, &body)
    };
    let wait_for = |running: u64, waiting: u64| loop {
        let load = json_body(&exchange(engine.address(), "GET", "/load", &Value::Null));
        if load["running"] == running && load["waiting"] == waiting {
            break;
        }
    };
    engine.faults().set_answer(AnswerFault::Stalled);
    let first = ask("first", 0);
    wait_for(1, 0);
    let mut long = ask("long", 9);
    wait_for(1, 1);
    let short = ask("short", 1);
    wait_for(1, 2);
    let refused = exchange(engine.address(), "POST", path, &chat("full", false));
    assert_eq!(status(&refused), "503");
    drop(first);
    while engine.runs().started() == 1 {
        std::thread::yield_now();
    }
    assert_eq!((engine.runs().runs("short"), engine.runs().runs("long")), (1, 0));
    engine.faults().set_answer(AnswerFault::None);
    drop(short);
    long.read_to_string(&mut String::new()).unwrap();
    assert_eq!(engine.runs().runs("long"), 1);
}

#[test]
fn booking_counts_runs() {
    let service = BookingStandIn::start(Duration::ZERO);
    let body = json!({"booking": "b-1"});
    service.faults().lose_next_answers(1);
    assert_eq!(exchange(service.address(), "POST", "/deliveries", &body), "");
    assert_eq!(status(&exchange(service.address(), "POST", "/deliveries", &body)), "200");
    assert_eq!(service.bookings().runs("b-1"), 2);
    let found = exchange(service.address(), "GET", "/deliveries/b-1", &Value::Null);
    assert_eq!(json_body(&found)["ran"], 2);
}

#[test]
fn booking_honours_keys() {
    let service = BookingStandIn::start(Duration::ZERO);
    service.set_honours_keys(true);
    let body = json!({"booking": "b-1"}).to_string();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(service.address()).unwrap();
        let head = format!(
            "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\nidempotency-key: k\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream.read_to_string(&mut String::new()).unwrap();
    }
    assert_eq!(service.bookings().runs("b-1"), 1);
}

#[test]
fn caller_reads_plain_and_stream() {
    let engine = EngineStandIn::start(EngineSetup::default());
    let caller = CallerStandIn::new(engine.address());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let call = CallRequest::chat("m@1", "q").max_tokens(3);
    let plain = runtime.block_on(caller.send(&call));
    let stream = runtime.block_on(caller.send(&call.clone().stream()));
    assert!(plain.is_whole() && stream.is_whole());
    assert_eq!(plain.text(), "answer to: q 1 2");
    assert_eq!(stream.text(), plain.text());
    assert_eq!(stream.usage(), plain.usage());
    engine.faults().set_answer(AnswerFault::Truncated);
    assert!(!runtime.block_on(caller.send(&call)).is_whole());
    assert!(!runtime.block_on(caller.send(&call.stream())).is_whole());
}
