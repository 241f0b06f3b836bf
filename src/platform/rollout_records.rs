//! Encodes and decodes the rollout states that operators read.

use super::*;

/// The prefix of the keys of rollout orders and states; the pool follows.
pub(super) const KEY_PREFIX: &str = "rollout/";

#[derive(Debug, Serialize, Deserialize)]
struct WireRolloutState {
    service: PoolId,
    target: SmolStr,
    state: WireState,
    /// A field that only entry VMs use; other readers ignore it.
    #[serde(default)]
    stage: u8,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireState {
    Running,
    Completed,
    RolledBack,
}

/// Returns the key of the rollout of the record's pool.
pub(super) fn rollout_key(record: &RolloutRecord) -> String {
    format!("{KEY_PREFIX}{}", record.pool)
}

/// Encodes a rollout record as JSON.
///
/// # Errors
///
/// Returns an error if the record cannot be encoded.
pub(super) fn write_rollout_record(record: &RolloutRecord) -> serde_json::Result<Vec<u8>> {
    let state = match record.state {
        RolloutState::Running => WireState::Running,
        RolloutState::Completed => WireState::Completed,
        RolloutState::Withdrawn => WireState::RolledBack,
    };
    let wire = WireRolloutState {
        service: record.pool.clone(),
        target: record.target.clone(),
        state,
        stage: record.stage,
    };
    serde_json::to_vec(&wire)
}

/// Parses the state of a rollout; none if the key is not that of a rollout or the value is empty.
pub(super) fn read_rollout_record(key: &str, value: &[u8]) -> Option<StoreRecord> {
    if !key.starts_with(KEY_PREFIX) || value.is_empty() {
        return None;
    }
    let wire: Result<WireRolloutState, SmolStr> = operator_records::parse(value);
    Some(match wire {
        Ok(wire) => StoreRecord::Rollout(RolloutRecord {
            pool: wire.service,
            target: wire.target,
            stage: wire.stage,
            state: match wire.state {
                WireState::Running => RolloutState::Running,
                WireState::Completed => RolloutState::Completed,
                WireState::RolledBack => RolloutState::Withdrawn,
            },
        }),
        Err(cause) => StoreRecord::Unreadable { key: key.into(), cause },
    })
}
