//! Parses the entries with which backend servers register themselves in the store.
//!
//! Other writers may leave entries there. One that names no server to use is reported as unreadable;
//! what an earlier entry of the same server said stays in force.

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

/// The longest warm-up, in milliseconds: an hour.
const MAX_COLD_MS: f64 = 3_600_000.0;
/// The latest start, in milliseconds of Unix time: the end of the year 9999. A later one would make
/// all further entries of the server look like those of an earlier start.
const MAX_BORN_MS: f64 = 253_402_300_799_999.0;

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
    check_address(wire.address)?;
    check_range("cold_remaining_ms", wire.cold_remaining_ms, MAX_COLD_MS)?;
    check_range("born", wire.born.unwrap_or_default() as f64, MAX_BORN_MS)?;
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

/// Checks that a server can listen at an address.
fn check_address(address: SocketAddr) -> Result<(), SmolStr> {
    let is_broadcast = matches!(address.ip(), IpAddr::V4(ip) if ip.is_broadcast());
    let is_host = !address.ip().is_unspecified() && !address.ip().is_multicast() && !is_broadcast;
    if is_host && address.port() != 0 {
        return Ok(());
    }
    Err(format!("no server can listen at the address {address}").into())
}

fn check_range(name: &str, value: f64, max: f64) -> Result<(), SmolStr> {
    if (0.0..=max).contains(&value) {
        return Ok(());
    }
    Err(format!("the number {value:?} in {name} is not between 0 and {max}").into())
}
