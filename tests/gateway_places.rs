//! The choice of a server for prompts that share a part.

#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;

use gateway_world::*;
use guavapass::{
    gateway::*,
    ids::ServerId,
    units::{Millis, Tokens},
};

/// The size of the shared part. At the initial speed that is assumed of engines, it takes 260 ms to
/// process.
const SHARED_TOKENS: u64 = 13_000;

fn book() -> ServerRegistry {
    let mut book = ServerRegistry::default();
    for number in 1..=30 {
        book.apply_entry(server(&format!("e{number}"), ENGINES, "v1"));
    }
    book
}

/// Returns the server chosen for a prompt with the shared part, while one server may have a backlog
/// in milliseconds.
fn place(backlog: Option<(&ServerId, u32)>, tie: u64) -> ServerId {
    let mut book = book();
    if let Some((server, backlog_ms)) = backlog {
        let mut loads = LoadTotals::default();
        loads.add(ServerTag::from(server), OutstandingLoad { backlog_ms, requests: 1 });
        book.note_others(&loads);
    }
    let part = |id, tokens| PromptPart { id, tokens: Tokens(tokens) };
    let wish = ServerCriteria {
        pool: &pool(ENGINES),
        software: &SoftwareRule::Any,
        tried: &[],
        data_centre: &text("norte"),
        parts: &[part(7, SHARED_TOKENS), part(tie, 1_000)],
        pace: PoolLatencyModel::engine(),
        may_use_limited: true,
        tie,
    };
    select_server(Millis(0), &book, &wish).expect("all servers are open").server
}

#[test]
fn home_kept_until_backlog_exceeds_processing_elsewhere() {
    let home = place(None, 1);
    // Another server takes 260 ms to process the part, and five requests beside it wait as long.
    assert_eq!(place(Some((&home, 1_000)), 1), home, "the home has the lower cost");
    assert_ne!(place(Some((&home, 1_600)), 1), home, "the home is too busy");
}

#[test]
fn overflow_of_shared_part_goes_to_one_server() {
    let home = place(None, 1);
    let second = place(Some((&home, 5_000)), 1);
    assert_ne!(second, home);
    let others = (2..40).filter(|tie| place(Some((&home, 5_000)), *tie) != second);
    assert_eq!(others.count(), 0, "all requests choose the same second server");
}
