//! Parses the records that operators write: the route configuration and rollout orders.

use super::*;
use serde::Deserializer;

pub(super) const CONFIGURATION_KEY: &str = "config";
/// The prefix of the keys of orders to evacuate a zone; the zone follows.
const EVACUATION_PREFIX: &str = "evacuate/";

#[derive(Debug, Deserialize)]
pub(super) struct WireConfiguration {
    pub(super) version: u64,
    pub(super) routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    #[serde(default)]
    pub(super) limits: WireLimits,
    /// None only if the member is missing; null is an error.
    #[serde(default, deserialize_with = "read_tenants")]
    pub(super) tenants: Option<Vec<WireTenant>>,
}

#[derive(Debug, Deserialize)]
pub(super) struct WireRoute {
    pub(super) name: SmolStr,
    pub(super) host: SmolStr,
    pub(super) path_prefix: SmolStr,
    pub(super) kind: SmolStr,
    pub(super) timeout_ms: f64,
    /// Despite its name not a target: an answer within this time gets its full credit.
    pub(super) target_latency_ms: Option<f64>,
    #[serde(default)]
    pub(super) priority: u8,
    #[serde(default)]
    pub(super) sizes: Vec<ModelId>,
    pub(super) service: Option<PoolId>,
    #[serde(default)]
    pub(super) traffic_split: Vec<WireSplit>,
    pub(super) max_attempts: Option<u32>,
    /// Despite its name: true if the route needs no API key, wherever it is reachable
    /// from.
    #[serde(default)]
    pub(super) public: bool,
    #[serde(default)]
    pub(super) resumable: bool,
    pub(super) gap_aim_ms: Option<f64>,
}

#[derive(Debug, Deserialize)]
pub(super) struct WireSplit {
    pub(super) service: PoolId,
    pub(super) weight: f64,
}

