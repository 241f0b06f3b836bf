//! Parses the entries with which backend servers register themselves in the store.

use super::*;

#[derive(Debug, Deserialize)]
struct WireServer {
    service: PoolId,
    address: SocketAddr,
    zone: DataCentreId,
    #[serde(default)]
    version: SmolStr,
    #[serde(default)]
    slots: u32,
    state: WireState,
    #[serde(default)]
    cold_remaining_ms: f64,
    born: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

/// Parses a server's entry; an empty value means that the server was removed.
#[must_use]
pub fn read_server_record(key: &str, value: &[u8]) -> StoreRecord {
    let change = read_change(key, value)
        .unwrap_or_else(|cause| ServerChange::Unreadable { key: key.into(), cause });
    StoreRecord::Server(change)
}

fn read_change(key: &str, value: &[u8]) -> Result<ServerChange, SmolStr> {
    let id = key.parse::<ServerId>().map_err(|error| SmolStr::new(error.to_string()))?;
    if value.is_empty() {
        return Ok(ServerChange::Removed(id));
    }
    let wire: WireServer = operator_records::parse(value)?;
    let state = match wire.state {
        WireState::Ready => MemberState::Live,
        WireState::Draining => MemberState::Leaving,
    };
    Ok(ServerChange::Said(Box::new(ServerEntry {
        id,
        pool: wire.service,
        address: wire.address,
        data_centre: wire.zone,
        software: wire.version,
        slots: wire.slots,
        state,
        born: wire.born.map(Millis),
        cold: Millis(wire.cold_remaining_ms as u64),
    })))
}
