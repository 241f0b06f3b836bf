//! Entries of another writer in the list of servers, and in other records of the store.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use gateway_world::GatewayFixture;
use guavapass::{gateway::*, platform::*};
use std::collections::BTreeSet;

/// Returns an entry with some fields replaced or added.
fn entry(fields: &str) -> Vec<u8> {
    let known = [
        ("service", "\"booking\""),
        ("address", "\"10.0.0.1:8024\""),
        ("zone", "\"norte\""),
        ("version", "\"v1\""),
        ("slots", "8"),
        ("state", "\"ready\""),
        ("cold_remaining_ms", "0"),
        ("born", "1700000000000"),
    ];
    let others = known.iter().filter(|(name, _)| !fields.contains(&format!("\"{name}\"")));
    let others: Vec<String> = others.map(|(name, value)| format!("\"{name}\":{value}")).collect();
    format!("{{{}{}{fields}}}", others.join(","), if fields.is_empty() { "" } else { "," }).into()
}

/// Entries that name no server to use.
fn odd_entries() -> Vec<Vec<u8>> {
    let nested = |depth: usize| format!("{}1{}", "[".repeat(depth), "]".repeat(depth));
    let mut entries: Vec<Vec<u8>> = [
        "\"address\":\"10.0.0.1:0\"",
        "\"address\":\"10.0.0.1:65536\"",
        "\"address\":\"10.0.0.1:-1\"",
        "\"address\":\"0.0.0.0:8024\"",
        "\"address\":\"[::]:8024\"",
        "\"address\":\"224.0.0.1:8024\"",
        "\"address\":\"255.255.255.255:8024\"",
        "\"address\":\"10.0.0.256:8024\"",
        "\"address\":\"server.example:8024\"",
        "\"address\":8024",
        "\"slots\":1e999",
        "\"slots\":18446744073709551616",
        "\"slots\":-1",
        "\"slots\":1.5",
        "\"slots\":\"8\"",
        "\"cold_remaining_ms\":1e999",
        "\"cold_remaining_ms\":1e300",
        "\"cold_remaining_ms\":-1",
        "\"born\":18446744073709551615",
        "\"born\":18446744073709551616",
        "\"born\":-1",
        "\"born\":0.5",
        "\"state\":\"dancing\"",
        "\"service\":null",
        "\"slots\":8,\"slots\":9",
    ]
    .into_iter()
    .map(entry)
    .collect();
    entries.extend([b"\xff\xfe".to_vec(), b"{".to_vec(), b"null".to_vec(), b"[]".to_vec()]);
    for depth in [200, 10_000] {
        entries.push(nested(depth).into());
        entries.push(entry(&format!("\"zone\":{}", nested(depth))));
    }
    entries.push(entry(&format!("\"state\":\"{}\"", "x".repeat(10 << 20))));
    entries
}

fn change(key: &str, value: &[u8]) -> ServerChange {
    let StoreRecord::Server(change) = read_server_record(key, value) else {
        panic!("the record must be a server entry")
    };
    change
}

#[test]
fn odd_server_entry_names_no_server() {
    assert!(matches!(change("i-1", &entry("")), ServerChange::Said(_)));
    let deep = format!("\"other\":{}1{}", "[".repeat(10_000), "]".repeat(10_000));
    assert!(
        matches!(change("i-1", &entry(&deep)), ServerChange::Said(_)),
        "what is not read does not matter"
    );
    for value in odd_entries() {
        let shown = String::from_utf8_lossy(&value[..value.len().min(200)]).into_owned();
        let ServerChange::Unreadable { cause, .. } = change("i-1", &value) else {
            panic!("{shown}");
        };
        assert!(cause.len() <= 300, "the log line is bounded: {} bytes", cause.len());
    }
}

#[test]
fn odd_operator_and_rollout_records_are_unreadable() {
    for value in odd_entries() {
        for key in ["config", "rollout/x"] {
            let record = read_operator_record(key, &value);
            let Some(StoreRecord::Unreadable { cause, .. }) = record else { panic!("{record:?}") };
            assert!(cause.len() <= 300, "the log line is bounded: {} bytes", cause.len());
        }
    }
}

#[test]
fn odd_entry_leaves_an_earlier_one_in_force() {
    let mut world = GatewayFixture::new();
    let good =
        |id: &str| gateway_world::said(gateway_world::server(id, gateway_world::ENGINES, "v1"));
    let odd = |id: &str| StoreRecord::Server(change(id, b"[]"));
    world.page(StoreStream::Servers, vec![good("e8"), odd("e8"), odd("new"), good("e9")]);
    let expected = |world: &mut GatewayFixture| {
        let reached = reached(world);
        assert!(reached.contains("e8") && reached.contains("e9"), "{reached:?}");
        assert!(!reached.contains("new"), "{reached:?}");
    };
    expected(&mut world);
    // The whole list is read again; the newest entry of e8 is the odd one.
    world.newest(StoreStream::Servers, vec![odd("e8"), odd("new"), good("e9")]);
    world.quiet(StoreStream::Servers);
    expected(&mut world);
}

/// Returns the servers that get some of the requests of a burst.
fn reached(world: &mut GatewayFixture) -> BTreeSet<String> {
    let requests: Vec<_> = (0..60).map(|_| world.arrive("/plan/1")).collect();
    let starts = requests.iter().flat_map(|request| world.starts(*request));
    starts.map(|order| order.server.to_string()).collect()
}

#[test]
fn odd_entries_in_the_store_stop_nothing() {
    let stage = Stage::start(2, 2);
    for (number, value) in odd_entries().into_iter().enumerate() {
        if value.len() > 200_000 {
            continue;
        }
        for key in [format!("odd-{number}"), stage.servers[0].id.clone(), "\u{7f} bad key".into()] {
            let record = write_keyed(&key, &value);
            stage.platform.log().append("keyed.servers", [record.into()]);
        }
        stage
            .platform
            .log()
            .append("keyed.status", [write_keyed("rollout/booking", &value).into()]);
    }
    stage.platform.log().append("keyed.servers", [write_keyed("", b"{}").into(), vec![9].into()]);
    stage.register_server(1, "draining");
    std::thread::sleep(std::time::Duration::from_secs(3));
    for vm in 0..2 {
        let answer = stage.call_with(vm, "GET", "/slot/a", "key-1", "");
        assert_eq!(
            answer.status, 200,
            "the entries before and after the odd ones hold: {answer:?}"
        );
    }
    assert_eq!(stage.servers[1].seen().len(), 0, "the last entry is followed");
}
