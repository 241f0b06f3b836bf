use super::*;

/// A record of the `placement` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The pool that the lease is for.
    pub pool: PoolId,
    /// The entry VM that wrote the record.
    pub holder: PeerName,
    /// The number of the record among the writer's records for the pool, from 1.
    pub serial: u64,
    /// The offset of the first record that the writer had not read yet.
    pub seen: Offset,
    /// The change to the lease.
    pub step: LeaseStep,
}

/// A change to a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseStep {
    /// Acquires the lease; the offset of the record becomes the fencing number.
    Acquire,
    /// Renews the lease with this fencing number.
    Renew(Fence),
    /// Releases the lease with this fencing number.
    Release(Fence),
}
