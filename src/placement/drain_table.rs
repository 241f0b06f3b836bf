use super::*;

/// The versions that must not be started on some servers, because they are about to be unloaded.
#[derive(Clone, Debug, Default)]
pub struct DrainTable {
    pools: BTreeMap<PoolId, PoolDrain>,
}

#[derive(Clone, Debug)]
struct PoolDrain {
    fence: Fence,
    places: BTreeSet<ServerVersion>,
    until: Millis,
}

impl DrainTable {
    /// The time for which a notice holds unless it is repeated.
    pub const LIFE_MS: u64 = 30_000;

    /// Takes in a holder's notice and returns whether it is to be followed.
    pub fn note(
        &mut self,
        now: Millis,
        pool: &PoolId,
        fence: Fence,
        drains: &[ServerVersion],
    ) -> bool {
        let known = self.pools.get(pool);
        if known.is_some_and(|known| known.fence > fence && now < known.until) {
            return false;
        }
        let until = now + Millis(Self::LIFE_MS);
        let places = drains.iter().cloned().collect();
        self.pools.insert(pool.clone(), PoolDrain { fence, places, until });
        true
    }

    /// Returns whether a version is being drained on a server.
    #[must_use]
    pub fn drains(&self, now: Millis, server: &ServerId, version: &VersionId) -> bool {
        self.pools.values().filter(|drain| now < drain.until).any(|drain| {
            let is_place =
                |place: &ServerVersion| place.server == *server && place.version == *version;
            drain.places.iter().any(is_place)
        })
    }
}
