use super::*;

/// The routes by host; finds the route of a request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    hosts: BTreeMap<SmolStr, Vec<Arc<RouteEntry>>>,
}

impl RouteTable {
    /// Returns a table of the routes given, in any order.
    #[must_use]
    pub fn new(routes: impl IntoIterator<Item = RouteEntry>) -> Self {
        let mut hosts: BTreeMap<SmolStr, Vec<Arc<RouteEntry>>> = BTreeMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the host's route with the longest prefix that matches the path. The host's case and
    /// port are ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = self.hosts.get(host.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the ranks of the routes of each pool.
    #[must_use]
    pub fn pool_ranks(&self) -> BTreeMap<PoolId, BTreeSet<u8>> {
        let mut ranks: BTreeMap<PoolId, BTreeSet<u8>> = BTreeMap::new();
        for route in self.hosts.values().flatten() {
            for part in &route.pools {
                ranks.entry(part.pool.clone()).or_default().insert(route.rank);
            }
        }
        ranks
    }

    /// Returns the shortest objective of the routes of each pool.
    #[must_use]
    pub fn shortest_objectives(&self) -> BTreeMap<PoolId, Millis> {
        let mut objectives: BTreeMap<PoolId, Millis> = BTreeMap::new();
        for route in self.hosts.values().flatten() {
            for part in &route.pools {
                let shortest = objectives.entry(part.pool.clone()).or_insert(route.objective);
                *shortest = route.objective.min(*shortest);
            }
        }
        objectives
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