#[derive(Debug, Deserialize)]
struct WireService {
    name: PoolId,
    #[serde(default)]
    cold_start_s: f64,
    /// Zero if a cold server of the service bears as much as any.
    #[serde(default)]
    cold_per_s: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WireLimits {
    pub(super) max_header_bytes: Option<u64>,
    pub(super) max_body_bytes: Option<u64>,
}

#[derive(Debug, Deserialize)]
pub(super) struct WireTenant {
    pub(super) name: TeamId,
    pub(super) api_keys: Vec<SmolStr>,
    pub(super) priority: Option<u8>,
}

#[derive(Debug, Deserialize)]
struct WireRollout {
    service: PoolId,
    target: SmolStr,
    duration_s: f64,
}

#[derive(Debug, Deserialize)]
struct WireEvacuation {}

/// Parses a record written by an operator; none if the router does not use its key or its removal.
#[must_use]
pub fn read_operator_record(key: &str, value: &[u8]) -> Option<StoreRecord> {
    let record = if let Some(zone) = key.strip_prefix(EVACUATION_PREFIX) {
        read_evacuation(zone, value)
    } else if value.is_empty() {
        return None;
    } else if key == CONFIGURATION_KEY {
        read_configuration(value)
    } else if key.starts_with(rollout_records::KEY_PREFIX) {
        read_rollout(value)
    } else {
        return None;
    };
    let unreadable = |cause: SmolStr| StoreRecord::Unreadable { key: key.into(), cause };
    Some(record.unwrap_or_else(unreadable))
}

fn read_configuration(value: &[u8]) -> Result<StoreRecord, SmolStr> {
    let wire: WireConfiguration = parse(value)?;
    let routes = wire.routes.into_iter().map(read_route).collect::<Result<Vec<_>, _>>()?;
    let document = GatewayDocument {
        revision: Revision(wire.version),
        routes: RouteTable::new(routes),
        keys: wire.tenants.map_or(TeamKeys::Open, |tenants| TeamKeys::Named(read_keys(tenants))),
        body_limit: ByteSize(wire.limits.max_body_bytes.unwrap_or(u64::MAX)),
        head_limit: ByteSize(wire.limits.max_header_bytes.unwrap_or(u64::MAX)),
        cold_starts: wire.services.into_iter().filter_map(read_cold_start).collect(),
    };
    Ok(StoreRecord::Configuration(Arc::new(document)))
}

/// Returns the bound on cold servers of a service; none if it has none.
fn read_cold_start(service: WireService) -> Option<(PoolId, ColdStart)> {
    if service.cold_per_s <= 0.0 {
        return None;
    }
    let duration = Millis((service.cold_start_s * 1_000.0) as u64);
    let rate = RequestsPerSecond(service.cold_per_s);
    Some((service.name, ColdStart { duration, rate }))
}

fn read_tenants<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Vec<WireTenant>>, D::Error> {
    Vec::deserialize(deserializer).map(Some)
}

fn read_keys(tenants: Vec<WireTenant>) -> BTreeMap<SmolStr, KeyHolder> {
    let mut keys = BTreeMap::new();
    for tenant in tenants {
        for key in tenant.api_keys {
            let holder = KeyHolder { team: tenant.name.clone(), rank: tenant.priority };
            keys.insert(key, holder);
        }
    }
    keys
}

fn read_route(wire: WireRoute) -> Result<RouteEntry, SmolStr> {
    let kind = match wire.kind.as_str() {
        "safe" => RouteKind::Idempotent,
        "unsafe" => RouteKind::Once,
        "streaming" => RouteKind::Stream { resumable: wire.resumable },
        other => {
            return Err(format!("the route {} has the unknown kind {other:?}", wire.name).into());
        }
    };
    let mut pools: Vec<PoolWeight> = wire
        .traffic_split
        .into_iter()
        .map(|split| PoolWeight { pool: split.service, weight: split.weight })
        .collect();
    if pools.is_empty() {
        let service =
            wire.service.ok_or_else(|| format!("the route {} has no service", wire.name))?;
        pools.push(PoolWeight { pool: service, weight: 1.0 });
    }
    let timeout = Millis(wire.timeout_ms as u64);
    Ok(RouteEntry {
        name: wire.name,
        host: wire.host.to_ascii_lowercase().into(),
        prefix: wire.path_prefix,
        kind,
        timeout,
        objective: wire.target_latency_ms.map_or(timeout, |objective| Millis(objective as u64)),
        pause: wire.gap_aim_ms.map(|pause| Millis(pause as u64)),
        attempt_limit: wire.max_attempts.unwrap_or(1).max(1),
        rank: wire.priority,
        keyless: wire.public,
        pools,
        models: wire.sizes,
    })
}

fn read_rollout(value: &[u8]) -> Result<StoreRecord, SmolStr> {
    let wire: WireRollout = parse(value)?;
    Ok(StoreRecord::Order(RolloutOrder {
        pool: wire.service,
        target: wire.target,
        duration: Millis((wire.duration_s * 1_000.0) as u64),
    }))
}

/// Parses an order to evacuate a zone; an empty value means that the zone is taken back.
fn read_evacuation(zone: &str, value: &[u8]) -> Result<StoreRecord, SmolStr> {
    let zone = zone.parse::<DataCentreId>().map_err(|error| SmolStr::new(error.to_string()))?;
    if value.is_empty() {
        return Ok(StoreRecord::Evacuation(EvacuationOrder::TakeBack(zone)));
    }
    Ok(StoreRecord::Evacuation(match parse::<WireEvacuation>(value) {
        Ok(WireEvacuation {}) => EvacuationOrder::Evacuate(zone),
        Err(cause) => EvacuationOrder::Unreadable { data_centre: zone, cause },
    }))
}

pub(super) fn parse<T: serde::de::DeserializeOwned>(value: &[u8]) -> Result<T, SmolStr> {
    /// The length of the longest cause: an error may quote a value of any length.
    const MAX_CAUSE_CHARS: usize = 200;
    serde_json::from_slice(value)
        .map_err(|error| error.to_string().chars().take(MAX_CAUSE_CHARS).collect::<String>().into())
}
