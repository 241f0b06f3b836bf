//! Keys of teams over real sockets: the last one taken away, and what other VMs pass on.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use guavapass::gateway::{KeyHolder, TeamKeys};
use serde_json::{Value, json};
use std::time::Duration;

const KEYED_PATHS: [(&str, &str); 4] =
    [("GET", "/slot/a"), ("POST", "/book/a"), ("POST", "/plan/a"), ("POST", "/frail/a")];

/// Returns the statuses of requests with a key that was taken away, an unknown one and an empty
/// one, on all kinds of routes of a VM.
fn statuses(stage: &Stage, vm: usize) -> Vec<u16> {
    let calls = KEYED_PATHS.iter().flat_map(|call| ["key-1", "never", ""].map(|key| (call, key)));
    calls.map(|((method, path), key)| stage.call_with(vm, method, path, key, "").status).collect()
}

fn without_teams(version: u64) -> Value {
    let mut document = configuration(version, &[]);
    document["tenants"] = json!([]);
    document
}

/// Waits until all VMs refuse all keys, and asserts that no server gets a request then.
fn expect_closed(stage: &Stage, context: &str) {
    for vm in 0..stage.vms.len() {
        eventually(context, || statuses(stage, vm).iter().all(|status| *status == 401));
    }
    let seen = stage.seen();
    for vm in 0..stage.vms.len() {
        assert!(statuses(stage, vm).iter().all(|status| *status == 401), "{context}");
        assert!(stage.is_ready(vm), "{context}");
    }
    assert_eq!(stage.seen(), seen, "{context}");
}

// Guards against routes that open to everybody once the last key is taken away (review/3).
#[test]
fn last_key_taken_away() {
    for emptied in [configuration(2, &[]), without_teams(2)] {
        let stage = Stage::start(1, 2);
        assert_eq!(stage.call("GET", "/slot/a").status, 200);
        stage.publish(&emptied);
        expect_closed(&stage, "no key is left");
        stage.publish(&configuration(3, &["key-3"]));
        for vm in 0..2 {
            eventually("keys are back", || {
                stage.call_with(vm, "GET", "/slot/a", "key-3", "").status == 200
            });
            assert_eq!(stage.call_with(vm, "GET", "/slot/a", "key-1", "").status, 401);
        }
    }
}

#[test]
fn restart_while_no_key_is_there() {
    for emptied in [configuration(2, &[]), without_teams(2)] {
        let mut stage = Stage::start(1, 1);
        stage.publish(&emptied);
        expect_closed(&stage, "no key is left");
        stage.vms.clear();
        stage.add_vm();
        eventually("readiness", || stage.is_ready(0));
        expect_closed(&stage, "the restarted VM");
        // The next one learns the configuration from the first.
        stage.add_vm();
        eventually("readiness", || stage.is_ready(1));
        expect_closed(&stage, "a VM that joins");
    }
}

#[test]
fn public_route_and_configuration_without_teams_stay_open() {
    let stage = Stage::start(1, 2);
    let mut public = configuration(2, &[]);
    public["routes"][0]["public"] = json!(true);
    stage.publish(&public);
    eventually("the route is public", || {
        stage.call_with(1, "GET", "/slot/a", "", "").status == 200
    });
    assert_eq!(stage.call_with(1, "POST", "/book/a", "", "").status, 401);
    let mut open = configuration(3, &[]);
    open.as_object_mut().unwrap().remove("tenants");
    stage.publish(&open);
    for vm in 0..2 {
        for (method, path) in KEYED_PATHS {
            eventually("open routes", || stage.call_with(vm, method, path, "", "").status == 200);
        }
    }
    stage.publish(&without_teams(4));
    expect_closed(&stage, "the list of teams is back, and empty");
}

#[test]
fn odd_list_of_teams_changes_nothing() {
    let odd = [
        json!(null),
        json!({}),
        json!("plaza"),
        json!([null]),
        json!([{"name": "plaza"}]),
        json!([{"name": "plaza", "api_keys": null}]),
        json!([{"name": "plaza", "api_keys": "key-1"}]),
    ];
    let stage = Stage::start(1, 1);
    for (version, teams) in (2..).zip(odd) {
        let mut document = configuration(version, &[]);
        document["tenants"] = teams.clone();
        stage.publish(&document);
        std::thread::sleep(Duration::from_millis(100));
        assert_eq!(stage.call("GET", "/slot/a").status, 200, "{teams}");
        assert_eq!(stage.call_with(0, "GET", "/slot/a", "never", "").status, 401, "{teams}");
    }
    stage.publish(&configuration(20, &[]));
    expect_closed(&stage, "the next valid configuration");
}

#[test]
fn cut_off_while_no_key_is_there() {
    let stage = Stage::start(1, 1);
    stage.publish(&configuration(2, &[]));
    expect_closed(&stage, "no key is left");
    stage.platform.log().faults().set_outage(true);
    eventually("the lease on keys ends", || {
        statuses(&stage, 0).iter().all(|status| *status == 503)
    });
    assert!(!stage.is_ready(0));
    stage.platform.log().faults().set_outage(false);
    eventually("readiness", || stage.is_ready(0));
    expect_closed(&stage, "the store is back");
}

#[test]
fn keys_between_vms() {
    let holder = KeyHolder { team: "plaza".parse().unwrap(), rank: Some(1) };
    let named = TeamKeys::Named([("key-1".into(), holder)].into());
    for keys in [TeamKeys::Open, TeamKeys::default(), named.clone()] {
        let bytes = rmp_serde::to_vec(&keys).unwrap();
        assert_eq!(rmp_serde::from_slice::<TeamKeys>(&bytes).unwrap(), keys);
    }
    // What an earlier build sends and reads: a map.
    let TeamKeys::Named(map) = &named else { unreachable!() };
    assert_eq!(rmp_serde::to_vec(map).unwrap(), rmp_serde::to_vec(&named).unwrap());
    // Its empty map may stand for teams without keys as well as for no teams.
    let empty = rmp_serde::to_vec(&std::collections::BTreeMap::<u8, u8>::new()).unwrap();
    assert!(rmp_serde::from_slice::<TeamKeys>(&empty).is_err());
    for odd in [rmp_serde::to_vec(&true), rmp_serde::to_vec(&[1]), rmp_serde::to_vec("key-1")] {
        assert!(rmp_serde::from_slice::<TeamKeys>(&odd.unwrap()).is_err());
    }
}
