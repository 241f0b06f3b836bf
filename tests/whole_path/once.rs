//! Tests that at-most-once calls run once and are billed when callers repeat them, use tickets or
//! lose their entry VM.

use super::{shutdown::bills, *};
use std::collections::BTreeMap;

fn book(key: &str, booking: &str) -> CallRequest {
    let body = json!({"booking": booking});
    let call = CallRequest::new(Method::POST, "/services/crew-booking/deliveries", body);
    call.key("plazas-key").header("idempotency-key", key)
}

fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

fn runs(cluster: &TestCluster, booking: &str) -> u64 {
    cluster.bookings.iter().map(|service| service.bookings().runs(booking)).sum()
}

fn three_vms() -> TestCluster {
    let call_time = Duration::from_millis(30);
    TestCluster::new().booking_of("booking-1", call_time).vm("vm-1").vm("vm-2").vm("vm-3").publish()
}

#[test]
fn once_resend_at_other_vm() {
    let cluster = three_vms();
    let key = new_key();
    let first = Answer(cluster.send(cluster.vms[0].callers, &book(&key, "b-1"))).expect_status(200);
    for vm in &cluster.vms {
        let again = Answer(cluster.send(vm.callers, &book(&key, "b-1"))).expect_status(200);
        assert_eq!(again.0.body, first.0.body);
        assert_eq!(again.0.header("guavapass-request"), first.0.header("guavapass-request"));
    }
    assert_eq!(runs(&cluster, "b-1"), 1);
}

#[test]
fn once_reused_key_with_other_body() {
    let cluster = three_vms();
    let key = new_key();
    Answer(cluster.send(cluster.vms[0].callers, &book(&key, "b-1"))).expect_status(200);
    for vm in &cluster.vms {
        let other = Answer(cluster.send(vm.callers, &book(&key, "b-2"))).expect_status(422);
        other.expect_run("not-run");
    }
    assert_eq!((runs(&cluster, "b-1"), runs(&cluster, "b-2")), (1, 0));
}

#[test]
fn once_ticket_at_other_vm_while_log_is_down() {
    let cluster = three_vms();
    cluster.platform().log().faults().set_outage(true);
    let ask = CallRequest::new(Method::POST, "/guavapass/v1/tickets", Value::Null);
    let answer = Answer(cluster.send(cluster.vms[0].callers, &ask.key("plazas-key")));
    let answer = answer.expect_status(201);
    let ticket = answer.0.json()["ticket"].as_str().unwrap().to_owned();
    for vm in cluster.vms.iter().rev() {
        Answer(cluster.send(vm.callers, &book(&ticket, "b-1"))).expect_status(200);
    }
    assert_eq!(runs(&cluster, "b-1"), 1);
    let claim = Answer(cluster.send(cluster.vms[1].callers, &book(&new_key(), "b-2")));
    claim.expect_status(503).expect_run("unknown");
    assert_eq!(runs(&cluster, "b-2"), 0);
    cluster.platform().log().faults().set_outage(false);
}

#[test]
fn once_silent_service_reports_unknown_run() {
    let cluster = three_vms();
    cluster.bookings[0].faults().set_answer(AnswerFault::Stalled);
    let key = new_key();
    let first = Answer(cluster.send(cluster.vms[0].callers, &book(&key, "b-1")));
    first.expect_status(502).expect_run("unknown");
    cluster.bookings[0].faults().set_answer(AnswerFault::None);
    let again = Answer(cluster.send(cluster.vms[1].callers, &book(&key, "b-1")));
    again.expect_status(409).expect_run("unknown");
    assert_eq!(runs(&cluster, "b-1"), 1);
}

#[test]
fn once_killed_vm_loses_no_bill() {
    const BOOKINGS: usize = 60;
    let mut cluster = three_vms();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let mut keys: BTreeMap<String, String> = BTreeMap::new();
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..BOOKINGS {
        let (key, booking) = (new_key(), format!("b-{number}"));
        let call = book(&key, &booking);
        keys.insert(booking.clone(), key);
        let caller = CallerStandIn::new(cluster.vms[number % 3].callers);
        callers.spawn_on(async move { (booking, caller.send(&call).await) }, runtime.handle());
    }
    let start = Instant::now();
    while cluster.bookings[0].bookings().started() < 10 {
        assert!(start.elapsed() < Duration::from_secs(20), "10 bookings must start in time");
        std::thread::yield_now();
    }
    drop(cluster.vms.remove(1));
    for (booking, outcome) in runtime.block_on(callers.join_all()) {
        if !outcome.is_whole() {
            let call = book(&keys[&booking], &booking);
            let again = Answer(cluster.send(cluster.vms[0].callers, &call));
            assert!(again.0.is_whole() || again.0.header("guavapass-run").is_some());
        }
    }
    let team: TeamId = "plazas".parse().unwrap();
    let ran: BTreeMap<BillKey, u64> = keys
        .iter()
        .map(|(booking, key)| {
            let key = ClaimKey::new(&team, uuid::Uuid::parse_str(key).unwrap());
            (BillKey::of_claim(key), runs(&cluster, booking))
        })
        .filter(|(_, runs)| *runs > 0)
        .collect();
    assert!(ran.values().all(|runs| *runs == 1), "{ran:?}");
    loop {
        let fold = bills(&cluster);
        let missing = ran.keys().filter(|key| !fold.bills().any(|(billed, _)| billed == *key));
        if missing.count() == 0 {
            break;
        }
        assert!(start.elapsed() < Duration::from_secs(40), "every run must be billed in time");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Starts a server that sends a second, stale answer after the first one on each connection.
fn server_with_stale_answers() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            std::thread::spawn(move || {
                let mut bytes = [0; 4_096];
                let Ok(length @ 1..) = stream.read(&mut bytes) else { return };
                let asked = String::from_utf8_lossy(&bytes[..length]).into_owned();
                let question = asked.split("q-").nth(1).map_or("", |rest| &rest[..1]);
                let answer = |text: &str| {
                    let body = json!({"choices": [{"message": {"content": text}}]}).to_string();
                    let length = body.len();
                    format!(
                        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
                    )
                };
                let own = answer(&format!("answer to: q-{question}"));
                let _ = stream.write_all(format!("{own}{}", answer("stale")).as_bytes());
                let _ = stream.read(&mut bytes);
            });
        }
    });
    address
}

#[test]
fn stale_answer_is_never_returned() {
    let cluster =
        TestCluster::new().vm("vm-1").server("raw-1", "planning", server_with_stale_answers());
    cluster.publish_document(&document());
    for question in ["q-1", "q-2", "q-3"] {
        cluster.call("plazas-key").chat(question).expect_status(200).expect_text(question);
    }
}
