use super::*;

/// The versions on which no new requests may be started on some servers, because they are about to
/// be unloaded there.
#[derive(Clone, Debug, Default)]
pub struct DrainTable {
    pools: BTreeMap<PoolId, PoolDrain>,
}

#[derive(Clone, Debug)]
struct PoolDrain {
    fence: Fence,
    places: BTreeSet<ServerVersion>,
    expires: Millis,
}

impl DrainTable {
    /// The time for which a notice is valid unless it is repeated.
    pub const NOTICE_EXPIRY_MS: u64 = 30_000;

    /// Stores the notice of a lease holder. Returns false, and ignores the notice, if one with a
    /// higher fencing number is valid.
    pub fn apply_notice(
        &mut self,
        now: Millis,
        pool: &PoolId,
        fence: Fence,
        drains: &[ServerVersion],
    ) -> bool {
        let known = self.pools.get(pool);
        if known.is_some_and(|known| known.fence > fence && now < known.expires) {
            return false;
        }
        let expires = now + Millis(Self::NOTICE_EXPIRY_MS);
        let places = drains.iter().cloned().collect();
        self.pools.insert(pool.clone(), PoolDrain { fence, places, expires });
        true
    }

    /// Returns whether a version is being drained on a server.
    #[must_use]
    pub fn is_draining(&self, now: Millis, server: &ServerId, version: &VersionId) -> bool {
        self.pools.values().filter(|drain| now < drain.expires).any(|drain| {
            let is_place =
                |place: &ServerVersion| place.server == *server && place.version == *version;
            drain.places.iter().any(is_place)
        })
    }
}
