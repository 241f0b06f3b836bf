//! Orders to evacuate a data centre, as operators write them, over real sockets.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use guavapass::{gateway::GatewayBounds, platform::write_keyed};
use std::time::Duration;

const VMS: usize = 3;

fn order(stage: &Stage, zone: &str, value: &[u8]) {
    let record = write_keyed(&format!("evacuate/{zone}"), value);
    stage.platform.log().append("keyed.op", [record.into()]);
}

/// Calls each VM some times and returns how many runs each server got.
fn runs(stage: &Stage) -> Vec<usize> {
    let before: Vec<usize> = stage.servers.iter().map(|server| server.seen().len()).collect();
    for vm in 0..VMS {
        for number in 0..10 {
            let path = format!("/slot/{number}");
            assert_eq!(stage.call_with(vm, "GET", &path, "key-1", "").status, 200);
        }
    }
    let after = stage.servers.iter().map(|server| server.seen().len());
    after.zip(before).map(|(after, before)| after - before).collect()
}

#[test]
fn evacuated_servers_get_nothing_until_they_are_taken_back() {
    let stage = Stage::start(2, VMS);
    for (zone, value) in [("valle", &b"3"[..]), ("a zone", b"{}"), ("elsewhere", b"{}")] {
        order(&stage, zone, value);
    }
    // None is in the data centre of the VMs, which would be preferred.
    for (server, zone) in stage.servers.iter().zip(["valle", "sur"]) {
        let moved = serde_json::json!({
            "service": "booking", "address": server.address, "zone": zone, "version": "v1",
            "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": 2,
        });
        let record = write_keyed(&server.id, moved.to_string().as_bytes());
        stage.platform.log().append("keyed.servers", [record.into()]);
    }
    eventually("requests at both servers", || runs(&stage).iter().all(|runs| *runs > 0));
    order(&stage, "sur", b"{}");
    std::thread::sleep(Duration::from_millis(GatewayBounds::default().evacuate_ms.0));
    assert_eq!(runs(&stage), [30, 0]);
    order(&stage, "sur", b"");
    eventually("requests at both servers again", || runs(&stage).iter().all(|runs| *runs > 0));
}
