//! Tests successful calls, and refusals of unauthorised ones.

use super::*;

#[test]
fn chat_plain() {
    let cluster = TestCluster::small();
    cluster
        .call("plazas-key")
        .chat("hello")
        .expect_status(200)
        .expect_text("hello")
        .expect_header("guavapass-version", "planner@1");
    assert_eq!(cluster.engines[0].runs().runs("hello"), 1);
}

#[test]
fn chat_stream() {
    let cluster = TestCluster::small();
    let answer = cluster.call("plazas-key").stream().chat("hello").expect_text("hello");
    assert_eq!(answer.0.events().len(), 9);
    assert_eq!(answer.0.events().last().unwrap(), "[DONE]");
    answer.expect_header("content-type", "text/event-stream");
}

#[test]
fn chat_request_id_unique() {
    let cluster = TestCluster::small();
    let id = || {
        let answer = cluster.call("plazas-key").chat("hello").expect_status(200);
        answer.0.header("guavapass-request").unwrap().parse::<RequestId>().unwrap()
    };
    assert_ne!(id(), id());
}

#[test]
fn chat_allowed_version_only() {
    let cluster = TestCluster::small();
    cluster.call("permisos-key").chat("q").expect_header("guavapass-version", "planner@2");
    cluster.call("permisos-key").model("planner@1", "q").expect_status(403).expect_run("not-run");
    cluster.call("plazas-key").model("expert", "q").expect_status(403).expect_run("not-run");
    assert_eq!(cluster.engines[0].version_runs().all().len(), 1);
}

#[test]
fn chat_withdrawn_version() {
    let cluster = TestCluster::small();
    cluster.call("plazas-key").model("planner@1", "q").expect_status(200);
    let mut withdrawn = document();
    let model = withdrawn.models.get_mut(&"planner".parse().unwrap()).unwrap();
    model.versions.get_mut("1").unwrap().state = VersionState::Withdrawn;
    cluster.publish_document(&withdrawn);
    cluster.call("plazas-key").chat("q").expect_header("guavapass-version", "planner@2");
    cluster.call("plazas-key").model("planner@1", "q").expect_run("not-run");
    assert_eq!(cluster.engines[0].version_runs().runs("planner@1"), 1);
}

#[test]
fn models_of_team() {
    let cluster = TestCluster::small();
    let list = |key| {
        let body = cluster.call(key).models().expect_status(200).0.json();
        let models = body["data"].as_array().unwrap();
        models.iter().map(|model| model["id"].as_str().unwrap().to_owned()).collect::<Vec<_>>()
    };
    assert_eq!(list("plazas-key"), ["planner", "planner@1", "planner@2"]);
    assert_eq!(list("permisos-key"), ["planner", "planner@2"]);
}

#[test]
fn service_lookup() {
    let cluster = TestCluster::small();
    let answer = cluster.call("plazas-key").look_up("b-1").expect_status(200);
    assert_eq!(answer.0.json(), json!({"booking": "b-1", "ran": 0}));
    cluster.call("permisos-key").look_up("b-1").expect_status(403).expect_run("not-run");
}

#[test]
fn service_booking() {
    let cluster = TestCluster::small();
    let key = uuid::Uuid::now_v7().to_string();
    let call = cluster.call("plazas-key").header("idempotency-key", &key);
    let answer = call.book("b-1").expect_status(200);
    assert_eq!(answer.0.json()["path"], "/deliveries");
    assert_eq!(cluster.bookings[0].bookings().runs("b-1"), 1);
}

#[test]
fn key_missing_or_unknown() {
    let cluster = TestCluster::small();
    cluster.call("nobody-key").chat("q").expect_status(401).expect_run("not-run");
    let call = CallRequest::chat("auto", "q");
    Answer(cluster.send(cluster.vms[0].callers, &call)).expect_status(401).expect_run("not-run");
    assert_eq!(cluster.engines[0].runs().started(), 0);
}

#[test]
fn key_on_wrong_listener() {
    let cluster = TestCluster::small();
    let status = serde_json::to_value(OperatorRequest::Status).unwrap();
    let call = CallRequest::new(Method::POST, OPERATOR_PATH, status).key("plazas-key");
    Answer(cluster.send(cluster.vms[0].operators, &call)).expect_status(401);
    let call = CallRequest::new(Method::POST, PEER_PATH, Value::Null).key("plazas-key");
    Answer(cluster.send(cluster.vms[0].peers, &call)).expect_status(401);
    cluster.call("the operators' secret").chat("q").expect_status(401).expect_run("not-run");
    cluster.call("the secret of peers").chat("q").expect_status(401).expect_run("not-run");
}

#[test]
fn health_and_readiness() {
    let cluster = TestCluster::new().engine("engine-1").vm("vm-1");
    let get = |path| {
        let call = CallRequest::new(Method::GET, path, Value::Null);
        cluster.send(cluster.vms[0].callers, &call).status
    };
    assert_eq!((get("/healthz"), get("/readyz")), (Some(200), Some(503)));
    cluster.call("plazas-key").chat("q").expect_status(503).expect_run("not-run");
    cluster.publish_document(&document());
    assert_eq!(get("/readyz"), Some(200));
}

#[test]
fn configuration_reaches_all_vms() {
    let cluster = TestCluster::new().engine("engine-1").vm("vm-1").vm("vm-2").vm("vm-3").publish();
    for vm in &cluster.vms {
        let call = CallRequest::chat("auto", "hello").key("plazas-key");
        Answer(cluster.send(vm.callers, &call)).expect_status(200).expect_text("hello");
    }
}
