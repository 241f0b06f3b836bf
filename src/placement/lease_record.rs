use super::*;

/// A record of the `placement` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The pool whose engines are ordered.
    pub pool: PoolId,
    /// The writer of the record.
    pub holder: PeerName,
    /// The count of the writer's records for the pool.
    pub serial: u64,
    /// The offset up to which the writer had read the stream.
    pub seen: Offset,
    /// What the record does.
    pub step: LeaseStep,
}

/// What a lease record does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseStep {
    /// It takes the lease; its offset becomes the fencing number.
    Acquire,
    /// It prolongs the lease that has this fencing number.
    Renew(Fence),
    /// It gives up the lease that has this fencing number.
    Release(Fence),
}
